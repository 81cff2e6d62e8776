//! Settings with which each process starts.

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
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where `/metrics`, `/healthz`, `/readyz` and `status` are served.
    pub admin: SocketAddr,
    /// Limits against callers that send too much or too slowly.
    #[serde(default)]
    #[builder(default)]
    pub limits: CallerLimits,
    /// Keys and addresses of the link between the processes.
    pub link: LinkSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// How long a shutting-down entry stays reachable after it turned unready.
    pub balancer_delay: TimeSpan,
}

/// Settings of an agent process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The failure domain in which the agent runs.
    pub domain: DomainId,
    /// The VM on which the agent runs; a replaced VM has another id.
    pub vm: VmId,
    /// Where `/metrics`, `/healthz`, `/readyz` and `status` are served.
    pub admin: SocketAddr,
    /// The backend server beside which the agent runs.
    pub backend: BackendSettings,
    /// Keys and addresses of the link between the processes.
    pub link: LinkSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
}

/// The backend server beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// The backend server's name, unique in the deployment.
    pub backend: BackendId,
    /// Where the backend server listens, on loopback.
    pub address: SocketAddr,
    /// What the backend server is.
    pub kind: BackendKind,
    /// Whether it checks the fencing number of an order.
    pub fencing: FencingRule,
    /// Most requests that it works on at a time.
    pub concurrency: u32,
    /// Most requests that wait at the agent.
    pub queue: u32,
    /// Longest silence of the backend server within one answer.
    pub idle_timeout: TimeSpan,
}

/// What a backend server is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine that serves this model.
    Engine(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// Whether a backend server checks the fencing number of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingRule {
    /// It refuses an order that carries an old number.
    Honoured,
    /// It does not look at the number.
    Ignored,
}

/// Limits against callers that send too much or too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest request head.
    #[builder(default = ByteSize(64 << 10))]
    pub header: ByteSize,
    /// Largest request body.
    #[builder(default = ByteSize(4 << 20))]
    pub body: ByteSize,
    /// Most caller connections at a time.
    #[builder(default = 4_096)]
    pub connections: u32,
    /// Longest time for a caller to send its request head.
    #[builder(default = TimeSpan::from_secs(5))]
    pub header_timeout: TimeSpan,
    /// Longest time for a caller to send its request body.
    #[builder(default = TimeSpan::from_secs(30))]
    pub body_timeout: TimeSpan,
    /// Longest time for which a caller may leave an answer unread.
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
    /// Where this process listens for its peers (UDP).
    pub listen: SocketAddr,
    /// Certificate of the deployment's authority (PEM).
    pub authority: PathBuf,
    /// Certificate of this process (PEM), signed by the authority.
    pub certificate: PathBuf,
    /// Private key of this process (PEM).
    pub key: PathBuf,
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base addresses of the key-value service, such as `http://10.0.0.2:2379`.
    pub key_value: SmallVec<[Arc<str>; 1]>,
    /// Address of the VM list.
    pub vm_list: Arc<str>,
    /// Prefix of every key of this deployment.
    pub prefix: Arc<str>,
    /// Longest wait for one answer.
    pub timeout: TimeSpan,
}
