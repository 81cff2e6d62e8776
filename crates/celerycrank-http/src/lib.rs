//! HTTP/1.1 messages whose bytes are forwarded as they are.
//!
//! Heads are parsed by `httparse`. Bodies are framed here, since the HTTP library of the
//! other processes takes a response without a length as empty, while a backend server may
//! end its answer with its connection. Whatever could be read in two ways is refused:
//! what one hop takes as a body, the next could take as a request.

mod body;
mod field;
mod head;
mod stream;
mod write;

pub use crate::{
    body::{BodyDecoder, BodyFraming, BodyStep, FramingError},
    field::{FieldList, HeaderField, is_hop_by_hop},
    head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response},
    stream::{HttpStream, TcpTimeouts},
    write::{MessageWriter, reason_phrase},
};
