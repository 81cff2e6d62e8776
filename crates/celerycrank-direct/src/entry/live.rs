//! Reads a stream of events from one backend server.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use celerycrank_http::ResponseHead;
use celerycrank_routing::HolderKey;
use celerycrank_serving::{BackendRegistration, EventReader};
use celerycrank_types::{BackendId, UnknownReason};

use super::{
    answer::MAX_BUFFERED_ANSWER,
    attempt::{AnswerBody, bad_answer, incomplete_answer},
    dispatch::{InFlightGuard, ServedAnswer},
    state::EntryState,
};

/// The status of an answer that is a stream.
const STREAM_STATUS: u16 = 200;

/// A stream that is being received from a backend server.
pub(crate) struct LiveStream<'run> {
    pub(crate) head: ResponseHead,
    body: AnswerBody,
    in_flight: InFlightGuard<'run>,
    events: EventReader,
    /// Whether it continues a stream that another backend server, or another attempt, has begun.
    is_resumed: bool,
}

/// The next part of a stream.
pub(crate) enum StreamPart {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

impl<'run> LiveStream<'run> {
    /// Begins to read a stream that continues after the event `last_event`, if there is one.
    pub(crate) fn new(served: ServedAnswer<'run>, last_event: Option<u64>) -> Self {
        Self {
            head: served.answer.head,
            body: served.answer.body,
            in_flight: served.in_flight,
            events: EventReader::after(last_event),
            is_resumed: last_event.is_some(),
        }
    }

    /// The backend server that sends it.
    pub(crate) fn backend(&self) -> &BackendId {
        &self.in_flight.sent_to.backend
    }

    /// The registration by which the backend server was chosen.
    pub(crate) fn sent_to(&self) -> &Rc<BackendRegistration> {
        &self.in_flight.sent_to
    }

    /// Identifies its incarnation among those that hold prompts.
    pub(crate) fn holder(&self) -> HolderKey {
        self.in_flight.holder
    }

    /// The number of the last event that was returned.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.events.last_event()
    }

    /// Whether this backend server sends the answer from its beginning.
    pub(crate) fn is_whole(&self) -> bool {
        !self.is_resumed
    }

    /// Whether the backend server answers with a stream, not with a failure.
    pub(crate) fn is_stream(&self) -> bool {
        self.head.status == STREAM_STATUS
    }

    /// Whether the backend server reports a failure of its own.
    pub(crate) fn is_backend_failure(&self) -> bool {
        self.head.status >= 500
    }

    /// Returns the first part: events, or the whole body of a failure, which is passed on unchanged.
    pub(crate) async fn first(&mut self) -> Result<StreamPart, UnknownReason> {
        if self.is_stream() {
            self.next().await
        } else {
            self.read_failure().await
        }
    }

    /// Returns the next complete events, or the end of the stream.
    pub(crate) async fn next(&mut self) -> Result<StreamPart, UnknownReason> {
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

    async fn read_failure(&mut self) -> Result<StreamPart, UnknownReason> {
        let mut body = BytesMut::new();
        while let Some(data) = self.body.next().await? {
            if body.len() + data.len() > MAX_BUFFERED_ANSWER {
                return Err(bad_answer("the body of a failure is too large"));
            }
            body.extend_from_slice(&data);
        }
        if body.is_empty() {
            return Ok(StreamPart::End);
        }
        self.events = EventReader::finished();
        Ok(StreamPart::Events(body.freeze()))
    }

    /// Whether a stream whose body has ended is complete.
    ///
    /// The connection of a backend server that crashes ends like that of one which has finished; a
    /// stream without any event has not been answered.
    fn is_complete(&self) -> bool {
        let has_begun = self.events.has_events() || !self.body.ends_with_connection;
        self.events.is_between_events() && has_begun
    }

    /// Records the end of a complete stream and returns its connection to the pool.
    pub(crate) fn release(self, state: &EntryState) {
        let is_failure = self.is_backend_failure();
        let mut backends = state.backends.borrow_mut();
        backends.note_answer(self.backend(), is_failure, state.clock.now());
        drop(backends);
        self.body.release(state);
    }
}
