//! Answers that the entry generates itself.

use std::ops::RangeInclusive;

use celerycrank_platform::{LocalAnswer, write_local_answer};
use celerycrank_types::{RefusalReason, TimeSpan, UnknownReason};
use rand::Rng;

use super::state::EntryState;

/// Retry delays sent to callers when the backend servers had no capacity.
const CAPACITY_RETRY_AFTER: RangeInclusive<u64> = retry_after_range(150, 900);

/// Retry delays sent to callers while the key-value service is unavailable, which lasts seconds.
const STORE_RETRY_AFTER: RangeInclusive<u64> = retry_after_range(1_000, 2_500);

/// Retry delays sent to callers while failure domains are evacuated, which lasts until operators
/// have ended it.
const EVACUATION_RETRY_AFTER: RangeInclusive<u64> = retry_after_range(1_000, 3_000);

/// The longest time by which retries are put off, so that they do not come at the same time.
const MAX_SPREAD: TimeSpan = TimeSpan::from_millis(750);

/// A refusal of a request that has not run and will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestRefusal {
    pub(crate) reason: RefusalReason,
    /// When the caller may come back; drawn at random if it is not known.
    pub(crate) retry_after: Option<TimeSpan>,
}

impl From<RefusalReason> for RequestRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

/// Counts a refusal and builds the answer for a request that has not run and will not run.
pub(crate) fn refusal_answer(
    state: &EntryState,
    attempt: Option<&str>,
    refusal: impl Into<RequestRefusal>,
    is_last: bool,
) -> bytes::BytesMut {
    let RequestRefusal {
        reason,
        retry_after,
    } = refusal.into();
    state.metrics.refusals.count(reason);
    let status = reason.status();
    let should_retry = matches!(status, 429 | 503);
    write_local_answer(&LocalAnswer {
        status,
        attempt,
        reason: reason.label(),
        retry_after: should_retry
            .then(|| retry_after.unwrap_or_else(|| random_retry_after(state, reason))),
        closes_connection: is_last,
    })
}

/// Counts an unknown outcome and builds the answer for a request that may have run.
pub(crate) fn unknown_answer(
    state: &EntryState,
    attempt: &str,
    reason: UnknownReason,
    is_last: bool,
) -> bytes::BytesMut {
    state.metrics.unknowns.count(reason);
    let status = match reason {
        UnknownReason::BackendTimeout | UnknownReason::EntryStopped => 504,
        _ => 502,
    };
    write_local_answer(&LocalAnswer {
        status,
        attempt: Some(attempt),
        reason: reason.label(),
        retry_after: None,
        closes_connection: is_last,
    })
}

/// Draws the time by which the retry of one of many callers is put off.
pub(crate) fn random_spread(random: &mut impl Rng) -> TimeSpan {
    TimeSpan(random.random_range(0..=MAX_SPREAD.0))
}

/// Draws a retry delay at random, so that callers do not all retry at the same time.
fn random_retry_after(state: &EntryState, reason: RefusalReason) -> TimeSpan {
    let delays = match reason {
        RefusalReason::StaleConfiguration | RefusalReason::NoConfiguration => STORE_RETRY_AFTER,
        RefusalReason::Evacuated => EVACUATION_RETRY_AFTER,
        _ => CAPACITY_RETRY_AFTER,
    };
    TimeSpan(state.random.borrow_mut().random_range(delays))
}

const fn retry_after_range(min_millis: u64, max_millis: u64) -> RangeInclusive<u64> {
    TimeSpan::from_millis(min_millis).0..=TimeSpan::from_millis(max_millis).0
}

/// Logs why a request is malformed.
pub(crate) fn bad_request(error: impl std::fmt::Display) -> RefusalReason {
    tracing::info!(fault = %error, "malformed request");
    RefusalReason::BadRequest
}
