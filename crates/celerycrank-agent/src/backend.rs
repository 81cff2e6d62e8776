//! The HTTP client of the backend server.

use std::{fmt::Display, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    Method, Uri,
    header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue},
};
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use celerycrank_http::{
    BodyDecoder, BodyFraming, BodyStep, FramingError, HeadParser, HttpStream, MessageWriter,
    ResponseHead, is_hop_by_hop,
};
use celerycrank_process::ProcessClock;
use celerycrank_types::{RefusalReason, RequestId, UnknownReason};
use celerycrank_wire::{HttpField, RunOrder};
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::pool::ConnectionPool;

/// Timeout of connecting to the backend server, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the head of an answer, in bytes.
const MAX_ANSWER_HEAD: usize = 128 << 10;

/// Size of the parts in which a request is sent, in bytes.
const SEND_SIZE: usize = 64 << 10;

/// Number of unsent bytes up to which the kernel takes more of a request, so that the progress of
/// a backend server that reads slowly is visible.
const MAX_UNSENT_BYTES: u32 = 128 << 10;

/// Space reserved for each read of an answer, in bytes.
const READ_SIZE: usize = 32 << 10;

/// The header that carries the request id to the backend server, which may echo it.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Why the backend server gave no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BackendError {
    /// The backend server did not receive the request.
    NotRun(RefusalReason),
    /// The backend server may have run the request.
    Unknown(UnknownReason),
}

/// Sends requests to the backend server.
pub(crate) struct BackendClient {
    address: SocketAddr,
    clock: ProcessClock,
    pool: Rc<ConnectionPool>,
}

/// The head of an answer and its unread body.
pub(crate) struct BackendAnswer {
    pub(crate) status: u16,
    pub(crate) fields: Vec<HttpField>,
    body: AnswerBody,
}

/// The unread body of an answer, together with its connection.
struct AnswerBody {
    /// `None` once the body is complete.
    stream: Option<HttpStream>,
    decoder: BodyDecoder,
    /// Whether the connection can carry another request after this answer.
    is_persistent: bool,
    clock: ProcessClock,
    pool: Rc<ConnectionPool>,
}

impl BackendClient {
    pub(crate) fn new(address: SocketAddr, clock: ProcessClock) -> Self {
        Self {
            address,
            clock,
            pool: Rc::default(),
        }
    }

    /// Sends a request to the backend server and waits for the head of its answer.
    ///
    /// `on_progress` is called for each part of the request that is sent. Dropping the future or
    /// the answer closes the connection, which cancels the request.
    pub(crate) async fn send(
        &self,
        order: &RunOrder,
        on_progress: impl Fn(),
    ) -> Result<BackendAnswer, BackendError> {
        let message = self.write_request(order)?;
        let mut stream = self.connect().await?;
        let sent = send_parts(&mut stream, &message, on_progress).await;
        // A write error is not fatal: the backend server may have answered before it read the
        // complete request.
        if let Err(error) = &sent {
            tracing::debug!(fault = %error, "request not sent completely to the backend server");
        }
        let head = read_head(&mut stream).await?;
        let is_persistent = head.is_persistent() && sent.is_ok();
        self.open_answer(order, stream, &head, is_persistent)
    }

    fn write_request(&self, order: &RunOrder) -> Result<BytesMut, BackendError> {
        let bad_request = BackendError::NotRun(RefusalReason::BadRequest);
        let method = Method::from_bytes(order.head.method.as_bytes());
        let method = method.ok().ok_or(bad_request)?;
        let target = order.head.path.parse::<Uri>().ok().ok_or(bad_request)?;
        let mut writer =
            MessageWriter::request(method.as_str().as_bytes(), target.to_string().as_bytes());
        writer.field_display("host", self.address);
        for field in &order.head.fields {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let name = name.ok().ok_or(bad_request)?;
            let value = HeaderValue::from_bytes(&field.value);
            let value = value.ok().ok_or(bad_request)?;
            if !is_own_field(&name) {
                writer.field(name.as_str(), value.as_bytes());
            }
        }
        writer.field_display(REQUEST_ID_HEADER, order.id);
        writer.framing(BodyFraming::Length(order.body.len() as u64));
        writer.end_head();
        writer.put(&order.body);
        Ok(writer.into_bytes())
    }

    async fn connect(&self) -> Result<HttpStream, BackendError> {
        if let Some(stream) = self.pool.take(self.clock.now()) {
            return Ok(stream);
        }
        let error = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(socket)) => return Ok(open_stream(socket)),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        tracing::debug!(fault = %error, "cannot connect to the backend server");
        // Nothing is sent before a connection is established.
        Err(BackendError::NotRun(RefusalReason::BackendUnreachable))
    }

    fn open_answer(
        &self,
        order: &RunOrder,
        stream: HttpStream,
        head: &ResponseHead,
        is_persistent: bool,
    ) -> Result<BackendAnswer, BackendError> {
        check_id(head, order.id)?;
        let framing = BodyFraming::of_response(head, order.head.method.as_bytes());
        let decoder = BodyDecoder::new(framing.map_err(bad_answer)?);
        let fields = head.fields.end_to_end().map(|field| HttpField {
            name: String::from_utf8_lossy(&field.name).as_ref().into(),
            value: field.value.clone(),
        });
        Ok(BackendAnswer {
            status: head.status,
            fields: fields.collect(),
            body: AnswerBody {
                stream: Some(stream),
                decoder,
                is_persistent,
                clock: self.clock,
                pool: Rc::clone(&self.pool),
            },
        })
    }
}

impl BackendAnswer {
    /// Returns the next chunk of the body, or `None` once it is complete.
    ///
    /// Cancel-safe: no data is lost if the future is dropped.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, BackendError> {
        self.body.next_chunk().await
    }
}

impl AnswerBody {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, BackendError> {
        while let Some(stream) = &mut self.stream {
            match self
                .decoder
                .decode(&mut stream.buffer)
                .map_err(bad_answer)?
            {
                BodyStep::Data(data) => return Ok(Some(data)),
                BodyStep::Complete => self.release(),
                BodyStep::Incomplete if fill(stream).await? == 0 => {
                    self.is_persistent = false;
                    self.decoder.finish().map_err(incomplete_answer)?;
                }
                BodyStep::Incomplete => {}
            }
        }
        Ok(None)
    }

    /// Returns the connection to the pool if it can carry another request.
    fn release(&mut self) {
        if let Some(stream) = self.stream.take()
            && self.is_persistent
        {
            self.pool.put(stream, self.clock.now());
        }
    }
}

fn open_stream(socket: TcpStream) -> HttpStream {
    if let Err(error) = SockRef::from(&socket).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        tracing::debug!(fault = %error, "cannot configure a connection to the backend server");
    }
    HttpStream::new(socket)
}

async fn send_parts(
    stream: &mut HttpStream,
    message: &[u8],
    on_progress: impl Fn(),
) -> io::Result<()> {
    for part in message.chunks(SEND_SIZE) {
        stream.send(part).await?;
        on_progress();
    }
    Ok(())
}

/// Whether the client sets this field itself, or it applies to one connection only.
fn is_own_field(name: &HeaderName) -> bool {
    *name == HOST
        || *name == CONTENT_LENGTH
        || name.as_str() == REQUEST_ID_HEADER
        || is_hop_by_hop(name.as_str().as_bytes())
}

/// Reads the head of the final answer, skipping interim answers.
async fn read_head(stream: &mut HttpStream) -> Result<ResponseHead, BackendError> {
    let mut parser = HeadParser::default();
    loop {
        let parsed = parser.parse(&mut stream.buffer, MAX_ANSWER_HEAD);
        match parsed.map_err(bad_answer)? {
            Some(head) => return Ok(head),
            None if fill(stream).await? == 0 => {
                return Err(incomplete_answer(FramingError::Truncated));
            }
            None => {}
        }
    }
}

/// Checks that an answer that names a request names this one.
fn check_id(head: &ResponseHead, id: RequestId) -> Result<(), BackendError> {
    match head.fields.get(REQUEST_ID_HEADER) {
        Some(echoed) if *echoed != id.to_string() => {
            Err(bad_answer("the answer names another request"))
        }
        _ => Ok(()),
    }
}

/// Reads more bytes and returns their number; zero if the backend server closed the connection.
async fn fill(stream: &mut HttpStream) -> Result<usize, BackendError> {
    stream.buffer.reserve(READ_SIZE);
    stream.fill().await.map_err(|error| {
        tracing::debug!(fault = %error, "connection to the backend server lost");
        BackendError::Unknown(UnknownReason::BackendBroke)
    })
}

fn bad_answer(error: impl Display) -> BackendError {
    tracing::debug!(fault = %error, "answer of the backend server cannot be used");
    BackendError::Unknown(UnknownReason::BadAnswer)
}

fn incomplete_answer(error: FramingError) -> BackendError {
    tracing::debug!(fault = %error, "answer of the backend server is incomplete");
    BackendError::Unknown(UnknownReason::BackendBroke)
}
