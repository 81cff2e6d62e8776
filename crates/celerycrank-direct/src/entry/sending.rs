//! A connection to a backend server that is read while a request is sent on it.

use std::{collections::VecDeque, io};

use bytes::{Buf, Bytes};
use celerycrank_http::{HttpStream, StreamStep};

/// A connection on which a request is being sent.
///
/// A backend server may answer before it has read the request, so what it sends is read whenever
/// nothing can be written, and the rest of the request is sent while the answer is read.
#[derive(Debug)]
pub(crate) struct SendingStream {
    pub(crate) stream: HttpStream,
    /// The parts of the request that have not been written; none is empty.
    unsent: VecDeque<Bytes>,
    /// Whether the connection failed before the request was written.
    is_broken: bool,
}

impl SendingStream {
    /// Starts to send a message that continues with the blocks of a body.
    pub(crate) fn new(stream: HttpStream, message: Bytes, blocks: &[Bytes]) -> Self {
        let mut unsent = VecDeque::with_capacity(blocks.len() + 1);
        unsent.push_back(message);
        unsent.extend(blocks.iter().cloned());
        Self {
            stream,
            unsent,
            is_broken: false,
        }
    }

    /// Whether the request was written completely.
    pub(crate) fn is_fully_sent(&self) -> bool {
        self.unsent.is_empty() && !self.is_broken
    }

    /// Writes the request and reads more bytes into the buffer; returns their number, which is zero
    /// if the backend server closed the connection.
    ///
    /// Cancel safe: no data is lost if the future is dropped.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        while let Some(part) = self.unsent.front_mut() {
            match self.stream.send_or_fill(part).await {
                Ok(StreamStep::Sent(count)) if count > 0 => {
                    part.advance(count);
                    if part.is_empty() {
                        self.unsent.pop_front();
                    }
                }
                Ok(StreamStep::Received(count)) if count > 0 => return Ok(count),
                Ok(StreamStep::Sent(_) | StreamStep::Received(_)) => self.give_up("closed"),
                Err(error) => self.give_up(error),
            }
        }
        self.stream.fill().await
    }

    /// Ends the sending; the backend server may have answered before it read the complete request.
    fn give_up(&mut self, error: impl std::fmt::Display) {
        let unsent = self.unsent.iter().map(Bytes::len).sum::<usize>();
        tracing::info!(fault = %error, unsent, "request not sent completely to a backend server");
        self.unsent.clear();
        self.is_broken = true;
    }
}
