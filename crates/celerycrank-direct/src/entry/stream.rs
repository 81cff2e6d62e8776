//! Passes a stream of events on, and goes on at another backend server where one breaks off.

use std::time::Duration;

use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use celerycrank_http::{BodyFraming, MessageWriter, ResponseHead};
use celerycrank_platform::write_answer_head;
use celerycrank_serving::EventReader;
use celerycrank_types::{BackendId, UnknownReason};

use super::{
    answer::{Watched, expired_fault, next_step, tell_fault, watch},
    attempt::{AnswerBody, bad_answer},
    caller::{CallerConnection, ConnectionStep},
    dispatch::{DispatchFault, InFlight, RequestDispatch},
    tell::RequestEnd,
};

/// Silence after which a stream that has not begun is asked for elsewhere.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(1_400);

/// Silence after which a stream that has begun is gone on with elsewhere.
const EVENT_SILENCE: Duration = Duration::from_millis(1_200);

/// A stream that a backend server is writing.
struct LiveStream<'run> {
    head: ResponseHead,
    body: AnswerBody,
    source: InFlight<'run>,
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
    /// The next whole events, or the end of the stream.
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
                None if self.events.is_between_events() => return Ok(StreamPart::End),
                None => return Err(UnknownReason::BackendBroke),
            }
        }
    }
}

/// Answers a request by a stream.
pub(crate) async fn stream_answer(
    caller: &mut CallerConnection,
    dispatch: &mut RequestDispatch<'_>,
    is_persistent: bool,
) -> (RequestEnd, ConnectionStep) {
    let state = dispatch.state;
    let request = dispatch.request;
    let is_last = !is_persistent || state.is_stopping.get();
    let beginning = begin(dispatch, request.last_event);
    let begun = match watch(state, caller, request.deadline, beginning).await {
        Watched::Done(begun) => begun,
        Watched::Expired => Err(expired_fault(dispatch)),
        Watched::CallerLeft => return (RequestEnd::CallerLeft, ConnectionStep::Close),
    };
    let (live, first) = match begun {
        Ok(begun) => begun,
        Err(fault) => {
            let (end, message) = tell_fault(state, request, fault, is_last);
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
        RelayEnd::Complete => (RequestEnd::Answered(status), next_step(!is_last)),
        RelayEnd::CallerLeft => (RequestEnd::CallerLeft, ConnectionStep::Close),
        RelayEnd::Broken(reason) => (RequestEnd::CutOff(reason), ConnectionStep::Close),
    }
}

/// Opens a stream and reads its first events.
async fn begin<'run>(
    dispatch: &mut RequestDispatch<'run>,
    last_event: Option<u64>,
) -> Result<(LiveStream<'run>, StreamPart), DispatchFault> {
    loop {
        let silence = dispatch.silence_limit(FIRST_EVENT_SILENCE, 1);
        match timeout(silence, open(dispatch, last_event)).await {
            Ok(Ok(Opened::Begun(begun))) => return Ok(*begun),
            Ok(Ok(Opened::Broken(backend, reason))) => dispatch.retry_broken(&backend, reason)?,
            Ok(Err(fault)) => return Err(fault),
            Err(_) => dispatch.retry_silent()?,
        }
    }
}

/// A stream that was opened.
enum Opened<'run> {
    Begun(Box<(LiveStream<'run>, StreamPart)>),
    Broken(BackendId, UnknownReason),
}

async fn open<'run>(
    dispatch: &mut RequestDispatch<'run>,
    last_event: Option<u64>,
) -> Result<Opened<'run>, DispatchFault> {
    let served = dispatch.open(last_event).await?;
    let mut live = LiveStream {
        head: served.answer.head,
        body: served.answer.body,
        source: served.source,
        events: EventReader::after(last_event),
    };
    if live.head.status != 200 {
        return read_failure(live).await;
    }
    Ok(match live.next().await {
        Ok(part) => Opened::Begun(Box::new((live, part))),
        Err(reason) => Opened::Broken(live.source.backend.clone(), reason),
    })
}

/// Reads the answer of a backend server that failed, which is passed on as it is.
async fn read_failure(mut live: LiveStream<'_>) -> Result<Opened<'_>, DispatchFault> {
    let mut body = BytesMut::new();
    loop {
        match live.body.next().await {
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) => {
                let part = if body.is_empty() {
                    StreamPart::End
                } else {
                    live.events = EventReader::finished();
                    StreamPart::Events(body.freeze())
                };
                return Ok(Opened::Begun(Box::new((live, part))));
            }
            Err(reason) => return Ok(Opened::Broken(live.source.backend.clone(), reason)),
        }
    }
}

/// How the rest of a stream ended.
enum RelayEnd {
    Complete,
    CallerLeft,
    Broken(UnknownReason),
}

/// Passes the rest of a stream on, from one backend server after another.
async fn relay<'run>(
    caller: &mut CallerConnection,
    dispatch: &mut RequestDispatch<'run>,
    mut live: LiveStream<'run>,
) -> RelayEnd {
    let state = dispatch.state;
    let deadline = dispatch.request.deadline;
    loop {
        let silence = dispatch.silence_limit(EVENT_SILENCE, 0);
        let next = timeout(silence, live.next());
        let next = match watch(state, caller, deadline, next).await {
            // A backend server that is silent may be gone.
            Watched::Done(next) => next.unwrap_or(Err(UnknownReason::BackendTimeout)),
            Watched::CallerLeft => return RelayEnd::CallerLeft,
            Watched::Expired => return RelayEnd::Broken(UnknownReason::BackendTimeout),
        };
        let part = match next {
            Ok(part) => part,
            Err(reason) => {
                let last_event = live.events.last_event();
                let backend = live.source.backend.clone();
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
        let is_sent = pass_part(caller, &part).await;
        if is_end {
            release(dispatch, live);
            return if is_sent {
                RelayEnd::Complete
            } else {
                RelayEnd::CallerLeft
            };
        }
        if !is_sent {
            return RelayEnd::CallerLeft;
        }
    }
}

async fn pass_part(caller: &mut CallerConnection, part: &StreamPart) -> bool {
    let mut writer = MessageWriter::default();
    match part {
        StreamPart::Events(events) => writer.chunk(events),
        StreamPart::End => writer.end_chunks(),
    }
    caller.send(&writer.into_bytes()).await
}

/// Goes on with a broken stream at another backend server.
async fn resume<'run>(
    caller: &mut CallerConnection,
    dispatch: &mut RequestDispatch<'run>,
    backend: &BackendId,
    reason: UnknownReason,
    last_event: Option<u64>,
) -> Result<(LiveStream<'run>, StreamPart), RelayEnd> {
    let broken = |_| RelayEnd::Broken(reason);
    // A stream whose events have no numbers cannot be gone on with.
    let Some(last_event) = last_event else {
        return Err(RelayEnd::Broken(reason));
    };
    dispatch.retry_broken(backend, reason).map_err(broken)?;
    let state = dispatch.state;
    let deadline = dispatch.request.deadline;
    let beginning = begin(dispatch, Some(last_event));
    match watch(state, caller, deadline, beginning).await {
        Watched::Done(Ok((live, _))) if live.head.status != 200 => Err(RelayEnd::Broken(reason)),
        Watched::Done(Ok(begun)) => Ok(begun),
        Watched::Done(Err(_)) | Watched::Expired => Err(RelayEnd::Broken(reason)),
        Watched::CallerLeft => Err(RelayEnd::CallerLeft),
    }
}

/// Notes a stream that ended well, and keeps its connection.
fn release(dispatch: &RequestDispatch<'_>, live: LiveStream<'_>) {
    let state = dispatch.state;
    let is_failure = live.head.status >= 500;
    state
        .backends
        .borrow_mut()
        .note_answer(&live.source.backend, is_failure);
    live.body.release(state);
}
