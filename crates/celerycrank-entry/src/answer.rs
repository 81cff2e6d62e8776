//! Relays an answer to its caller.

use std::rc::Rc;

use actix_http::{
    Response, StatusCode,
    body::{BodyStream, BoxBody, MessageBody, SizedStream},
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use celerycrank_link::StreamError;
use celerycrank_types::{TimePoint, UnknownReason};
use celerycrank_wire::{HttpField, PeerReply};
use futures_util::{Stream, stream};

use crate::{
    forward::{AttemptAnswer, receive_reply},
    probe::report_failure,
    refusal::{error_event, unknown_response},
    state::EntryState,
};

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Number of waits in a row in which an agent may be silent before its answer is given up.
///
/// The rest of an answer can come from no other agent, so one wait is not enough.
const MAX_SILENCES: u32 = 3;

/// incomplete answer: {0}
#[derive(Debug, displaydoc::Display)]
struct IncompleteAnswer(UnknownReason);

impl std::error::Error for IncompleteAnswer {}

/// Builds the response that relays an answer as it arrives.
///
/// The head is held back until the first chunk of the body has arrived, so that an answer that
/// fails before that can still be reported as unknown by its status code.
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
    let is_event_stream = headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM));
    let mut reader = AnswerReader {
        state,
        answer,
        is_event_stream,
        last_chunk_at: arrival,
        has_chunk: false,
        silences: 0,
        phase: ReaderPhase::Reading,
        first_chunk: None,
    };
    if let Err(reason) = reader.receive_first().await {
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
        // The agent's HTTP client only accepts valid headers, so none is dropped here.
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// The progress of reading an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReaderPhase {
    Reading,
    /// The error event was sent; the connection is aborted next.
    ErrorSent(UnknownReason),
    Done,
}

/// Receives the chunks of an answer from its agent.
struct AnswerReader {
    state: Rc<EntryState>,
    answer: AttemptAnswer,
    /// Whether the answer is an event stream, in which an error event can be sent.
    is_event_stream: bool,
    /// When the latest chunk arrived; before the first, when the request arrived.
    last_chunk_at: TimePoint,
    has_chunk: bool,
    /// Number of waits for a message in a row in which the agent was silent.
    silences: u32,
    phase: ReaderPhase,
    /// The chunk that was received before the response was built.
    first_chunk: Option<Bytes>,
}

impl AnswerReader {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, IncompleteAnswer>> {
        stream::unfold(self, |mut reader| async move {
            let item = reader.next_chunk().await?;
            Some((item, reader))
        })
    }

    /// Receives the first chunk of the body, or its end.
    async fn receive_first(&mut self) -> Result<(), UnknownReason> {
        match self.receive().await {
            Ok(Some(chunk)) => {
                self.observe_chunk();
                self.first_chunk = Some(chunk);
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

    async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteAnswer>> {
        if let Some(chunk) = self.first_chunk.take() {
            return Some(Ok(chunk));
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

    /// Receives the next chunk of the body, or `None` once it is complete.
    async fn receive(&mut self) -> Result<Option<Bytes>, UnknownReason> {
        loop {
            let Some(received) = receive_reply(&mut self.answer.receiver).await else {
                report_failure(&self.state, &self.answer.record);
                self.silences += 1;
                if self.silences < MAX_SILENCES {
                    continue;
                }
                return Err(UnknownReason::LinkLost);
            };
            self.silences = 0;
            let reply = match received {
                Ok(Some(reply)) => reply,
                Err(StreamError::Wire(_)) => {
                    self.state.metrics.wire_faults.inc();
                    return Err(UnknownReason::BadAnswer);
                }
                Ok(None) | Err(_) => {
                    report_failure(&self.state, &self.answer.record);
                    return Err(UnknownReason::LinkLost);
                }
            };
            match reply {
                PeerReply::Chunk(chunk) => return Ok(Some(chunk)),
                PeerReply::Waiting(load) => {
                    self.answer.record.update_load(load, self.state.clock.now());
                }
                PeerReply::End(end) if end.id == self.answer.head.id => {
                    self.answer
                        .record
                        .update_load(end.load, self.state.clock.now());
                    return Ok(None);
                }
                PeerReply::Broken(broken) if broken.id == self.answer.head.id => {
                    self.answer
                        .record
                        .update_load(broken.load, self.state.clock.now());
                    return Err(broken.reason);
                }
                _ => return Err(UnknownReason::BadAnswer),
            }
        }
    }

    fn observe_chunk(&mut self) {
        let now = self.state.clock.now();
        let span = now.since(self.last_chunk_at).as_secs_f64();
        self.last_chunk_at = now;
        if self.has_chunk {
            self.state.metrics.between_tokens.observe(span);
        } else {
            self.has_chunk = true;
            self.state.metrics.first_token.observe(span);
        }
    }

    /// Ends an incomplete answer such that its caller can detect it.
    ///
    /// The connection is closed before the announced end of the body; on an event stream, an
    /// event with the reason is sent first.
    async fn fail_body(&mut self, reason: UnknownReason) -> Result<Bytes, IncompleteAnswer> {
        self.state.metrics.unknowns.count(reason);
        if self.is_event_stream {
            self.phase = ReaderPhase::ErrorSent(reason);
            return Ok(error_event(reason));
        }
        self.phase = ReaderPhase::Done;
        abort_body(reason).await
    }
}

/// Fails the body, which closes the connection after the data sent so far.
///
/// The HTTP service discards unwritten data when a body fails, so this yields to let it write
/// first.
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
