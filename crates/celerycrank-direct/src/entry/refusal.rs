//! Answers of the entry's own.

use std::ops::RangeInclusive;

use celerycrank_platform::{OwnAnswer, write_own_answer};
use celerycrank_types::{RefusalReason, TimeSpan, UnknownReason};
use rand::Rng;

use super::state::EntryState;

/// Waits that a caller is told where backend servers had no room.
const ROOM_WAITS: RangeInclusive<u64> = wait_range(150, 900);

/// Waits that a caller is told while the store is away, which lasts seconds.
const STORE_WAITS: RangeInclusive<u64> = wait_range(1_000, 2_500);

/// Tells a caller that its request has not run and will not.
pub(crate) fn refuse(
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
        retry_after: may_return.then(|| draw_wait(state, reason)),
        is_last,
    })
}

/// Tells a caller that its request may have run.
pub(crate) fn tell_unknown(
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
fn draw_wait(state: &EntryState, reason: RefusalReason) -> TimeSpan {
    let waits = match reason {
        RefusalReason::StaleConfiguration | RefusalReason::NoConfiguration => STORE_WAITS,
        _ => ROOM_WAITS,
    };
    TimeSpan(state.random.borrow_mut().random_range(waits))
}

const fn wait_range(least_millis: u64, most_millis: u64) -> RangeInclusive<u64> {
    TimeSpan::from_millis(least_millis).0..=TimeSpan::from_millis(most_millis).0
}

/// Logs why a request cannot be understood.
pub(crate) fn bad_request(fault: impl std::fmt::Display) -> RefusalReason {
    tracing::info!(%fault, "request cannot be understood");
    RefusalReason::BadRequest
}
