//! Settings of the entry and agent processes.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use celerycrank_types::{
    BackendId, ByteSize, DomainId, EntryId, ModelId, ServiceId, TimeSpan, VmId,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Settings of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry's name, unique in the deployment.
    pub entry: EntryId,
    /// The failure domain in which the entry runs.
    pub domain: DomainId,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which `/metrics`, `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// Limits that protect an entry from callers that send too much or too slowly.
    #[serde(default)]
    #[builder(default)]
    pub limits: CallerLimits,
    /// Keys and addresses of the link between the processes.
    pub link: LinkSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// How long a stopping entry stays reachable after it reports unready.
    pub balancer_delay: TimeSpan,
}

/// Settings of an agent process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The failure domain in which the agent runs.
    pub domain: DomainId,
    /// The VM on which the agent runs; a replacement VM has a different id.
    pub vm: VmId,
    /// Address on which `/metrics`, `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// The agent's backend server.
    pub backend: BackendSettings,
    /// Keys and addresses of the link between the processes.
    pub link: LinkSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
}

/// The backend server of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// The backend server's name, unique in the deployment.
    pub backend: BackendId,
    /// Loopback address on which the backend server listens.
    pub address: SocketAddr,
    /// The kind of the backend server.
    pub kind: BackendKind,
    /// Whether the backend server checks the fencing number of an order.
    pub fencing: FencingRule,
    /// Maximum number of requests that the backend server processes concurrently.
    pub concurrency: u32,
    /// Maximum number of requests queued at the agent.
    pub queue: u32,
    /// Idle timeout of the backend server within one answer.
    pub idle_timeout: TimeSpan,
}

/// The kind of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine that serves this model.
    Engine(ModelId),
    /// A plain HTTP service.
    Service(ServiceId),
}

/// Whether a backend server checks the fencing number of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingRule {
    /// The backend server refuses an order with an outdated fencing number.
    Honoured,
    /// The backend server ignores the fencing number.
    Ignored,
}

/// Limits that protect an entry from callers that send too much or too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    #[builder(default = ByteSize(64 << 10))]
    pub header: ByteSize,
    /// Maximum size of a request body.
    #[builder(default = ByteSize(4 << 20))]
    pub body: ByteSize,
    /// Maximum number of open caller connections.
    #[builder(default = 4_096)]
    pub connections: u32,
    /// Memory of the process, of which a quarter may be held by the bodies of callers.
    #[builder(default = ByteSize(1 << 30))]
    pub memory: ByteSize,
    /// Timeout for receiving a request head from a caller.
    #[builder(default = TimeSpan::from_secs(5))]
    pub header_timeout: TimeSpan,
    /// Timeout for receiving a request body from a caller.
    #[builder(default = TimeSpan::from_secs(30))]
    pub body_timeout: TimeSpan,
    /// Maximum time for which a caller may leave an answer unread.
    #[builder(default = TimeSpan::from_secs(30))]
    pub write_timeout: TimeSpan,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Keys and addresses of the link between the processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// UDP address on which this process accepts links from its peers.
    pub listen: SocketAddr,
    /// Certificate of the deployment's certificate authority (PEM).
    pub authority: PathBuf,
    /// Certificate of this process (PEM), signed by the authority.
    pub certificate: PathBuf,
    /// Private key of this process (PEM).
    pub key: PathBuf,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base addresses of the key-value service, such as `http://10.0.0.2:2379`.
    pub key_value: SmallVec<[Arc<str>; 1]>,
    /// Base address of the VM list.
    pub vm_list: Arc<str>,
    /// Prefix of all keys of this deployment.
    pub prefix: Arc<str>,
    /// Timeout of one call.
    pub timeout: TimeSpan,
}
