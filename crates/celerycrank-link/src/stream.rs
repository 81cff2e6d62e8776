//! Framed messages on the two halves of one QUIC stream.

use bytes::Bytes;
use celerycrank_types::ByteSize;
use celerycrank_wire::{FrameReader, encode_frame};
use quinn::{RecvStream, SendStream, VarInt};
use serde::{Serialize, de::DeserializeOwned};

use crate::StreamError;

/// Application error code of a stream that its sender aborted.
const RESET_ABORTED: u32 = 1;

/// The sending half of a stream.
///
/// Dropping it unfinished resets the stream, so that the peer never takes a truncated stream
/// for a complete one.
#[derive(Debug)]
pub struct MessageSender {
    stream: SendStream,
    finished: bool,
}

impl MessageSender {
    pub(crate) const fn new(stream: SendStream) -> Self {
        Self {
            stream,
            finished: false,
        }
    }

    /// Sends a message, waiting for flow control credit from the peer.
    ///
    /// # Errors
    ///
    /// Fails if the connection was lost or the peer stopped the stream.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), StreamError> {
        let frame = Bytes::from(encode_frame(message));
        match self.stream.write_chunk(frame).await {
            Ok(()) => Ok(()),
            Err(quinn::WriteError::Stopped(_)) => Err(StreamError::Aborted),
            Err(_) => Err(StreamError::LinkLost),
        }
    }

    /// Ends the stream after the messages sent so far.
    pub fn finish(&mut self) {
        self.finished = true;
        // Fails only if the stream was reset, which the peer is notified of anyway.
        let _ = self.stream.finish();
    }

    /// Waits until the peer stops the stream or the connection is lost.
    ///
    /// Also completes once the peer has acknowledged a finished stream.
    pub fn closed(&self) -> impl Future<Output = ()> + use<> {
        let stopped = self.stream.stopped();
        async move {
            // Every result, errors included, means that the peer no longer reads this stream.
            let _ = stopped.await;
        }
    }
}

impl Drop for MessageSender {
    fn drop(&mut self) {
        if !self.finished {
            // Fails only if the stream was already reset.
            let _ = self.stream.reset(VarInt::from_u32(RESET_ABORTED));
        }
    }
}

/// The receiving half of a stream.
#[derive(Debug)]
pub struct MessageReceiver {
    stream: RecvStream,
    reader: FrameReader,
}

impl MessageReceiver {
    pub(crate) fn new(stream: RecvStream, max_message_size: ByteSize) -> Self {
        Self {
            stream,
            reader: FrameReader::new(max_message_size),
        }
    }

    /// Returns the next message, or `None` once the peer has finished the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection was lost, the peer reset the stream, or the bytes cannot be
    /// decoded.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>, StreamError> {
        loop {
            if let Some(message) = self.reader.next_message()? {
                return Ok(Some(message));
            }
            match self.stream.read_chunk(usize::MAX, true).await {
                Ok(Some(chunk)) => self.reader.extend(chunk.bytes),
                Ok(None) => {
                    self.reader.check_end()?;
                    return Ok(None);
                }
                Err(quinn::ReadError::Reset(_)) => return Err(StreamError::Aborted),
                Err(_) => return Err(StreamError::LinkLost),
            }
        }
    }
}
