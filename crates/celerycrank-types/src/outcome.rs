//! The three outcomes of a request and the reasons for them.

use crate::label::labelled_enum;

/// What is known about a request after the system has finished handling it.
///
/// Each request has exactly one outcome, which is reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum RequestOutcome {
    /// The complete answer of the backend server was delivered.
    Answered,
    /// The backend server never started the request.
    ///
    /// Invariant: reported only if this is proved; a lost link alone does not prove it.
    NotRun(RefusalReason),
    /// The request may or may not have run.
    Unknown(UnknownReason),
}

labelled_enum! {
    /// Why a request was not run.
    pub enum RefusalReason {
        /// The caller's API key is missing or unknown (401).
        UnknownKey = "unknown_key",
        /// The account's plan does not include the requested model or service (403).
        OutsidePlan = "outside_plan",
        /// No route on the request's host is a prefix of its path (404).
        NoRoute = "no_route",
        /// The request is malformed (400).
        BadRequest = "bad_request",
        /// The request's headers exceed the size limit (431).
        HeaderTooLarge = "header_too_large",
        /// The request's body exceeds the size limit (413).
        BodyTooLarge = "body_too_large",
        /// The caller sent its request too slowly (408).
        CallerTooSlow = "caller_too_slow",
        /// The process has reached its limit of caller connections (503).
        TooManyConnections = "too_many_connections",
        /// The account's rate cap is currently used up (429).
        ShareExhausted = "share_exhausted",
        /// The request could not be started within its deadline (503).
        DeadlineUnreachable = "deadline_unreachable",
        /// The backend server's queue is full (503).
        QueueFull = "queue_full",
        /// No live backend server offers the requested model or service (503).
        NoBackend = "no_backend",
        /// The backend server is leaving (503).
        BackendLeaving = "backend_leaving",
        /// No connection to a backend server could be established in time (503).
        BackendUnreachable = "backend_unreachable",
        /// The agent could not be reached, so that it did not receive the complete request (503).
        AgentUnreachable = "agent_unreachable",
        /// The sender's revision is older than the receiver's (503).
        OldRevision = "old_revision",
        /// The process has not received a configuration yet (503).
        NoConfiguration = "no_configuration",
        /// The configuration in force cannot be confirmed to be the newest (503).
        StaleConfiguration = "stale_configuration",
        /// The claim for an idempotency key could not be recorded (503).
        ClaimUnavailable = "claim_unavailable",
        /// The idempotency key is older than the retention period of the records (409).
        KeyExpired = "key_expired",
        /// The idempotency key was used for a different request (422).
        KeyReused = "key_reused",
        /// The request was revoked before it started (503).
        Revoked = "revoked",
        /// The account's retry budget is exhausted (503).
        RetryBudget = "retry_budget",
        /// The peer uses a different protocol version (503).
        ProtocolVersion = "protocol_version",
        /// The peer sent a frame that cannot be decoded (503).
        MalformedFrame = "malformed_frame",
        /// The process is shutting down (503).
        ShuttingDown = "shutting_down",
        /// A part of the prompt has crashed backend servers (503).
        CrashingPrompt = "crashing_prompt",
        /// The limits that the backend servers name do not allow another request now (503).
        BackendLimit = "backend_limit",
        /// The unfinished request gave way to others when the memory or the descriptors for callers
        /// were used up (503).
        Overloaded = "overloaded",
        /// The request's route cannot be used, since the configuration of it cannot be read (503).
        RouteClosed = "route_closed",
        /// Every backend server that could run the request is in an evacuated failure domain (503).
        Evacuated = "evacuated",
        /// The backend servers are cold and take no more requests of this entry now (503).
        BackendCold = "backend_cold",
        /// The backend servers want no requests for a time (503).
        BackendPaused = "backend_paused",
    }
}

labelled_enum! {
    /// Why a request was attempted again, or the rest of its answer requested.
    pub enum RetryReason {
        /// The connection to the agent could not be established.
        ConnectFailed = "connect_failed",
        /// The agent refused the request before starting it.
        Refused = "refused",
        /// The agent proved that it never started the request.
        Revoked = "revoked",
        /// The operators declared the call as repeatable.
        Repeatable = "repeatable",
        /// An interrupted stream was resumed at its offset.
        StreamResumed = "stream_resumed",
    }
}

labelled_enum! {
    /// Why it cannot be proved whether a request ran.
    pub enum UnknownReason {
        /// The link was lost, and the agent either did not respond to a query in time or no longer
        /// knew the request.
        LinkLost = "link_lost",
        /// The agent has restarted since it received the request.
        AgentRestarted = "agent_restarted",
        /// The backend server aborted its answer before it was complete.
        BackendBroke = "backend_broke",
        /// The backend server did not answer within the deadline.
        BackendTimeout = "backend_timeout",
        /// The idempotency key is already claimed and no result is recorded for it.
        ClaimedElsewhere = "claimed_elsewhere",
        /// The backend server's answer has a different request id or is malformed.
        BadAnswer = "bad_answer",
        /// The grace period of the entry's stop ended before the backend server had answered.
        EntryStopped = "entry_stopped",
    }
}

impl RefusalReason {
    /// Returns the HTTP status that reports this reason to a caller.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::OutsidePlan => 403,
            Self::NoRoute => 404,
            Self::CallerTooSlow => 408,
            Self::KeyExpired => 409,
            Self::BodyTooLarge => 413,
            Self::KeyReused => 422,
            Self::ShareExhausted => 429,
            Self::HeaderTooLarge => 431,
            _ => 503,
        }
    }
}
