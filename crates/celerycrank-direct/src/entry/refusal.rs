//! Answers of the entry's own.

use std::ops::RangeInclusive;

use celerycrank_platform::{OwnAnswer, write_own_answer};
use celerycrank_types::{RefusalReason, TimeSpan, UnknownReason};
use rand::Rng;

use super::state::EntryState;

/// Waits that a caller is told where backend servers had no room.
const CAPACITY_RETRY_AFTER: RangeInclusive<u64> = retry_after_range(150, 900);

/// Waits that a caller is told while the store is away, which lasts seconds.
const STORE_RETRY_AFTER: RangeInclusive<u64> = retry_after_range(1_000, 2_500);

/// Tells a caller that its request has not run and will not.
pub(crate) fn refusal_answer(
    state: &EntryState,
    attempt: Option<&str>,
    reason: RefusalReason,
    is_last: bool,
) -> bytes::BytesMut {
    state.metrics.refusals.count(reason);
    let status = reason.status();
    let may_return = matches!(status, 429 | 503);
    write_own_answer(&OwnAnswer {
        status,
        attempt,
        reason: reason.label(),
        retry_after: may_return.then(|| random_retry_after(state, reason)),
        is_last,
    })
}

/// Tells a caller that its request may have run.
pub(crate) fn unknown_answer(
    state: &EntryState,
    attempt: &str,
    reason: UnknownReason,
    is_last: bool,
) -> bytes::BytesMut {
    state.metrics.unknowns.count(reason);
    let status = match reason {
        UnknownReason::BackendTimeout => 504,
        _ => 502,
    };
    write_own_answer(&OwnAnswer {
        status,
        attempt: Some(attempt),
        reason: reason.label(),
        retry_after: None,
        is_last,
    })
}

/// A wait that differs from caller to caller, so that they do not return together.
fn random_retry_after(state: &EntryState, reason: RefusalReason) -> TimeSpan {
    let waits = match reason {
        RefusalReason::StaleConfiguration | RefusalReason::NoConfiguration => STORE_RETRY_AFTER,
        _ => CAPACITY_RETRY_AFTER,
    };
    TimeSpan(state.random.borrow_mut().random_range(waits))
}

const fn retry_after_range(least_millis: u64, most_millis: u64) -> RangeInclusive<u64> {
    TimeSpan::from_millis(least_millis).0..=TimeSpan::from_millis(most_millis).0
}

/// Logs why a request cannot be understood.
pub(crate) fn bad_request(error: impl std::fmt::Display) -> RefusalReason {
    tracing::info!(fault = %error, "request cannot be understood");
    RefusalReason::BadRequest
}
