//! The three outcomes of a request and the closed sets of reasons.

use crate::label::labelled_enum;

/// What is known about one request once the system has finished with it.
///
/// Exactly one outcome is reported to the caller for each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum RequestOutcome {
    /// The backend server's whole answer was delivered.
    Answered,
    /// The backend server never began the request.
    ///
    /// Invariant: reported only on proof; a lost link alone is no proof.
    NotRun(RefusalReason),
    /// The request may or may not have run.
    Unknown(UnknownReason),
}

labelled_enum! {
    /// Why a request was not run.
    pub enum RefusalReason {
        /// The caller's API key is missing or not known (401).
        UnknownKey = "unknown_key",
        /// The account's plan does not include what was asked for (403).
        OutsidePlan = "outside_plan",
        /// No route begins the request's path on its host (404).
        NoRoute = "no_route",
        /// The request is malformed (400).
        BadRequest = "bad_request",
        /// The request's headers exceed the limit (431).
        HeaderTooLarge = "header_too_large",
        /// The request's body exceeds the limit (413).
        BodyTooLarge = "body_too_large",
        /// The caller sent its request too slowly (408).
        CallerTooSlow = "caller_too_slow",
        /// The process holds as many caller connections as it may (503).
        TooManyConnections = "too_many_connections",
        /// The account has used its allowance for now (429).
        ShareExhausted = "share_exhausted",
        /// The request could not start within its deadline (503).
        DeadlineUnreachable = "deadline_unreachable",
        /// The backend server's queue is full (503).
        QueueFull = "queue_full",
        /// No live backend server offers what was asked for (503).
        NoBackend = "no_backend",
        /// The backend server is leaving (503).
        BackendLeaving = "backend_leaving",
        /// The backend server refused the connection (503).
        BackendUnreachable = "backend_unreachable",
        /// The agent could not be reached, or revoked the request (503).
        AgentUnreachable = "agent_unreachable",
        /// The sender acted under a revision older than the receiver's (503).
        OldRevision = "old_revision",
        /// The process has not yet learnt a configuration (503).
        NoConfiguration = "no_configuration",
        /// The configuration in force is not known to be the newest (503).
        StaleConfiguration = "stale_configuration",
        /// The claim for an idempotency key could not be recorded (503).
        ClaimUnavailable = "claim_unavailable",
        /// The idempotency key is older than the record reaches (409).
        KeyExpired = "key_expired",
        /// The idempotency key was used for a different request (422).
        KeyReused = "key_reused",
        /// The request was revoked before it started (503).
        Revoked = "revoked",
        /// The retry budget of the account is spent (503).
        RetryBudget = "retry_budget",
        /// The peer speaks another protocol version (503).
        ProtocolVersion = "protocol_version",
        /// The peer sent a frame that cannot be decoded (503).
        MalformedFrame = "malformed_frame",
        /// The process is shutting down (503).
        ShuttingDown = "shutting_down",
    }
}

labelled_enum! {
    /// Why a request was tried again on a backend server.
    pub enum RetryReason {
        /// No connection to the agent could be made.
        ConnectFailed = "connect_failed",
        /// The agent refused before starting.
        Refused = "refused",
        /// The agent proved that it never started the request.
        Revoked = "revoked",
        /// The operators declared the call repeatable.
        Repeatable = "repeatable",
        /// A broken stream was resumed from its offset.
        StreamResumed = "stream_resumed",
    }
}

labelled_enum! {
    /// Why nothing can be proved about a request.
    pub enum UnknownReason {
        /// The link was lost and the agent could not be asked in time.
        LinkLost = "link_lost",
        /// The agent restarted since it received the request.
        AgentRestarted = "agent_restarted",
        /// The backend server broke off before its answer was complete.
        BackendBroke = "backend_broke",
        /// The backend server did not answer within the deadline.
        BackendTimeout = "backend_timeout",
        /// The idempotency key is claimed and its result is not recorded.
        ClaimedElsewhere = "claimed_elsewhere",
        /// The backend server answered with another request's id or with garbage.
        BadAnswer = "bad_answer",
    }
}

impl RefusalReason {
    /// The HTTP status that tells a caller of this reason.
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
