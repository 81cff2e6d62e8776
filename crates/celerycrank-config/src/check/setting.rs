//! Validation of the processes' settings files.

use std::{net::SocketAddr, sync::Arc};

use celerycrank_types::{
    BackendId, ByteSize, DecimalSpan, DomainId, EntryId, Fraction, LinkRate, ModelId, ServiceId,
    TimeSpan, VmId,
};
use serde::de::DeserializeOwned;

use crate::{
    AgentSettings, DirectEntrySettings, EntrySettings, PlatformSettings, RankAgentSettings,
    check::{
        error::{ValidationError, ValidationErrorKind},
        schema::{ErrorCollector, Schema, check_text, optional, required, text, unexpected_value},
    },
};

const ENTRY_SCHEMA: Schema = Schema::Object(&[
    required("entry", text::<EntryId>()),
    required("domain", text::<DomainId>()),
    required("listen", text::<SocketAddr>()),
    required("admin", text::<SocketAddr>()),
    optional("limits", LIMITS),
    required("link", LINK),
    required("platform", PLATFORM),
    required("balancer_delay", text::<TimeSpan>()),
]);

const AGENT_SCHEMA: Schema = Schema::Object(&[
    required("domain", text::<DomainId>()),
    required("vm", text::<VmId>()),
    required("admin", text::<SocketAddr>()),
    required("backend", BACKEND),
    required("link", LINK),
    required("platform", PLATFORM),
]);

const DIRECT_ENTRY_SCHEMA: Schema = Schema::Object(&[
    required("entry", text::<EntryId>()),
    required("domain", text::<DomainId>()),
    required("listen", text::<SocketAddr>()),
    required("probe", text::<SocketAddr>()),
    required("admin", text::<SocketAddr>()),
    required("peer", text::<SocketAddr>()),
    required("store", STORE),
    optional("revocation", text::<DecimalSpan>()),
    required("retries", RETRIES),
    optional("cold", COLD),
    optional("prompt_cache", PROMPT_CACHE),
    required("grace", text::<DecimalSpan>()),
    optional("memory", SIZE),
]);

const RANK_AGENT_SCHEMA: Schema = Schema::Object(&[
    required("vm", text::<VmId>()),
    required("domain", text::<DomainId>()),
    required("admin", text::<SocketAddr>()),
    required("peer", text::<SocketAddr>()),
    required("backend", text::<SocketAddr>()),
    required("service", text::<ServiceId>()),
    required("store", STORE),
    optional("bandwidth", text::<LinkRate>()),
]);

const STORE: Schema = Schema::Object(&[
    required("address", Schema::Text(check_url)),
    required("timeout", SPAN),
]);

const RETRIES: Schema = Schema::Object(&[
    required("window", text::<DecimalSpan>()),
    required("ratio", text::<Fraction>()),
    required("slack", text::<Fraction>()),
]);

const COLD: Schema = Schema::Object(&[
    required("overshoot", text::<Fraction>()),
    required("tolerance", text::<Fraction>()),
]);

const PROMPT_CACHE: Schema = Schema::Object(&[
    required("retention", SPAN),
    required("memory", Schema::Text(check_part)),
]);

const LIMITS: Schema = Schema::Object(&[
    optional("header", SIZE),
    optional("body", SIZE),
    optional("connections", Schema::Count),
    optional("memory", SIZE),
    optional("header_timeout", SPAN),
    optional("body_timeout", SPAN),
    optional("write_timeout", SPAN),
]);

const LINK: Schema = Schema::Object(&[
    required("listen", text::<SocketAddr>()),
    required("authority", Schema::Text(check_not_empty)),
    required("certificate", Schema::Text(check_not_empty)),
    required("key", Schema::Text(check_not_empty)),
]);

const PLATFORM: Schema = Schema::Object(&[
    required("key_value", Schema::List(1, &Schema::Text(check_url))),
    required("vm_list", Schema::Text(check_url)),
    required("prefix", Schema::Text(check_not_empty)),
    required("timeout", SPAN),
]);

const BACKEND: Schema = Schema::Object(&[
    required("backend", text::<BackendId>()),
    required("address", Schema::Text(check_loopback)),
    required(
        "kind",
        Schema::OneOf(&[
            required("engine", text::<ModelId>()),
            required("service", text::<ServiceId>()),
        ]),
    ),
    required("fencing", Schema::Choice(&["honoured", "ignored"])),
    required("concurrency", Schema::Count),
    required("queue", Schema::Count),
    required("idle_timeout", SPAN),
]);

const SPAN: Schema = Schema::Text(check_span);
const SIZE: Schema = Schema::Text(check_size);

/// Parses and validates the settings of an entry.
///
/// # Errors
///
/// Returns all errors of the file.
pub fn check_entry(text: &str) -> Result<EntrySettings, Vec<ValidationError>> {
    check_settings(text, &ENTRY_SCHEMA)
}

/// Parses and validates the settings of an agent.
///
/// # Errors
///
/// Returns all errors of the file.
pub fn check_agent(text: &str) -> Result<AgentSettings, Vec<ValidationError>> {
    check_settings(text, &AGENT_SCHEMA)
}

/// Parses and validates the settings of an entry that sends requests directly to backend
/// servers.
///
/// # Errors
///
/// Returns all errors of the file.
pub fn check_direct_entry(text: &str) -> Result<DirectEntrySettings, Vec<ValidationError>> {
    check_settings(text, &DIRECT_ENTRY_SCHEMA)
}

/// Parses and validates the settings of the agent of such a backend server.
///
/// # Errors
///
/// Returns all errors of the file.
pub fn check_rank_agent(text: &str) -> Result<RankAgentSettings, Vec<ValidationError>> {
    check_settings(text, &RANK_AGENT_SCHEMA)
}

/// Parses and validates the addresses of the platform's services.
///
/// # Errors
///
/// Returns all errors of the file.
pub fn check_platform(text: &str) -> Result<PlatformSettings, Vec<ValidationError>> {
    check_settings(text, &PLATFORM)
}

fn check_settings<T: DeserializeOwned>(
    text: &str,
    schema: &Schema,
) -> Result<T, Vec<ValidationError>> {
    let mut collector = ErrorCollector::default();
    check_text(text, schema, &mut collector);
    if !collector.errors.is_empty() {
        return Err(collector.errors);
    }
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let message = Arc::<str>::from(error.inner().to_string());
        collector.add(
            &error.path().to_string(),
            ValidationErrorKind::ParseFailed(message),
        );
        collector.errors
    })
}

fn check_not_empty(text: &str) -> Result<(), ValidationErrorKind> {
    match text {
        "" => Err(ValidationErrorKind::Empty),
        _ => Ok(()),
    }
}

fn check_url(text: &str) -> Result<(), ValidationErrorKind> {
    match text.strip_prefix("http://") {
        Some(host) if !host.is_empty() => Ok(()),
        _ => Err(unexpected_value("a URL that begins with `http://`")),
    }
}

/// Accepts only loopback addresses: a backend server on another address could be reached
/// without passing through its agent.
fn check_loopback(text: &str) -> Result<(), ValidationErrorKind> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => Ok(()),
        Ok(_) => Err(unexpected_value("a loopback address")),
        Err(error) => Err(ValidationErrorKind::ParseFailed(error.to_string().into())),
    }
}

fn check_span(text: &str) -> Result<(), ValidationErrorKind> {
    match text.parse::<TimeSpan>() {
        Ok(TimeSpan::ZERO) => Err(ValidationErrorKind::NotPositive),
        Ok(_) => Ok(()),
        Err(error) => Err(ValidationErrorKind::ParseFailed(error.to_string().into())),
    }
}

/// Accepts a fraction of a whole.
fn check_part(text: &str) -> Result<(), ValidationErrorKind> {
    match text.parse::<Fraction>() {
        Ok(part) if part.get() <= 1.0 => Ok(()),
        Ok(_) => Err(unexpected_value("a number from 0 to 1")),
        Err(error) => Err(ValidationErrorKind::ParseFailed(error.to_string().into())),
    }
}

fn check_size(text: &str) -> Result<(), ValidationErrorKind> {
    match text.parse::<ByteSize>() {
        Ok(ByteSize(0)) => Err(ValidationErrorKind::NotPositive),
        Ok(_) => Ok(()),
        Err(error) => Err(ValidationErrorKind::ParseFailed(error.to_string().into())),
    }
}
