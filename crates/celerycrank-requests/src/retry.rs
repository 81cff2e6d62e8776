//! Bounds on retries: a budget per client account, and backoff between tries.

use celerycrank_types::{RefusalReason, TimeSpan};
use rand::Rng;

/// Requests of an account that earn one retry.
const REQUESTS_PER_RETRY: u32 = 10;

/// Most retries that an account may save up.
const MAX_SAVED_RETRIES: u32 = 32;

/// Doublings after which the backoff has long reached its limit.
const MAX_BACKOFF_DOUBLINGS: u32 = 20;

/// The sendings beyond the first that one client account may cause.
///
/// Invariant: over the life of the budget, retries are at most a tenth of the requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    /// Tenths of a retry that are saved up; at most [`MAX_SAVED_RETRIES`] whole ones.
    credit: u32,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Notes a request of the account's own.
    pub fn earn(&mut self) {
        self.requests += 1;
        self.credit = (self.credit + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Takes one retry, if the account has one left.
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
            "an account offered more than 1.1 times its own requests"
        );
        true
    }

    /// Requests noted so far.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.requests
    }

    /// Retries taken so far.
    #[must_use]
    pub const fn retries(&self) -> u64 {
        self.retries
    }
}

/// Exponential backoff with full jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBackoff {
    /// Longest wait before the first retry.
    pub base: TimeSpan,
    /// Longest wait before any retry.
    pub limit: TimeSpan,
}

impl RetryBackoff {
    /// The wait after `tries` tries, drawn evenly from zero to the bound of that try.
    pub fn wait<R: Rng>(self, tries: u32, random: &mut R) -> TimeSpan {
        let doublings = tries.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let bound = self.base.0.saturating_mul(1 << doublings);
        TimeSpan(random.random_range(0..=bound.min(self.limit.0)))
    }
}

/// Whether a retry after this refusal is paid from the account's budget.
///
/// Where the request reached neither a backend server nor its queue, trying another one
/// adds no load, and a stopping agent must not use up what its callers saved.
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

/// Whether another backend server might accept what one agent refused for this reason.
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
        | RefusalReason::OutsidePlan
        | RefusalReason::BadRequest
        | RefusalReason::HeaderTooLarge
        | RefusalReason::BodyTooLarge
        | RefusalReason::CallerTooSlow
        | RefusalReason::TooManyConnections
        | RefusalReason::ShareExhausted
        | RefusalReason::NoBackend
        | RefusalReason::ClaimUnavailable
        | RefusalReason::KeyExpired
        | RefusalReason::KeyReused
        | RefusalReason::RetryBudget
        | RefusalReason::MalformedFrame => false,
    }
}
