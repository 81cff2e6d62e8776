//! Checks of the processes' settings files.

use std::{net::SocketAddr, sync::Arc};

use celerycrank_types::{
    BackendId, ByteSize, DecimalSpan, DomainId, EntryId, Fraction, ModelId, ServiceId, TimeSpan,
    VmId,
};
use serde::de::DeserializeOwned;

use crate::{
    AgentSettings, DirectEntrySettings, EntrySettings, PlatformSettings, RankAgentSettings,
    check::{
        fault::{CheckFault, FaultKind},
        shape::{FaultLog, Shape, check_text, optional, required, text, wrong_form},
    },
};

const ENTRY_SHAPE: Shape = Shape::Object(&[
    required("entry", text::<EntryId>()),
    required("domain", text::<DomainId>()),
    required("listen", text::<SocketAddr>()),
    required("admin", text::<SocketAddr>()),
    optional("limits", LIMITS),
    required("link", LINK),
    required("platform", PLATFORM),
    required("balancer_delay", text::<TimeSpan>()),
]);

const AGENT_SHAPE: Shape = Shape::Object(&[
    required("domain", text::<DomainId>()),
    required("vm", text::<VmId>()),
    required("admin", text::<SocketAddr>()),
    required("backend", BACKEND),
    required("link", LINK),
    required("platform", PLATFORM),
]);

const DIRECT_ENTRY_SHAPE: Shape = Shape::Object(&[
    required("entry", text::<EntryId>()),
    required("domain", text::<DomainId>()),
    required("listen", text::<SocketAddr>()),
    required("probe", text::<SocketAddr>()),
    required("admin", text::<SocketAddr>()),
    required("peer", text::<SocketAddr>()),
    required("store", STORE),
    optional("revocation", text::<DecimalSpan>()),
    required("retries", RETRIES),
    required("grace", text::<DecimalSpan>()),
]);

const RANK_AGENT_SHAPE: Shape = Shape::Object(&[
    required("vm", text::<VmId>()),
    required("domain", text::<DomainId>()),
    required("admin", text::<SocketAddr>()),
    required("peer", text::<SocketAddr>()),
    required("backend", text::<SocketAddr>()),
    required("service", text::<ServiceId>()),
    required("store", STORE),
]);

const STORE: Shape = Shape::Object(&[
    required("address", Shape::Text(check_url)),
    required("timeout", SPAN),
]);

const RETRIES: Shape = Shape::Object(&[
    required("window", text::<DecimalSpan>()),
    required("ratio", text::<Fraction>()),
    required("slack", text::<Fraction>()),
]);

const LIMITS: Shape = Shape::Object(&[
    optional("header", SIZE),
    optional("body", SIZE),
    optional("connections", Shape::Count),
    optional("header_timeout", SPAN),
    optional("body_timeout", SPAN),
    optional("write_timeout", SPAN),
]);

const LINK: Shape = Shape::Object(&[
    required("listen", text::<SocketAddr>()),
    required("authority", Shape::Text(check_present)),
    required("certificate", Shape::Text(check_present)),
    required("key", Shape::Text(check_present)),
]);

const PLATFORM: Shape = Shape::Object(&[
    required("key_value", Shape::List(1, &Shape::Text(check_url))),
    required("vm_list", Shape::Text(check_url)),
    required("prefix", Shape::Text(check_present)),
    required("timeout", SPAN),
]);

const BACKEND: Shape = Shape::Object(&[
    required("backend", text::<BackendId>()),
    required("address", Shape::Text(check_loopback)),
    required(
        "kind",
        Shape::OneOf(&[
            required("engine", text::<ModelId>()),
            required("service", text::<ServiceId>()),
        ]),
    ),
    required("fencing", Shape::Choice(&["honoured", "ignored"])),
    required("concurrency", Shape::Count),
    required("queue", Shape::Count),
    required("idle_timeout", SPAN),
]);

const SPAN: Shape = Shape::Text(check_span);
const SIZE: Shape = Shape::Text(check_size);

/// Reads the settings of an entry, or names every fault.
///
/// # Errors
///
/// Fails with all faults at once.
pub fn check_entry(text: &str) -> Result<EntrySettings, Vec<CheckFault>> {
    check_settings(text, &ENTRY_SHAPE)
}

/// Reads the settings of an agent, or names every fault.
///
/// # Errors
///
/// Fails with all faults at once.
pub fn check_agent(text: &str) -> Result<AgentSettings, Vec<CheckFault>> {
    check_settings(text, &AGENT_SHAPE)
}

/// Reads the settings of an entry that stands straight before backend servers, or names
/// every fault.
///
/// # Errors
///
/// Fails with all faults at once.
pub fn check_direct_entry(text: &str) -> Result<DirectEntrySettings, Vec<CheckFault>> {
    check_settings(text, &DIRECT_ENTRY_SHAPE)
}

/// Reads the settings of an agent beside such a backend server, or names every fault.
///
/// # Errors
///
/// Fails with all faults at once.
pub fn check_rank_agent(text: &str) -> Result<RankAgentSettings, Vec<CheckFault>> {
    check_settings(text, &RANK_AGENT_SHAPE)
}

/// Reads where the platform's services are, or names every fault.
///
/// # Errors
///
/// Fails with all faults at once.
pub fn check_platform(text: &str) -> Result<PlatformSettings, Vec<CheckFault>> {
    check_settings(text, &PLATFORM)
}

fn check_settings<T: DeserializeOwned>(text: &str, shape: &Shape) -> Result<T, Vec<CheckFault>> {
    let mut log = FaultLog::default();
    check_text(text, shape, &mut log);
    if !log.faults.is_empty() {
        return Err(log.faults);
    }
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let message = Arc::<str>::from(e.inner().to_string());
        log.add(&e.path().to_string(), FaultKind::Unreadable(message));
        log.faults
    })
}

fn check_present(text: &str) -> Result<(), FaultKind> {
    match text {
        "" => Err(FaultKind::Empty),
        _ => Ok(()),
    }
}

fn check_url(text: &str) -> Result<(), FaultKind> {
    match text.strip_prefix("http://") {
        Some(host) if !host.is_empty() => Ok(()),
        _ => Err(wrong_form("a URL that begins with `http://`")),
    }
}

/// An agent's backend server is beside it; anything else would be reachable past it.
fn check_loopback(text: &str) -> Result<(), FaultKind> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => Ok(()),
        Ok(_) => Err(wrong_form("a loopback address")),
        Err(e) => Err(FaultKind::Unreadable(e.to_string().into())),
    }
}

fn check_span(text: &str) -> Result<(), FaultKind> {
    match text.parse::<TimeSpan>() {
        Ok(TimeSpan::ZERO) => Err(FaultKind::NotAboveZero),
        Ok(_) => Ok(()),
        Err(e) => Err(FaultKind::Unreadable(e.to_string().into())),
    }
}

fn check_size(text: &str) -> Result<(), FaultKind> {
    match text.parse::<ByteSize>() {
        Ok(ByteSize(0)) => Err(FaultKind::NotAboveZero),
        Ok(_) => Ok(()),
        Err(e) => Err(FaultKind::Unreadable(e.to_string().into())),
    }
}
