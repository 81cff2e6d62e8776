//! Heads of requests and responses.

use std::ops::RangeInclusive;

use bytes::{Bytes, BytesMut};
use celerycrank_types::TimeSpan;
use httparse::{EMPTY_HEADER, Header, Request, Response, Status};

use crate::{FieldList, HeaderField};

/// Maximum number of header fields of one message.
const MAX_FIELDS: usize = 96;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// The statuses that a response may have.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum HeadError {
    /// the head exceeds the limit
    TooLarge,
    /// the head has more than 96 fields
    TooManyFields,
    /// a line of the head does not end with CR LF
    BareLineFeed,
    /// the status {0} is not between 100 and 599
    InvalidStatus(u16),
    /// more than 16 interim responses precede the final one
    TooManyInterim,
    /// the sender switches protocols
    SwitchedProtocol,
    /// the head is malformed: {0}
    Malformed(httparse::Error),
}

impl std::error::Error for HeadError {}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method as received.
    pub method: Bytes,
    /// The path and query as received.
    pub target: Bytes,
    /// Whether the version is 1.1, in which connections are persistent by default and bodies
    /// may be chunked.
    pub is_http_1_1: bool,
    /// The header fields.
    pub fields: FieldList,
}

impl RequestHead {
    /// The target without its query.
    #[must_use]
    pub fn path(&self) -> &[u8] {
        let end = self.target.iter().position(|byte| *byte == b'?');
        &self.target[..end.unwrap_or(self.target.len())]
    }

    /// Whether the connection stays open after the answer.
    #[must_use]
    pub fn is_persistent(&self) -> bool {
        is_persistent(self.is_http_1_1, &self.fields)
    }
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    ///
    /// Invariant: from 100 to 599 in a parsed head.
    pub status: u16,
    /// Whether the version is 1.1.
    pub is_http_1_1: bool,
    /// The header fields.
    pub fields: FieldList,
}

impl ResponseHead {
    /// Whether the connection stays open after the answer.
    #[must_use]
    pub fn is_persistent(&self) -> bool {
        is_persistent(self.is_http_1_1, &self.fields)
    }
}

impl ResponseHead {
    /// How long the sender keeps an idle connection open, from `Keep-Alive`.
    #[must_use]
    pub fn keep_alive_timeout(&self) -> Option<TimeSpan> {
        let text = str::from_utf8(self.fields.get("keep-alive")?).ok()?;
        let mut parts = text.split(',').map(str::trim);
        let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
        seconds.parse().ok().map(TimeSpan::from_secs)
    }
}

fn is_persistent(is_http_1_1: bool, fields: &FieldList) -> bool {
    if is_http_1_1 {
        !fields.has_token("connection", "close")
    } else {
        fields.has_token("connection", "keep-alive")
    }
}

/// Removes the head of a request from the start of a buffer; `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the head is too large or malformed.
pub fn parse_request(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<RequestHead>, HeadError> {
    let Some(head) = take_head(buffer, limit)? else {
        return Ok(None);
    };
    let mut storage = [EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = Request::new(&mut storage);
    if parsed.parse(&head).map_err(head_error)? == Status::Partial {
        return Err(HeadError::Malformed(httparse::Error::NewLine));
    }
    Ok(Some(RequestHead {
        method: slice(&head, parsed.method.unwrap_or_default().as_bytes()),
        target: slice(&head, parsed.path.unwrap_or_default().as_bytes()),
        is_http_1_1: parsed.version == Some(1),
        fields: read_fields(&head, parsed.headers),
    }))
}

/// Removes the head of a response from the start of a buffer; `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the head is too large or malformed.
pub fn parse_response(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<ResponseHead>, HeadError> {
    // Reject bytes that are not a response immediately; the end of their head might never come.
    let start = &buffer[..buffer.len().min(5)];
    if !b"HTTP/".starts_with(start) {
        return Err(HeadError::Malformed(httparse::Error::Version));
    }
    let Some(head) = take_head(buffer, limit)? else {
        return Ok(None);
    };
    let mut storage = [EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = Response::new(&mut storage);
    if parsed.parse(&head).map_err(head_error)? == Status::Partial {
        return Err(HeadError::Malformed(httparse::Error::NewLine));
    }
    let status = parsed.code.unwrap_or_default();
    if !STATUSES.contains(&status) {
        return Err(HeadError::InvalidStatus(status));
    }
    Ok(Some(ResponseHead {
        status,
        is_http_1_1: parsed.version == Some(1),
        fields: read_fields(&head, parsed.headers),
    }))
}

/// Removes a complete head from the buffer and checks its line endings.
fn take_head(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, HeadError> {
    let end = buffer
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    let Some(end) = end else {
        return if buffer.len() > limit {
            Err(HeadError::TooLarge)
        } else {
            Ok(None)
        };
    };
    let length = end + HEAD_END.len();
    if length > limit {
        return Err(HeadError::TooLarge);
    }
    let head = buffer.split_to(length).freeze();
    let mut previous = 0;
    for byte in &head {
        if *byte == b'\n' && previous != b'\r' {
            return Err(HeadError::BareLineFeed);
        }
        previous = *byte;
    }
    Ok(Some(head))
}

fn head_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyFields,
        other => HeadError::Malformed(other),
    }
}

fn read_fields(head: &Bytes, parsed: &[Header<'_>]) -> FieldList {
    let mut fields = FieldList::default();
    for header in parsed {
        fields.push(HeaderField {
            name: slice(head, header.name.as_bytes()),
            value: slice(head, header.value.trim_ascii()),
        });
    }
    fields
}

/// Returns a part of the head that shares its memory.
fn slice(head: &Bytes, part: &[u8]) -> Bytes {
    if part.is_empty() {
        Bytes::new()
    } else {
        head.slice_ref(part)
    }
}
