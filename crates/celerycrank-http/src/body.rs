//! Body framing: where a body ends and whether it is complete.

use bytes::{Buf, Bytes, BytesMut};

use crate::{FieldList, RequestHead, ResponseHead};

/// Maximum length of the line with a chunk's size and extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum total size of the trailer fields in bytes.
const MAX_TRAILER_BYTES: usize = 4 << 10;

/// Maximum number of hexadecimal digits of a chunk's size behind leading zeros.
const MAX_SIZE_DIGITS: usize = 8;

/// The end of a line.
const LINE_END: &[u8] = b"\r\n";

/// Why the framing of a body is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum FramingError {
    /// the message has more than one length
    ConflictingLengths,
    /// the length is not a number
    InvalidLength,
    /// the transfer coding is not `chunked` alone
    UnsupportedCoding,
    /// a chunk is malformed
    InvalidChunk,
    /// the connection ended before the body was complete
    Truncated,
}

impl std::error::Error for FramingError {}

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this length in bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl BodyFraming {
    /// Determines the framing of a request's body.
    ///
    /// # Errors
    ///
    /// Fails if the framing is ambiguous or not supported.
    pub fn of_request(head: &RequestHead) -> Result<Self, FramingError> {
        let framing = read_framing(&head.fields)?;
        match framing {
            Some(Self::Chunked) if !head.is_http_1_1 => Err(FramingError::UnsupportedCoding),
            Some(framing) => Ok(framing),
            None => Ok(Self::Length(0)),
        }
    }

    /// Determines the framing of the body of a response to a request with this method.
    ///
    /// # Errors
    ///
    /// Fails if the framing is ambiguous or not supported.
    pub fn of_response(head: &ResponseHead, method: &[u8]) -> Result<Self, FramingError> {
        let framing = read_framing(&head.fields)?;
        if method == b"HEAD" || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(Self::Length(0));
        }
        Ok(framing.unwrap_or(Self::UntilClose))
    }
}

fn read_framing(fields: &FieldList) -> Result<Option<BodyFraming>, FramingError> {
    let mut codings = fields.get_all("transfer-encoding");
    let mut lengths = fields.get_all("content-length");
    match (codings.next(), lengths.next()) {
        (Some(_), Some(_)) => Err(FramingError::ConflictingLengths),
        (Some(coding), None) => {
            if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
                return Err(FramingError::UnsupportedCoding);
            }
            Ok(Some(BodyFraming::Chunked))
        }
        (None, Some(length)) => {
            if lengths.next().is_some() {
                return Err(FramingError::ConflictingLengths);
            }
            Ok(Some(BodyFraming::Length(read_length(length)?)))
        }
        (None, None) => Ok(None),
    }
}

/// Parses a length that consists of digits only; signs and white space are rejected.
fn read_length(text: &[u8]) -> Result<u64, FramingError> {
    if !text.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::InvalidLength);
    }
    let text = str::from_utf8(text)
        .ok()
        .ok_or(FramingError::InvalidLength)?;
    text.parse().ok().ok_or(FramingError::InvalidLength)
}

/// The result of one decoding step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyStep {
    /// The next bytes of the body.
    Data(Bytes),
    /// The buffer must be filled first.
    Incomplete,
    /// The body is complete; the rest of the buffer does not belong to it.
    Complete,
}

/// The position of the decoder in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer(usize),
}

impl ChunkState {
    /// Maximum length of the next line, in bytes.
    const fn max_line_bytes(self) -> usize {
        match self {
            // A longer line exceeds the limit of all trailer fields.
            Self::Trailer(_) => MAX_TRAILER_BYTES + LINE_END.len(),
            Self::Size | Self::Data(_) | Self::DataEnd => MAX_CHUNK_LINE_BYTES,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    Length(u64),
    Chunk(ChunkState),
    UntilClose,
    Complete,
}

/// Decodes a body incrementally from a buffer.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    #[must_use]
    pub const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Complete,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::Chunk(ChunkState::Size),
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Whether the body was decoded completely.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        matches!(self.state, DecoderState::Complete)
    }

    /// Removes the next part of the body from the buffer.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<BodyStep, FramingError> {
        loop {
            match self.state {
                DecoderState::Complete => return Ok(BodyStep::Complete),
                _ if buffer.is_empty() => return Ok(BodyStep::Incomplete),
                DecoderState::UntilClose => return Ok(BodyStep::Data(buffer.split().freeze())),
                DecoderState::Length(left) => {
                    let (data, left) = take_data(buffer, left);
                    self.state = if left == 0 {
                        DecoderState::Complete
                    } else {
                        DecoderState::Length(left)
                    };
                    return Ok(BodyStep::Data(data));
                }
                DecoderState::Chunk(ChunkState::Data(left)) => {
                    let (data, left) = take_data(buffer, left);
                    self.state = DecoderState::Chunk(if left == 0 {
                        ChunkState::DataEnd
                    } else {
                        ChunkState::Data(left)
                    });
                    return Ok(BodyStep::Data(data));
                }
                DecoderState::Chunk(chunk) => {
                    let Some(line) = take_line(buffer, chunk.max_line_bytes())? else {
                        return Ok(BodyStep::Incomplete);
                    };
                    self.state = next_chunk(chunk, &line)?;
                }
            }
        }
    }

    /// Ends the body, since the connection was closed.
    ///
    /// # Errors
    ///
    /// Fails if the body has a length or is chunked and is not complete.
    pub fn finish(&mut self) -> Result<(), FramingError> {
        match self.state {
            DecoderState::Complete | DecoderState::UntilClose => {
                self.state = DecoderState::Complete;
                Ok(())
            }
            DecoderState::Length(_) | DecoderState::Chunk(_) => Err(FramingError::Truncated),
        }
    }
}

fn take_data(buffer: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let size = usize::try_from(left).map_or(buffer.len(), |left| left.min(buffer.len()));
    let data = buffer.split_to(size).freeze();
    (data, left - size as u64)
}

/// Removes a line of at most `limit` bytes from the buffer and returns it without its CR LF.
fn take_line(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, FramingError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > limit {
            Err(FramingError::InvalidChunk)
        } else {
            Ok(None)
        };
    };
    if end == 0 || end > limit || buffer[end - 1] != b'\r' {
        return Err(FramingError::InvalidChunk);
    }
    let line = buffer.split_to(end - 1).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn next_chunk(state: ChunkState, line: &[u8]) -> Result<DecoderState, FramingError> {
    let next = match state {
        ChunkState::Size => match read_size(line)? {
            0 => ChunkState::Trailer(0),
            size => ChunkState::Data(size),
        },
        ChunkState::DataEnd if line.is_empty() => ChunkState::Size,
        ChunkState::DataEnd | ChunkState::Data(_) => return Err(FramingError::InvalidChunk),
        ChunkState::Trailer(_) if line.is_empty() => return Ok(DecoderState::Complete),
        ChunkState::Trailer(seen) if seen + line.len() > MAX_TRAILER_BYTES => {
            return Err(FramingError::InvalidChunk);
        }
        ChunkState::Trailer(seen) => ChunkState::Trailer(seen + line.len()),
    };
    Ok(DecoderState::Chunk(next))
}

fn read_size(line: &[u8]) -> Result<u64, FramingError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(FramingError::InvalidChunk);
    }
    let zeros = digits.iter().take_while(|digit| **digit == b'0').count();
    // The last digit stays, so that a size of zero has one.
    let digits = &digits[zeros.min(digits.len() - 1)..];
    if digits.len() > MAX_SIZE_DIGITS {
        return Err(FramingError::InvalidChunk);
    }
    let text = str::from_utf8(digits)
        .ok()
        .ok_or(FramingError::InvalidChunk)?;
    u64::from_str_radix(text, 16)
        .ok()
        .ok_or(FramingError::InvalidChunk)
}
