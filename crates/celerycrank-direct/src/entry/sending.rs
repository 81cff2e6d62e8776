//! A connection to a backend server that is read while a request is sent on it.

use std::io;

use bytes::{Buf, Bytes};
use celerycrank_http::{HttpStream, StreamStep};

/// A connection on which a request is being sent.
///
/// A backend server may answer before it has read the request, so what it sends is read whenever
/// nothing can be written, and the rest of the request is sent while the answer is read.
#[derive(Debug)]
pub(crate) struct SendingStream {
    pub(crate) stream: HttpStream,
    /// The part of the request that has not been written.
    unsent: Bytes,
    /// Whether the connection failed before the request was written.
    is_broken: bool,
}

impl SendingStream {
    pub(crate) const fn new(stream: HttpStream, request: Bytes) -> Self {
        Self {
            stream,
            unsent: request,
            is_broken: false,
        }
    }

    /// Whether the request was written completely.
    pub(crate) const fn is_fully_sent(&self) -> bool {
        self.unsent.is_empty() && !self.is_broken
    }

    /// Writes the request and reads more bytes into the buffer; returns their number, which is zero
    /// if the backend server closed the connection.
    ///
    /// Cancel safe: no data is lost if the future is dropped.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        while !self.unsent.is_empty() {
            match self.stream.send_or_fill(&self.unsent).await {
                Ok(StreamStep::Sent(count)) if count > 0 => self.unsent.advance(count),
                Ok(StreamStep::Received(count)) if count > 0 => return Ok(count),
                Ok(StreamStep::Sent(_) | StreamStep::Received(_)) => self.give_up("closed"),
                Err(error) => self.give_up(error),
            }
        }
        self.stream.fill().await
    }

    /// Ends the sending; the backend server may have answered before it read the complete request.
    fn give_up(&mut self, error: impl std::fmt::Display) {
        let unsent = self.unsent.len();
        tracing::info!(fault = %error, unsent, "request not sent completely to a backend server");
        self.unsent.clear();
        self.is_broken = true;
    }
}
