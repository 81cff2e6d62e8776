//! Log lines and metrics of requests that have ended.

use celerycrank_types::{RefusalReason, TimePoint, TimeSpan, UnknownReason};

use super::{dispatch::RequestDispatch, request::AdmittedRequest, state::EntryState};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The complete answer of a backend server was passed on, with this status.
    Answered(u16),
    /// The caller was told that it has not run.
    Refused(RefusalReason),
    /// The caller was told that it may have run.
    Unknown(UnknownReason),
    /// The caller received a part of a stream but not its end.
    CutOff(UnknownReason),
    /// The caller left before its answer was complete.
    CallerLeft,
}

/// Counts the end of an admitted request and logs one line about it.
pub(crate) fn record_end(
    state: &EntryState,
    request: &AdmittedRequest,
    dispatch: &RequestDispatch<'_>,
    end: RequestEnd,
) {
    let now = state.clock.now();
    let span = now.since(request.arrival);
    let time_left = request.deadline.since(now);
    match end {
        RequestEnd::Answered(_) => {
            state.metrics.answered.inc();
            state.metrics.answer_time.observe(span.as_secs_f64());
        }
        RequestEnd::CallerLeft => state.metrics.callers_left.inc(),
        RequestEnd::CutOff(reason) => state.metrics.unknowns.count(reason),
        RequestEnd::Refused(_) | RequestEnd::Unknown(_) => {}
    }
    let is_unfinished = matches!(end, RequestEnd::CutOff(_) | RequestEnd::Unknown(_));
    if is_unfinished && time_left > TimeSpan::ZERO {
        state.metrics.ended_early.inc();
    }
    tracing::info!(
        request = %request.attempt,
        route = %request.route.name,
        service = %request.service,
        account = request.account.as_ref().map(tracing::field::display),
        revision = %request.revision,
        configuration_age = state.configuration_age().map(tracing::field::display),
        backend = dispatch.answering().map(tracing::field::display),
        sendings = dispatch.sent.sends(),
        took = %span,
        %time_left,
        ?end,
        "request ended"
    );
}

/// Logs a request that was not admitted.
pub(crate) fn log_refusal(
    state: &EntryState,
    attempt: Option<&str>,
    arrival: TimePoint,
    reason: RefusalReason,
) {
    let revision = state.in_force().map(|it| it.revision);
    tracing::info!(
        request = attempt,
        %reason,
        revision = revision.map(tracing::field::display),
        configuration_age = state.configuration_age().map(tracing::field::display),
        took = %state.clock.now().since(arrival),
        "request not admitted"
    );
}
