//! Settings of direct entries, which send requests to backend servers without an agent in
//! between, and of the rank agents of those backend servers.

use std::{net::SocketAddr, sync::Arc};

use celerycrank_types::{
    ByteSize, DecimalSpan, DomainId, EntryId, Fraction, LinkRate, ServiceId, TimeSpan, VmId,
};
use serde::{Deserialize, Serialize};

/// Settings of an entry that sends requests directly to backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct DirectEntrySettings {
    /// The entry's name, unique in the deployment.
    pub entry: EntryId,
    /// The failure domain in which the entry runs.
    pub domain: DomainId,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which the platform's load balancer checks whether the entry is ready.
    pub probe: SocketAddr,
    /// Address on which `/metrics`, `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// UDP address to which agents send their reports; agents listen on the same port.
    pub peer: SocketAddr,
    /// The platform's key-value service, which holds the configuration and the list of backend
    /// servers.
    pub store: StoreSettings,
    /// Time within which every entry must refuse a revoked API key.
    ///
    /// If absent, keys stay accepted for as long as the key-value service is unreachable.
    pub revocation: Option<DecimalSpan>,
    /// Retry budget of all entries together.
    pub retries: RetrySettings,
    /// Bounds on the requests to cold backend servers.
    ///
    /// If absent, the entries share the rate that the configuration gives, without a burst.
    pub cold: Option<ColdSettings>,
    /// What engines keep of the prompts that they have read.
    ///
    /// If absent, they keep nothing, and backend servers are chosen by their load alone.
    pub prompt_cache: Option<PromptCacheSettings>,
    /// Time between the stop signal and the end of the process.
    pub grace: DecimalSpan,
    /// Memory of the process, of which callers may use a part.
    ///
    /// If absent, 128 MiB.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<ByteSize>,
}

/// Settings of the agent of a backend server to which entries connect directly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct RankAgentSettings {
    /// The VM on which the agent runs.
    pub vm: VmId,
    /// The failure domain in which the agent runs.
    pub domain: DomainId,
    /// Address on which `/metrics`, `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// UDP address on which peers and entries reach the agent; they use the same port.
    pub peer: SocketAddr,
    /// Address on which the agent's backend server listens.
    pub backend: SocketAddr,
    /// The service that the backend server offers.
    pub service: ServiceId,
    /// The platform's key-value service, which lists the other backend servers of the service.
    pub store: StoreSettings,
    /// Bandwidth of the VM's link; datagrams to many agents are spread over the time that it needs.
    ///
    /// If absent, they are sent as fast as the socket takes them.
    pub bandwidth: Option<LinkRate>,
}

/// Address and timeout of the platform's key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Base address, such as `http://10.0.0.2:8223`.
    pub address: Arc<str>,
    /// Timeout of one call.
    pub timeout: TimeSpan,
}

/// Retry budget of all entries together, for each service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Length of the window in which retries are counted.
    pub window: DecimalSpan,
    /// Retries allowed for each request in the window.
    pub ratio: Fraction,
    /// Retries allowed in addition to the ratio.
    pub slack: Fraction,
}

/// What all entries together may send to a cold backend server in any second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdSettings {
    /// Factor of the rate that the configuration gives.
    pub overshoot: Fraction,
    /// Requests in addition.
    pub tolerance: Fraction,
}

/// What engines keep of the prompts that they have read.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptCacheSettings {
    /// Time for which an engine keeps a prompt after its answer has begun.
    pub retention: TimeSpan,
    /// The part of an engine's KV cache that keeps prompts, from 0 to 1.
    pub memory: Fraction,
}
