//! HTTP/1.1 messages that are forwarded byte for byte.
//!
//! Heads are parsed by `httparse`. Body framing is implemented here, since the HTTP library of
//! the other processes treats a response without a length as empty, while a backend server may
//! mark the end of its answer by closing the connection. Messages with ambiguous framing are
//! rejected to prevent request smuggling: bytes that one hop treats as a body could be a request
//! to the next.

mod body;
mod field;
mod head;
mod parser;
mod stream;
mod write;

pub use crate::{
    body::{BodyDecoder, BodyFraming, BodyStep, FramingError},
    field::{FieldList, HeaderField, is_hop_by_hop},
    head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response},
    parser::HeadParser,
    stream::{HttpStream, StreamStep, TcpTimeouts},
    write::{MessageWriter, reason_phrase},
};
