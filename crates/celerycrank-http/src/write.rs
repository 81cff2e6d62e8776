//! Serialization of messages.

use std::fmt::Write;

use bytes::{BufMut, BytesMut};

use crate::{BodyFraming, HeaderField};

/// Writes one message into a buffer.
#[derive(Debug, Default)]
pub struct MessageWriter {
    buffer: BytesMut,
}

impl MessageWriter {
    /// Starts the head of a request.
    #[must_use]
    pub fn request(method: &[u8], target: &[u8]) -> Self {
        let mut writer = Self::default();
        writer.put(method);
        writer.put(b" ");
        writer.put(target);
        writer.put(b" HTTP/1.1\r\n");
        writer
    }

    /// Starts the head of a response.
    #[must_use]
    pub fn response(status: u16) -> Self {
        let mut writer = Self::default();
        let phrase = reason_phrase(status);
        write!(writer.buffer, "HTTP/1.1 {status} {phrase}\r\n")
            .expect("writing into a buffer cannot fail");
        writer
    }

    /// Adds a header field.
    pub fn field(&mut self, name: &str, value: &[u8]) {
        self.put(name.as_bytes());
        self.put(b": ");
        self.put(value);
        self.put(b"\r\n");
    }

    /// Adds a header field whose value is formatted as text.
    pub fn field_display(&mut self, name: &str, value: impl std::fmt::Display) {
        write!(self.buffer, "{name}: {value}\r\n").expect("writing into a buffer cannot fail");
    }

    /// Adds a copy of a header field.
    pub fn copy(&mut self, field: &HeaderField) {
        self.put(&field.name);
        self.put(b": ");
        self.put(&field.value);
        self.put(b"\r\n");
    }

    /// Adds the header field for the framing of the body.
    pub fn framing(&mut self, framing: BodyFraming) {
        match framing {
            BodyFraming::Length(length) => self.field_display("Content-Length", length),
            BodyFraming::Chunked => self.field("Transfer-Encoding", b"chunked"),
            BodyFraming::UntilClose => self.field("Connection", b"close"),
        }
    }

    /// Ends the head.
    pub fn end_head(&mut self) {
        self.put(b"\r\n");
    }

    /// Adds raw bytes.
    pub fn put(&mut self, bytes: &[u8]) {
        self.buffer.put_slice(bytes);
    }

    /// Adds one chunk of a chunked body; an empty chunk would end the body and is skipped.
    pub fn chunk(&mut self, data: &[u8]) {
        if data.is_empty() {
            return;
        }
        write!(self.buffer, "{:x}\r\n", data.len()).expect("writing into a buffer cannot fail");
        self.put(data);
        self.put(b"\r\n");
    }

    /// Ends a chunked body.
    pub fn end_chunks(&mut self) {
        self.put(b"0\r\n\r\n");
    }

    /// Returns the written bytes.
    #[must_use]
    pub fn into_bytes(self) -> BytesMut {
        self.buffer
    }
}

/// Returns the reason phrase of a status.
#[must_use]
pub const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
