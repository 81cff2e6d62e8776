//! What the operators want served: routes, services, client accounts and limits.

use std::sync::Arc;

use celerycrank_types::{AccountId, ByteSize, Revision, ServiceId, TimeSpan};
use smallvec::SmallVec;

/// One revision of what the operators want served.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ServingConfiguration {
    /// The revision; larger is newer.
    pub revision: Revision,
    /// Which requests go where.
    pub routes: Vec<RouteRule>,
    /// The services that routes name.
    pub services: Vec<ServiceRule>,
    /// Client accounts; none where requests carry no key.
    pub accounts: Vec<AccountRule>,
    /// What a caller may send.
    pub limits: CallerBounds,
}

/// Which requests go to which service, and what is promised for them.
#[derive(Debug, Clone, PartialEq, bon::Builder)]
pub struct RouteRule {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: Arc<str>,
    /// The start of the paths; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run again.
    pub semantics: RequestSemantics,
    /// Longest time for which a caller is kept waiting.
    pub timeout: TimeSpan,
    /// Time within which an answer, or a stream's first event, is of full use.
    pub target: TimeSpan,
    /// Longest pause of a stream that is of full use.
    pub gap_target: Option<TimeSpan>,
    /// Rank of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// The services that share the route's requests.
    ///
    /// Invariant: not empty.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Most backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
}

/// A service and its part of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the route's other services.
    ///
    /// Invariant: zero or more.
    pub weight: f64,
}

/// Whether a request may run again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestSemantics {
    /// It may run any number of times.
    Idempotent,
    /// It may run once.
    NonIdempotent,
    /// It is answered by a stream of events that another backend server can go on with.
    ResumableStream,
    /// It is answered by a stream of events and may run once.
    Stream,
}

impl RequestSemantics {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that backend servers offer.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// The service.
    pub service: ServiceId,
    /// Most connections that one of its backend servers takes from all callers together.
    pub max_connections: u32,
    /// How its backend servers work, if they are model engines.
    pub engine: Option<EngineProfile>,
}

/// How a model engine spends its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProfile {
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub kv_cache_tokens: u64,
    /// Time of a step in which one token of each request is written.
    pub step: TimeSpan,
    /// Further time of a step for each request that is written.
    pub step_per_request: TimeSpan,
    /// Steps that a pass makes while any request is written.
    pub steps_per_pass: u32,
    /// Prompt tokens that are read in a second.
    pub prefill_rate: f64,
    /// Mean length of an answer, in tokens.
    pub mean_answer_tokens: f64,
    /// How its lock-step groups hold experts, if it is a rank of one.
    pub group: Option<GroupProfile>,
}

/// How a lock-step group holds experts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupProfile {
    /// Sets of layers, each with experts of its own.
    pub layer_sets: u16,
    /// Experts of a set.
    pub experts: u16,
    /// Experts of a set that one rank has room for.
    pub slots: u16,
    /// Experts of a set that one change of the map may bring to a rank.
    pub spare: u16,
}

/// A client account and the keys that its callers use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountRule {
    /// The account.
    pub account: AccountId,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// Rank of its requests, which goes before that of their route.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Largest head of a request.
    pub head: ByteSize,
    /// Largest body of a request.
    pub body: ByteSize,
    /// Longest time for a head to arrive.
    pub head_timeout: TimeSpan,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            head: ByteSize(16 << 10),
            body: ByteSize(4 << 20),
            head_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        }
    }
}
