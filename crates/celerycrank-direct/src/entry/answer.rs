//! Handles one request: admits it, forwards it and returns the answer.

use std::{rc::Rc, sync::Arc};

use bytes::BytesMut;
use celerycrank_http::{BodyFraming, ResponseHead};
use celerycrank_platform::{read_request, write_answer_head};
use celerycrank_serving::AnswerProgress;
use celerycrank_types::{RefusalReason, TimePoint, UnknownReason};
use tokio::select;

use super::{
    caller::{CallerConnection, ConnectionStep},
    dispatch::RequestDispatch,
    outcome::{RequestEnd, log_refusal, record_end},
    progress::{AttemptTrack, RequestError},
    refusal::{bad_request, refusal_answer, unknown_answer},
    request::{AdmittedRequest, RequestDraft, admit},
    state::EntryState,
    stream::stream_answer,
};

/// Maximum size of an answer that is buffered before any of it is passed on, in bytes.
pub(crate) const MAX_BUFFERED_ANSWER: usize = 4 << 20;

/// Maximum size of an answer that is copied behind its head, in bytes.
const MAX_COPIED_ANSWER: usize = 16 << 10;

/// Answers one request of a caller.
pub(crate) async fn answer_request(
    state: &EntryState,
    caller: &mut CallerConnection,
    draft: RequestDraft,
) -> ConnectionStep {
    let is_persistent = draft.head.is_persistent();
    let arrival = draft.arrival;
    let metadata = read_request(&draft.head).map_err(bad_request);
    let attempt = metadata
        .as_ref()
        .ok()
        .map(|metadata| Arc::clone(&metadata.attempt));
    let request = match metadata.and_then(|metadata| admit(state, draft, metadata)) {
        Ok(request) => request,
        Err(reason) => {
            let attempt = attempt.as_deref();
            let is_last = !is_persistent || state.is_stopping.get();
            log_refusal(state, attempt, arrival, reason);
            let answer = refusal_answer(state, attempt, reason, is_last);
            let is_sent = caller.send(&answer).await;
            return next_step(is_sent && !is_last);
        }
    };
    let time_left = state.clock.until(request.deadline).as_duration();
    caller.deadline = Some(actix_rt::time::Instant::now() + time_left);
    let dispatch = RequestDispatch::new(state, &request);
    let (end, step) = if request.route.semantics.is_stream() {
        Box::pin(stream_answer(caller, &dispatch, is_persistent)).await
    } else {
        Box::pin(answer_buffered(caller, &dispatch, is_persistent)).await
    };
    record_end(state, &request, &dispatch, end);
    step
}

/// An answer that has been read to its end.
struct BufferedAnswer {
    head: ResponseHead,
    body: BytesMut,
}

async fn answer_buffered(
    caller: &mut CallerConnection,
    dispatch: &RequestDispatch<'_>,
    is_persistent: bool,
) -> (RequestEnd, ConnectionStep) {
    let state = dispatch.state;
    let request = dispatch.request;
    let track = AttemptTrack::default();
    let fetching = fetch_buffered_answer(dispatch, &track);
    let outcome = run_interruptible(state, caller, request.deadline, fetching).await;
    if !matches!(outcome, WorkOutcome::Done(_)) {
        dispatch.note_unanswered(&track);
    }
    let is_last = !is_persistent || state.is_stopping.get();
    let answered = match outcome {
        WorkOutcome::Done(answered) => answered,
        WorkOutcome::Expired => Err(deadline_error(dispatch)),
        WorkOutcome::Stopped => Err(stop_error(dispatch)),
        WorkOutcome::CallerLeft => return (RequestEnd::CallerLeft, ConnectionStep::Close),
    };
    let mut rest = BytesMut::new();
    let (end, message) = match answered {
        Ok(answer) => {
            let framing = BodyFraming::Length(answer.body.len() as u64);
            let mut writer = write_answer_head(&answer.head, framing, is_last);
            let status = answer.head.status;
            // A short body is sent with its head in one segment; a long one is not copied.
            if answer.body.len() <= MAX_COPIED_ANSWER {
                writer.put(&answer.body);
            } else {
                rest = answer.body;
            }
            (RequestEnd::Answered(status), writer.into_bytes())
        }
        Err(error) => error_answer(state, request, error, is_last),
    };
    if !caller.send(&message).await || !caller.send(&rest).await {
        return (RequestEnd::CallerLeft, ConnectionStep::Close);
    }
    (end, next_step(!is_last))
}

/// Reads an answer to its end.
///
/// An answer that breaks off or reports a failure is requested from another backend server, as
/// far as the retry rules allow.
async fn fetch_buffered_answer(
    dispatch: &RequestDispatch<'_>,
    track: &AttemptTrack,
) -> Result<BufferedAnswer, RequestError> {
    let mut failed: Option<BufferedAnswer> = None;
    loop {
        let served = match dispatch.open(None, track).await {
            Ok(served) => served,
            // Prefer a failure reported by a backend server to an error of the entry itself.
            Err(error) => return failed.ok_or(error),
        };
        let (mut answer, in_flight) = (served.answer, served.in_flight);
        let mut body = BytesMut::new();
        let space = &dispatch.request.space;
        let read = loop {
            space.answer_room().await;
            match answer.body.next().await {
                Ok(Some(data)) if body.len() + data.len() > MAX_BUFFERED_ANSWER => {
                    break Err(UnknownReason::BadAnswer);
                }
                Ok(Some(data)) => {
                    body.extend_from_slice(&data);
                    let earlier = failed.as_ref().map_or(0, |it| it.body.capacity());
                    space.hold_answer(earlier + body.capacity());
                }
                Ok(None) => break Ok(()),
                Err(reason) => break Err(reason),
            }
        };
        space.end_answer();
        let (sent_to, holder) = (Rc::clone(&in_flight.sent_to), in_flight.holder);
        drop(in_flight);
        if let Err(reason) = read {
            let progress = if body.is_empty() {
                AnswerProgress::NotBegun
            } else {
                AnswerProgress::Begun
            };
            let retried = dispatch.retry_broken(&sent_to, reason, progress);
            if let Err(error) = retried {
                return failed.ok_or(error);
            }
            continue;
        }
        dispatch.note_begun(answer.head.status, holder);
        dispatch.note_finished(answer.head.status, &sent_to, true);
        let is_failure = answer.head.status >= 500;
        let state = dispatch.state;
        state
            .backends
            .borrow_mut()
            .note_answer(&sent_to.backend, is_failure, state.clock.now());
        if is_failure {
            dispatch.note_unanswered(track);
        } else {
            dispatch.note_answer_time(track);
        }
        answer.body.release(state);
        let buffered = BufferedAnswer {
            head: answer.head,
            body,
        };
        if !is_failure || !dispatch.may_repeat_failure() {
            return Ok(buffered);
        }
        failed = Some(buffered);
    }
}

/// How work on a request ended.
pub(crate) enum WorkOutcome<T> {
    Done(T),
    CallerLeft,
    Expired,
    /// The grace period of a stop ends.
    Stopped,
}

/// Runs `work` until it completes, the caller disconnects, the deadline passes or the grace period
/// of a stop ends.
pub(crate) async fn run_interruptible<T>(
    state: &EntryState,
    caller: &mut CallerConnection,
    deadline: TimePoint,
    work: impl Future<Output = T>,
) -> WorkOutcome<T> {
    let time_left = state.clock.until(deadline).as_duration();
    select! {
        biased;
        done = work => WorkOutcome::Done(done),
        () = caller.disconnected() => WorkOutcome::CallerLeft,
        () = actix_rt::time::sleep(time_left) => WorkOutcome::Expired,
        () = state.ending.raised() => WorkOutcome::Stopped,
    }
}

/// The error for a request whose deadline has passed.
pub(crate) fn deadline_error(dispatch: &RequestDispatch<'_>) -> RequestError {
    if dispatch.sent.may_have_run() {
        RequestError::Unknown(UnknownReason::BackendTimeout)
    } else {
        RequestError::Refused(RefusalReason::DeadlineUnreachable.into())
    }
}

/// The error for a request that the grace period of a stop leaves no more time.
pub(crate) fn stop_error(dispatch: &RequestDispatch<'_>) -> RequestError {
    if dispatch.sent.may_have_run() {
        RequestError::Unknown(UnknownReason::EntryStopped)
    } else {
        RequestError::Refused(RefusalReason::ShuttingDown.into())
    }
}

/// Returns the end and the answer of a request that no backend server answered.
pub(crate) fn error_answer(
    state: &EntryState,
    request: &AdmittedRequest,
    error: RequestError,
    is_last: bool,
) -> (RequestEnd, BytesMut) {
    let attempt = &*request.attempt;
    match error {
        RequestError::Refused(refusal) => (
            RequestEnd::Refused(refusal.reason),
            refusal_answer(state, Some(attempt), refusal, is_last),
        ),
        RequestError::Unknown(reason) => (
            RequestEnd::Unknown(reason),
            unknown_answer(state, attempt, reason, is_last),
        ),
    }
}

pub(crate) const fn next_step(is_kept: bool) -> ConnectionStep {
    if is_kept {
        ConnectionStep::Keep
    } else {
        ConnectionStep::Close
    }
}
