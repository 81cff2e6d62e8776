//! Limits on retries: a budget per client account, and backoff between tries.

use celerycrank_types::{RefusalReason, TimeSpan};
use rand::Rng;

/// Number of requests by which an account earns one retry.
const REQUESTS_PER_RETRY: u32 = 10;

/// Maximum number of unused retries that an account may accumulate.
const MAX_SAVED_RETRIES: u32 = 32;

/// Limits the exponent to avoid overflow; the backoff reaches its limit well before.
const MAX_BACKOFF_DOUBLINGS: u32 = 20;

/// The retry budget of one client account.
///
/// Invariant: over the lifetime of the budget, retries are at most a tenth of the requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    /// Unused budget in tenths of a retry; at most [`MAX_SAVED_RETRIES`] retries.
    credit: u32,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Records a request of the account, which earns a tenth of a retry.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.credit = (self.credit + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Takes one retry from the budget; returns false if none is left.
    ///
    /// # Panics
    ///
    /// Panics if retries exceed a tenth of the requests.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let Some(credit) = self.credit.checked_sub(REQUESTS_PER_RETRY) else {
            return false;
        };
        self.credit = credit;
        self.retries += 1;
        assert!(
            self.retries * u64::from(REQUESTS_PER_RETRY) <= self.requests,
            "retries of an account exceed a tenth of its requests"
        );
        true
    }

    /// Returns the number of requests recorded so far.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns the number of retries taken so far.
    #[must_use]
    pub const fn retries(&self) -> u64 {
        self.retries
    }
}

/// Exponential backoff with full jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBackoff {
    /// Upper bound of the wait before the first retry.
    pub base: TimeSpan,
    /// Upper bound of the wait before any retry.
    pub limit: TimeSpan,
}

impl RetryBackoff {
    /// Draws the wait after `tries` tries, uniformly between zero and that try's bound.
    pub fn wait<R: Rng>(self, tries: u32, random: &mut R) -> TimeSpan {
        let doublings = tries.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let bound = self.base.0.saturating_mul(1 << doublings);
        TimeSpan(random.random_range(0..=bound.min(self.limit.0)))
    }
}

/// Returns whether a retry after this refusal is charged to the account's retry budget.
///
/// A retry is free if the request reached neither a backend server nor its queue: trying
/// another backend server then adds no load, and an agent that shuts down must not drain the
/// budgets of its callers.
#[must_use]
pub const fn consumes_retry_budget(reason: RefusalReason) -> bool {
    !matches!(
        reason,
        RefusalReason::AgentUnreachable
            | RefusalReason::BackendLeaving
            | RefusalReason::BackendUnreachable
            | RefusalReason::NoConfiguration
            | RefusalReason::OldRevision
            | RefusalReason::ShuttingDown
    )
}

/// Returns whether another backend server might accept a request refused for this reason.
#[must_use]
pub const fn is_retryable(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::QueueFull
        | RefusalReason::DeadlineUnreachable
        | RefusalReason::BackendLeaving
        | RefusalReason::BackendUnreachable
        | RefusalReason::AgentUnreachable
        | RefusalReason::OldRevision
        | RefusalReason::NoConfiguration
        | RefusalReason::StaleConfiguration
        | RefusalReason::Revoked
        | RefusalReason::ProtocolVersion
        | RefusalReason::ShuttingDown => true,
        RefusalReason::UnknownKey
        | RefusalReason::NoRoute
        | RefusalReason::RouteClosed
        | RefusalReason::Evacuated
        | RefusalReason::BackendCold
        | RefusalReason::BackendPaused
        | RefusalReason::OutsidePlan
        | RefusalReason::BadRequest
        | RefusalReason::HeaderTooLarge
        | RefusalReason::BodyTooLarge
        | RefusalReason::CallerTooSlow
        | RefusalReason::TooManyConnections
        | RefusalReason::ShareExhausted
        | RefusalReason::NoBackend
        | RefusalReason::ClaimUnavailable
        | RefusalReason::BackendLimit
        | RefusalReason::Overloaded
        | RefusalReason::CrashingPrompt
        | RefusalReason::KeyExpired
        | RefusalReason::KeyReused
        | RefusalReason::RetryBudget
        | RefusalReason::MalformedFrame => false,
    }
}
