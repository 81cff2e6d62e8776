//! Settings of the processes that stand straight before backend servers.

use std::{net::SocketAddr, sync::Arc};

use celerycrank_types::{DecimalSpan, DomainId, EntryId, Fraction, ServiceId, TimeSpan, VmId};
use serde::{Deserialize, Serialize};

/// Settings of an entry that sends requests straight to backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct DirectEntrySettings {
    /// The entry's name, unique in the deployment.
    pub entry: EntryId,
    /// The failure domain in which the entry runs.
    pub domain: DomainId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the platform's balancer asks whether the entry is ready.
    pub probe: SocketAddr,
    /// Where `/metrics`, `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// Where agents send their reports (UDP); agents listen on the same port.
    pub peer: SocketAddr,
    /// Where configuration and backend servers are found.
    pub store: StoreSettings,
    /// Time within which a key that was taken away must be refused everywhere.
    ///
    /// Without it keys are accepted for as long as the store is away.
    pub revocation: Option<DecimalSpan>,
    /// What all entries together may send a second time.
    pub retries: RetrySettings,
    /// Time between the signal to stop and the end of the process.
    pub grace: DecimalSpan,
}

/// Settings of an agent beside a backend server that entries reach by themselves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct RankAgentSettings {
    /// The VM on which the agent runs.
    pub vm: VmId,
    /// The failure domain in which the agent runs.
    pub domain: DomainId,
    /// Where `/metrics`, `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// Where peers and entries reach the agent (UDP); they use the same port.
    pub peer: SocketAddr,
    /// Where the backend server beside the agent listens.
    pub backend: SocketAddr,
    /// What the backend server offers.
    pub service: ServiceId,
    /// Where the other backend servers of the service are found.
    pub store: StoreSettings,
}

/// Where the platform's store is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Base address, such as `http://10.0.0.2:8223`.
    pub address: Arc<str>,
    /// Longest wait for one answer.
    pub timeout: TimeSpan,
}

/// What all entries together may send a second time, for each service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Length of the window in which retries are counted.
    pub window: DecimalSpan,
    /// Retries for each request.
    pub ratio: Fraction,
    /// Retries beyond the ratio.
    pub slack: Fraction,
}
