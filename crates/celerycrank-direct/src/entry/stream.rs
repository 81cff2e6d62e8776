//! Relays a stream of events, and resumes it at another backend server if it breaks off.

use std::time::Duration;

use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use celerycrank_http::{BodyFraming, MessageWriter, ResponseHead};
use celerycrank_platform::write_answer_head;
use celerycrank_serving::EventReader;
use celerycrank_types::{BackendId, UnknownReason};

use super::{
    answer::{
        MAX_BUFFERED_ANSWER, WorkOutcome, deadline_error, error_answer, next_step,
        run_interruptible,
    },
    attempt::{AnswerBody, bad_answer, incomplete_answer},
    caller::{CallerConnection, ConnectionStep},
    dispatch::{InFlightGuard, RequestDispatch},
    outcome::RequestEnd,
    progress::{AnswerProgress, RequestError},
};

/// Silence after which a stream that has not started is requested from another backend server.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Silence after which a stream that has started is resumed at another backend server.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A stream that is being received from a backend server.
struct LiveStream<'run> {
    head: ResponseHead,
    body: AnswerBody,
    in_flight: InFlightGuard<'run>,
    events: EventReader,
}

/// The next part of a stream.
enum StreamPart {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

impl LiveStream<'_> {
    /// Returns the next complete events, or the end of the stream.
    async fn next(&mut self) -> Result<StreamPart, UnknownReason> {
        loop {
            match self.body.next().await? {
                Some(data) => {
                    let events = self.events.push(&data);
                    let events = events.map_err(bad_answer)?;
                    if !events.is_empty() {
                        return Ok(StreamPart::Events(events));
                    }
                }
                None if self.is_complete() => return Ok(StreamPart::End),
                None => return Err(incomplete_answer("the stream ended before its last event")),
            }
        }
    }

    /// Whether a stream whose body has ended is complete.
    ///
    /// The connection of a backend server that crashes ends like that of one which has finished; a
    /// stream without any event has not been answered.
    fn is_complete(&self) -> bool {
        let has_begun = self.events.has_events() || !self.body.ends_with_connection;
        self.events.is_between_events() && has_begun
    }
}

/// Answers a request with a stream.
pub(crate) async fn stream_answer(
    caller: &mut CallerConnection,
    dispatch: &mut RequestDispatch<'_>,
    is_persistent: bool,
) -> (RequestEnd, ConnectionStep) {
    let state = dispatch.state;
    let request = dispatch.request;
    let is_last = !is_persistent || state.is_stopping.get();
    let starting = start_stream(dispatch, request.last_event);
    let started = match run_interruptible(state, caller, request.deadline, starting).await {
        WorkOutcome::Done(started) => started,
        WorkOutcome::Expired => Err(deadline_error(dispatch)),
        WorkOutcome::CallerLeft => return (RequestEnd::CallerLeft, ConnectionStep::Close),
    };
    let (live, first) = match started {
        Ok(started) => started,
        Err(error) => {
            let (end, message) = error_answer(state, request, error, is_last);
            let is_sent = caller.send(&message).await;
            return (end, next_step(is_sent && !is_last));
        }
    };
    let first_event = state.clock.now().since(request.arrival);
    state.metrics.first_event.observe(first_event.as_secs_f64());
    let mut writer = write_answer_head(&live.head, BodyFraming::Chunked, is_last);
    let status = live.head.status;
    let is_complete = match first {
        StreamPart::Events(events) => {
            writer.chunk(&events);
            false
        }
        StreamPart::End => {
            writer.end_chunks();
            true
        }
    };
    if !caller.send(&writer.into_bytes()).await {
        return (RequestEnd::CallerLeft, ConnectionStep::Close);
    }
    if is_complete {
        release(dispatch, live);
        return (RequestEnd::Answered(status), next_step(!is_last));
    }
    let relaying = relay(caller, dispatch, live);
    match relaying.await {
        RelayOutcome::Complete => (RequestEnd::Answered(status), next_step(!is_last)),
        RelayOutcome::CallerLeft => (RequestEnd::CallerLeft, ConnectionStep::Close),
        RelayOutcome::Broken(reason) => (RequestEnd::CutOff(reason), ConnectionStep::Close),
    }
}

/// Opens a stream and reads its first events, with retries at other backend servers.
async fn start_stream<'run>(
    dispatch: &mut RequestDispatch<'run>,
    last_event: Option<u64>,
) -> Result<(LiveStream<'run>, StreamPart), RequestError> {
    loop {
        let silence = dispatch.silence_timeout(FIRST_EVENT_TIMEOUT, 1);
        match timeout(silence, open(dispatch, last_event)).await {
            Ok(Ok(OpenedStream::Started(started))) => {
                dispatch.note_begun(started.0.head.status);
                return Ok(*started);
            }
            Ok(Ok(OpenedStream::Broken(backend, reason))) => {
                let progress = AnswerProgress::at(last_event);
                dispatch.retry_broken(&backend, reason, progress).await?;
            }
            Ok(Err(error)) => return Err(error),
            Err(_) => dispatch.retry_unresponsive().await?,
        }
    }
}

/// Result of opening a stream at one backend server.
enum OpenedStream<'run> {
    Started(Box<(LiveStream<'run>, StreamPart)>),
    Broken(BackendId, UnknownReason),
}

async fn open<'run>(
    dispatch: &mut RequestDispatch<'run>,
    last_event: Option<u64>,
) -> Result<OpenedStream<'run>, RequestError> {
    let served = dispatch.open(last_event).await?;
    let mut live = LiveStream {
        head: served.answer.head,
        body: served.answer.body,
        in_flight: served.in_flight,
        events: EventReader::after(last_event),
    };
    if live.head.status != 200 {
        return read_failure(live).await;
    }
    Ok(match live.next().await {
        Ok(part) => OpenedStream::Started(Box::new((live, part))),
        Err(reason) => OpenedStream::Broken(live.in_flight.backend.clone(), reason),
    })
}

/// Reads the answer of a backend server that failed, which is passed on unchanged.
async fn read_failure(mut live: LiveStream<'_>) -> Result<OpenedStream<'_>, RequestError> {
    let mut body = BytesMut::new();
    loop {
        match live.body.next().await {
            Ok(Some(data)) if body.len() + data.len() > MAX_BUFFERED_ANSWER => {
                let reason = bad_answer("the body of a failure is too large");
                return Ok(OpenedStream::Broken(live.in_flight.backend.clone(), reason));
            }
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) => {
                let part = if body.is_empty() {
                    StreamPart::End
                } else {
                    live.events = EventReader::finished();
                    StreamPart::Events(body.freeze())
                };
                return Ok(OpenedStream::Started(Box::new((live, part))));
            }
            Err(reason) => return Ok(OpenedStream::Broken(live.in_flight.backend.clone(), reason)),
        }
    }
}

/// How relaying the rest of a stream ended.
enum RelayOutcome {
    Complete,
    CallerLeft,
    Broken(UnknownReason),
}

/// Relays the rest of a stream, from one backend server after another.
async fn relay<'run>(
    caller: &mut CallerConnection,
    dispatch: &mut RequestDispatch<'run>,
    mut live: LiveStream<'run>,
) -> RelayOutcome {
    let state = dispatch.state;
    let deadline = dispatch.request.deadline;
    loop {
        let silence = dispatch.silence_timeout(EVENT_TIMEOUT, 0);
        let next = timeout(silence, live.next());
        let next = match run_interruptible(state, caller, deadline, next).await {
            // A silent backend server may be down.
            WorkOutcome::Done(next) => next.unwrap_or(Err(UnknownReason::BackendTimeout)),
            WorkOutcome::CallerLeft => return RelayOutcome::CallerLeft,
            WorkOutcome::Expired => return RelayOutcome::Broken(UnknownReason::BackendTimeout),
        };
        let part = match next {
            Ok(part) => part,
            Err(reason) => {
                let last_event = live.events.last_event();
                let backend = live.in_flight.backend.clone();
                drop(live);
                let resumed = resume(caller, dispatch, &backend, reason, last_event).await;
                match resumed {
                    Ok((resumed, part)) => {
                        live = resumed;
                        part
                    }
                    Err(end) => return end,
                }
            }
        };
        let is_end = matches!(part, StreamPart::End);
        let is_sent = forward_part(caller, &part).await;
        if is_end {
            release(dispatch, live);
            return if is_sent {
                RelayOutcome::Complete
            } else {
                RelayOutcome::CallerLeft
            };
        }
        if !is_sent {
            return RelayOutcome::CallerLeft;
        }
    }
}

async fn forward_part(caller: &mut CallerConnection, part: &StreamPart) -> bool {
    let mut writer = MessageWriter::default();
    match part {
        StreamPart::Events(events) => writer.chunk(events),
        StreamPart::End => writer.end_chunks(),
    }
    caller.send(&writer.into_bytes()).await
}

/// Resumes a broken stream at another backend server.
async fn resume<'run>(
    caller: &mut CallerConnection,
    dispatch: &mut RequestDispatch<'run>,
    backend: &BackendId,
    reason: UnknownReason,
    last_event: Option<u64>,
) -> Result<(LiveStream<'run>, StreamPart), RelayOutcome> {
    let broken = |_| RelayOutcome::Broken(reason);
    // A stream whose events are not numbered cannot be resumed.
    let Some(last_event) = last_event else {
        return Err(RelayOutcome::Broken(reason));
    };
    let retried = dispatch.retry_broken(backend, reason, AnswerProgress::Begun);
    retried.await.map_err(broken)?;
    let state = dispatch.state;
    let deadline = dispatch.request.deadline;
    let starting = start_stream(dispatch, Some(last_event));
    match run_interruptible(state, caller, deadline, starting).await {
        WorkOutcome::Done(Ok((live, _))) if live.head.status != 200 => {
            log_not_resumed(dispatch, format_args!("answered {}", live.head.status));
            Err(RelayOutcome::Broken(reason))
        }
        WorkOutcome::Done(Ok(started)) => Ok(started),
        WorkOutcome::Done(Err(error)) => {
            log_not_resumed(dispatch, format_args!("{error:?}"));
            Err(RelayOutcome::Broken(reason))
        }
        WorkOutcome::Expired => Err(RelayOutcome::Broken(reason)),
        WorkOutcome::CallerLeft => Err(RelayOutcome::CallerLeft),
    }
}

/// Logs why a stream that had begun was not resumed at another backend server.
fn log_not_resumed(dispatch: &RequestDispatch<'_>, why: std::fmt::Arguments<'_>) {
    tracing::info!(request = %dispatch.request.attempt, %why, "stream not resumed");
}

/// Records the end of a complete stream and returns its connection to the pool.
fn release(dispatch: &RequestDispatch<'_>, live: LiveStream<'_>) {
    let state = dispatch.state;
    let is_failure = live.head.status >= 500;
    state
        .backends
        .borrow_mut()
        .note_answer(&live.in_flight.backend, is_failure);
    live.body.release(state);
}
