//! Lines of a streaming response, which both watch protocols use.

use std::sync::Arc;

use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

/// Maximum length of a line: a value of one megabyte in base64 and its envelope.
const MAX_LINE_BYTES: usize = 8 << 20;

/// Why the next line could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LineError {
    /// The connection was lost.
    Lost(Arc<str>),
    /// The response ended.
    Ended,
    /// The line exceeds the limit.
    TooLong,
}

/// The lines of one response.
#[derive(Debug)]
pub(crate) struct LineStream {
    response: ClientResponse,
    buffer: BytesMut,
}

impl LineStream {
    pub(crate) fn new(response: ClientResponse) -> Self {
        Self {
            response,
            buffer: BytesMut::new(),
        }
    }

    /// Waits for the next line.
    pub(crate) async fn next(&mut self) -> Result<Bytes, LineError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                return Ok(self.buffer.split_to(end + 1).freeze());
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(LineError::TooLong);
            }
            match self.response.next().await {
                Some(Ok(chunk)) => self.buffer.extend_from_slice(&chunk),
                Some(Err(error)) => return Err(LineError::Lost(error.to_string().into())),
                None => return Err(LineError::Ended),
            }
        }
    }
}
