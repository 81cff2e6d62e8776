//! Answers of the entry's own.

use celerycrank_platform::{OwnAnswer, write_own_answer};
use celerycrank_types::{RefusalReason, TimeSpan, UnknownReason};
use rand::Rng;

use super::state::EntryState;

/// Shortest wait that a refused caller is told.
const LEAST_WAIT: TimeSpan = TimeSpan::from_millis(150);

/// Longest wait that a refused caller is told.
const LONGEST_WAIT: TimeSpan = TimeSpan::from_millis(900);

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
        retry_after: may_return.then(|| draw_wait(state)),
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
fn draw_wait(state: &EntryState) -> TimeSpan {
    let mut random = state.random.borrow_mut();
    TimeSpan(random.random_range(LEAST_WAIT.0..=LONGEST_WAIT.0))
}

/// Logs why a request cannot be understood.
pub(crate) fn bad_request(fault: impl std::fmt::Display) -> RefusalReason {
    tracing::info!(%fault, "request cannot be understood");
    RefusalReason::BadRequest
}
