//! Passes an answer on to its caller.

use std::rc::Rc;

use actix_http::{
    Response, StatusCode,
    body::{BodyStream, BoxBody, MessageBody, SizedStream},
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue},
};
use actix_rt::time::timeout;
use bytes::Bytes;
use celerycrank_link::StreamError;
use celerycrank_types::{TimePoint, UnknownReason};
use celerycrank_wire::{HttpField, PeerReply};
use futures_util::{Stream, stream};

use crate::{
    forward::{AGENT_SILENCE_TIMEOUT, AttemptAnswer},
    probe::report_failure,
    refusal::{error_event, unknown_response},
    state::EntryState,
};

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// the answer broke off: {0}
#[derive(Debug, displaydoc::Display)]
struct IncompleteAnswer(UnknownReason);

impl std::error::Error for IncompleteAnswer {}

/// Makes the response that passes an answer on as it arrives.
///
/// The head is held back until the first part of the body: an answer that breaks off
/// before it is told as unknown, by a status of its own.
pub(crate) async fn relay_answer(
    state: Rc<EntryState>,
    answer: AttemptAnswer,
    arrival: TimePoint,
) -> Response<BoxBody> {
    state
        .metrics
        .queue_wait
        .observe(answer.head.waited.as_secs_f64());
    let Ok(status) = StatusCode::from_u16(answer.head.status) else {
        state.metrics.unknowns.count(UnknownReason::BadAnswer);
        return unknown_response(UnknownReason::BadAnswer);
    };
    let headers = parse_fields(&answer.head.fields);
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let events = headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM));
    let mut reader = AnswerReader {
        state,
        answer,
        events,
        last: arrival,
        begun: false,
        phase: ReaderPhase::Reading,
        first: None,
    };
    if let Err(reason) = reader.read_first().await {
        return unknown_response(reason);
    }
    let body = match length {
        Some(length) => SizedStream::new(length, Box::pin(reader.into_stream())).boxed(),
        None => BodyStream::new(Box::pin(reader.into_stream())).boxed(),
    };
    let mut response = Response::with_body(status, body);
    for (name, value) in headers {
        if name != CONTENT_LENGTH {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn parse_fields(fields: &[HttpField]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        // The agent's HTTP client let no other header pass.
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// How far an answer was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReaderPhase {
    Reading,
    /// The stream's end was marked, and its connection is to be cut.
    ErrorSent(UnknownReason),
    Done,
}

/// Reads the parts of an answer from its agent.
struct AnswerReader {
    state: Rc<EntryState>,
    answer: AttemptAnswer,
    /// Whether the answer is a stream of events, in which an end can be marked.
    events: bool,
    last: TimePoint,
    begun: bool,
    phase: ReaderPhase,
    /// The part that was read before the response was made.
    first: Option<Bytes>,
}

impl AnswerReader {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, IncompleteAnswer>> {
        stream::unfold(self, |mut reader| async move {
            let item = reader.next_part().await?;
            Some((item, reader))
        })
    }

    /// Reads the first part of the body, or its end.
    async fn read_first(&mut self) -> Result<(), UnknownReason> {
        match self.receive().await {
            Ok(Some(part)) => {
                self.observe_chunk();
                self.first = Some(part);
                Ok(())
            }
            Ok(None) => {
                self.finish();
                Ok(())
            }
            Err(reason) => {
                self.phase = ReaderPhase::Done;
                self.state.metrics.unknowns.count(reason);
                Err(reason)
            }
        }
    }

    fn finish(&mut self) {
        self.phase = ReaderPhase::Done;
        self.state.metrics.answered.inc();
    }

    async fn next_part(&mut self) -> Option<Result<Bytes, IncompleteAnswer>> {
        if let Some(part) = self.first.take() {
            return Some(Ok(part));
        }
        match self.phase {
            ReaderPhase::Reading => {}
            ReaderPhase::ErrorSent(reason) => {
                self.phase = ReaderPhase::Done;
                return Some(abort_body(reason).await);
            }
            ReaderPhase::Done => return None,
        }
        match self.receive().await {
            Ok(Some(chunk)) => {
                self.observe_chunk();
                Some(Ok(chunk))
            }
            Ok(None) => {
                self.finish();
                None
            }
            Err(reason) => Some(self.fail_body(reason).await),
        }
    }

    /// The next part of the body; nothing once it is complete.
    async fn receive(&mut self) -> Result<Option<Bytes>, UnknownReason> {
        loop {
            let receiving = self.answer.receiver.receive();
            let reply = match timeout(AGENT_SILENCE_TIMEOUT, receiving).await {
                Ok(Ok(Some(reply))) => reply,
                Ok(Err(StreamError::Wire(_))) => {
                    self.state.metrics.wire_faults.inc();
                    return Err(UnknownReason::BadAnswer);
                }
                Ok(Ok(None) | Err(_)) | Err(_) => {
                    report_failure(&self.state, &self.answer.record);
                    return Err(UnknownReason::LinkLost);
                }
            };
            match reply {
                PeerReply::Chunk(chunk) => return Ok(Some(chunk)),
                PeerReply::Waiting(load) => {
                    self.answer.record.note_load(load, self.state.clock.now());
                }
                PeerReply::End(end) if end.id == self.answer.head.id => {
                    self.answer
                        .record
                        .note_load(end.load, self.state.clock.now());
                    return Ok(None);
                }
                PeerReply::Broken(broken) if broken.id == self.answer.head.id => {
                    self.answer
                        .record
                        .note_load(broken.load, self.state.clock.now());
                    return Err(broken.reason);
                }
                _ => return Err(UnknownReason::BadAnswer),
            }
        }
    }

    fn observe_chunk(&mut self) {
        let now = self.state.clock.now();
        let span = now.since(self.last).as_secs_f64();
        self.last = now;
        if self.begun {
            self.state.metrics.between_tokens.observe(span);
        } else {
            self.begun = true;
            self.state.metrics.first_token.observe(span);
        }
    }

    /// Ends an answer that is not whole so that its caller can tell.
    ///
    /// The connection is cut before the body's announced end; a stream of events is told
    /// the reason first.
    async fn fail_body(&mut self, reason: UnknownReason) -> Result<Bytes, IncompleteAnswer> {
        self.state.metrics.unknowns.count(reason);
        if self.events {
            self.phase = ReaderPhase::ErrorSent(reason);
            return Ok(error_event(reason));
        }
        self.phase = ReaderPhase::Done;
        abort_body(reason).await
    }
}

/// Cuts the connection after what was written so far.
///
/// The HTTP service drops what it has not written when a body fails, so it is given a turn
/// to write first.
async fn abort_body(reason: UnknownReason) -> Result<Bytes, IncompleteAnswer> {
    tokio::task::yield_now().await;
    Err(IncompleteAnswer(reason))
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        if self.phase == ReaderPhase::Reading {
            self.state.metrics.callers_left.inc();
        }
    }
}
