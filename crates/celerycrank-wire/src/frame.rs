//! Frames, which delimit messages on a stream.

use bytes::{Buf, Bytes, BytesMut};
use celerycrank_types::ByteSize;
use serde::{Serialize, de::DeserializeOwned};

/// Version of the message format; messages of other versions are refused.
pub const PROTOCOL_VERSION: u8 = 1;

/// Size of a frame's header: the version and the payload's length.
pub const FRAME_HEADER_BYTES: usize = 1 + LENGTH_BYTES;

const LENGTH_BYTES: usize = 4;

/// Why the bytes of a stream are not a valid message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum WireError {
    /// the frame has the unsupported protocol version {0}
    UnknownVersion(u8),
    /// the frame's payload of {0} bytes exceeds the limit
    Oversized(u64),
    /// the frame's payload is not a valid message
    Malformed,
    /// the stream ended within a frame
    Truncated,
}

impl std::error::Error for WireError {}

/// Encodes a message as one frame.
///
/// # Panics
///
/// Panics if the message exceeds 4 GiB, which the limits on bodies prevent.
#[must_use]
pub fn encode_frame<T: Serialize>(message: &T) -> Vec<u8> {
    let header = vec![PROTOCOL_VERSION, 0, 0, 0, 0];
    let mut frame =
        postcard::to_extend(message, header).expect("all sequences have a known length");
    let length = u32::try_from(frame.len() - FRAME_HEADER_BYTES).expect("bodies are limited");
    frame[1..FRAME_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Decodes the bytes of one stream into messages.
#[derive(Debug)]
pub struct FrameReader {
    /// The last received bytes, not copied; empty while `buffer` holds part of a frame.
    chunk: Bytes,
    /// The start of a frame whose end has not been received.
    buffer: BytesMut,
    /// Invariant: no payload above this size is buffered or decoded.
    limit: ByteSize,
}

impl FrameReader {
    /// Creates a reader that refuses payloads above `limit`.
    #[must_use]
    pub fn new(limit: ByteSize) -> Self {
        Self {
            chunk: Bytes::new(),
            buffer: BytesMut::new(),
            limit,
        }
    }

    /// Appends bytes received from the stream.
    ///
    /// A frame contained in one chunk is decoded from it without a copy.
    pub fn extend(&mut self, bytes: Bytes) {
        if self.buffer.is_empty() && self.chunk.is_empty() {
            self.chunk = bytes;
            return;
        }
        self.buffer
            .extend_from_slice(&std::mem::take(&mut self.chunk));
        self.buffer.extend_from_slice(&bytes);
    }

    /// Returns the next message, or `None` while its frame is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the frame has a different version, is too large, or does not contain a `T`.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        let Some(length) = payload_length(self.unread(), self.limit)? else {
            return Ok(None);
        };
        let end = FRAME_HEADER_BYTES + length;
        let Some(payload) = self.unread().get(FRAME_HEADER_BYTES..end) else {
            return Ok(None);
        };
        let message = decode_payload(payload)?;
        if self.buffer.is_empty() {
            self.chunk.advance(end);
        } else {
            self.buffer.advance(end);
        }
        Ok(Some(message))
    }

    /// Checks that the stream did not end within a frame.
    ///
    /// # Errors
    ///
    /// Fails if bytes of an incomplete frame remain.
    pub fn check_end(&self) -> Result<(), WireError> {
        if self.unread().is_empty() {
            Ok(())
        } else {
            Err(WireError::Truncated)
        }
    }

    fn unread(&self) -> &[u8] {
        if self.buffer.is_empty() {
            &self.chunk
        } else {
            &self.buffer
        }
    }
}

/// Returns the length of the first frame's payload, or `None` while its header is incomplete.
fn payload_length(bytes: &[u8], limit: ByteSize) -> Result<Option<usize>, WireError> {
    match bytes.first() {
        None => return Ok(None),
        Some(&PROTOCOL_VERSION) => {}
        Some(&version) => return Err(WireError::UnknownVersion(version)),
    }
    let Some(length_bytes) = bytes.get(1..FRAME_HEADER_BYTES) else {
        return Ok(None);
    };
    let length = length_bytes
        .iter()
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
    if length > limit.0 {
        return Err(WireError::Oversized(length));
    }
    match usize::try_from(length) {
        Ok(length) => Ok(Some(length)),
        Err(_) => Err(WireError::Oversized(length)),
    }
}

fn decode_payload<T: DeserializeOwned>(payload: &[u8]) -> Result<T, WireError> {
    match postcard::take_from_bytes(payload) {
        Ok((message, [])) => Ok(message),
        _ => Err(WireError::Malformed),
    }
}
