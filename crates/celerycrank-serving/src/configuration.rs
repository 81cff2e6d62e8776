//! The operators' configuration: routes, services, client accounts and limits.

use std::sync::Arc;

use celerycrank_types::{AccountId, ByteSize, Revision, ServiceId, TimeSpan};
use smallvec::SmallVec;

use crate::ColdStart;

/// One revision of the operators' configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingConfiguration {
    /// The revision; a larger one is newer.
    pub revision: Revision,
    /// The routes, which map requests to services.
    pub routes: Vec<RouteRule>,
    /// The routes that cannot be used; requests on them are refused.
    pub closed_routes: Vec<RouteLocation>,
    /// The services that the routes refer to.
    pub services: Vec<ServiceRule>,
    /// Whether requests need an API key, and which keys are valid.
    pub keys: KeyRequirement,
    /// Limits on callers.
    pub limits: CallerBounds,
}

/// Maps requests to services and sets their latency targets.
#[derive(Debug, Clone, PartialEq, bon::Builder)]
pub struct RouteRule {
    /// The route's name.
    pub name: Arc<str>,
    /// The host of the requests.
    pub host: Arc<str>,
    /// The prefix of the request paths; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request is idempotent and whether its answer is a stream.
    pub semantics: RequestSemantics,
    /// Maximum time for which a caller waits.
    pub timeout: TimeSpan,
    /// Latency target for the answer, or for the first event of a stream.
    pub target: TimeSpan,
    /// Target for the gap between two events of a stream.
    pub gap_target: Option<TimeSpan>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The services among which the requests are split.
    ///
    /// Invariant: not empty.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_anonymous: bool,
}

/// A service and its weight in a route.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the other services of the route.
    ///
    /// Invariant: zero or more.
    pub weight: f64,
}

/// Whether a request that may have run can be repeated, and how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestSemantics {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run only once.
    NonIdempotent,
    /// The answer is a stream of events that another backend server can resume.
    ResumableStream,
    /// The answer is a stream of events, and the request may run only once.
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
    /// Maximum number of connections that one of its backend servers accepts from all callers
    /// together.
    pub max_connections: u32,
    /// Performance of its backend servers, if they are model engines.
    pub engine: Option<EngineProfile>,
    /// How its backend servers start, if those that are cold take fewer requests.
    pub cold_start: Option<ColdStart>,
}

/// Performance characteristics of a model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProfile {
    /// Maximum number of requests processed at the same time.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Base duration of a decode step, which generates one token for each running request.
    pub step: TimeSpan,
    /// Additional duration of a decode step per running request.
    pub step_per_request: TimeSpan,
    /// Decode steps per scheduling pass while any request is being decoded.
    pub steps_per_pass: u32,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Mean length of an answer, in tokens.
    pub mean_answer_tokens: f64,
    /// Expert placement in its lock-step group, if it is a rank of one.
    pub group: Option<GroupProfile>,
}

/// Dimensions of expert placement in a lock-step group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupProfile {
    /// Number of layer sets; each has its own experts.
    pub layer_sets: u16,
    /// Number of experts per layer set.
    pub experts: u16,
    /// Maximum number of experts per layer set that one rank can hold.
    pub slots: u16,
    /// Maximum number of experts per layer set that one change of the expert map may move to a
    /// rank.
    pub max_moves_per_change: u16,
}

/// The requests that belong to a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteLocation {
    /// The host of the requests.
    pub host: Arc<str>,
    /// The prefix of the request paths; begins and ends with a slash.
    pub prefix: Arc<str>,
}

/// Whether requests need an API key, except on anonymous routes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRequirement {
    /// The configuration has no list of accounts: requests need no API key, and no key is valid.
    NotRequired,
    /// Only the API keys of these accounts are valid; without accounts, no key is.
    Required(Vec<AccountRule>),
}

/// A client account and its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountRule {
    /// The account.
    pub account: AccountId,
    /// The API keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Priority of its requests; overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits on the size and duration of a caller's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum size of a request head.
    pub head: ByteSize,
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Timeout for receiving a request head.
    pub head_timeout: TimeSpan,
    /// Maximum time for which a connection may be idle.
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
