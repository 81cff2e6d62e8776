//! Bodies of answers.

use std::sync::Arc;

use awc::{ClientResponse, error::PayloadError, http::header::CONTENT_LENGTH};
use bytes::Bytes;

/// Why the body of an answer could not be read.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum BodyError {
    /// {0}
    Unreadable(PayloadError),
    /// the connection ended after {received} of {announced} bytes of the answer
    Incomplete {
        /// The length in bytes that the head announces.
        announced: usize,
        /// The length in bytes of what arrived.
        received: usize,
    },
}

impl From<BodyError> for Arc<str> {
    fn from(error: BodyError) -> Self {
        error.to_string().into()
    }
}

/// Reads the whole body of an answer, of at most `limit` bytes.
///
/// The HTTP client takes the end of the connection for the end of the body, so what it returns is
/// compared with the length that the head announces.
pub(crate) async fn read_body(
    response: &mut ClientResponse,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let announced = announced_length(response);
    let body = response.body().limit(limit).await;
    let body = body.map_err(BodyError::Unreadable)?;
    match announced {
        Some(announced) if announced != body.len() => Err(BodyError::Incomplete {
            announced,
            received: body.len(),
        }),
        _ => Ok(body),
    }
}

fn announced_length(response: &ClientResponse) -> Option<usize> {
    let length = response.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
