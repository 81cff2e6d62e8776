//! HTTP client for the agent's engine.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use celerycrank_http::{
    BodyDecoder, BodyFraming, BodyStep, HeadParser, HttpStream, MessageWriter, TcpTimeouts,
};

/// Timeout for a GET request to the engine.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for the answer to an order; the order is sent again after it.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(80);

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD: usize = 16 << 10;

/// Maximum size of the body of an answer, in bytes.
const MAX_BODY: usize = 1 << 20;

/// Timeouts that detect an engine that has stopped responding.
const DEAD_PEER_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    user_timeout: Duration::from_secs(1),
    idle: Duration::from_secs(2),
    interval: Duration::from_secs(1),
    probes: 2,
};

/// Why a call produced no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum CallError {
    /// no connection to the engine
    Connect,
    /// the engine did not answer in time
    Timeout,
    /// the connection to the engine was lost
    Lost,
    /// the engine answered with status {0}
    Status(u16),
    /// the engine's answer cannot be read: {0}
    Unreadable(std::sync::Arc<str>),
}

/// An answer from the engine.
#[derive(Debug)]
pub(crate) struct EngineAnswer {
    pub(crate) status: u16,
    pub(crate) body: BytesMut,
}

/// A client for one engine that reuses an idle connection for the next call.
pub(crate) struct EngineClient {
    address: SocketAddr,
    timeout: Duration,
    idle: RefCell<Option<HttpStream>>,
}

impl EngineClient {
    pub(crate) const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            idle: RefCell::new(None),
        }
    }

    /// Sends a GET request and returns the body of the answer; every status but 200 is an error.
    pub(crate) async fn get(&self, target: &str) -> Result<BytesMut, CallError> {
        let answer = self.call(b"GET", target, Bytes::new()).await?;
        match answer.status {
            200 => Ok(answer.body),
            status => Err(CallError::Status(status)),
        }
    }

    /// Sends a request once and reads the complete answer.
    pub(crate) async fn call(
        &self,
        method: &[u8],
        target: &str,
        body: Bytes,
    ) -> Result<EngineAnswer, CallError> {
        let exchange = self.exchange(method, target, body);
        timeout(self.timeout, exchange)
            .await
            .unwrap_or(Err(CallError::Timeout))
    }

    async fn exchange(
        &self,
        method: &[u8],
        target: &str,
        body: Bytes,
    ) -> Result<EngineAnswer, CallError> {
        let mut stream = self.connect().await?;
        let mut writer = MessageWriter::request(method, target.as_bytes());
        writer.field_display("Host", self.address);
        if !body.is_empty() {
            writer.field("Content-Type", b"application/json");
            writer.framing(BodyFraming::Length(body.len() as u64));
        }
        writer.end_head();
        writer.put(&body);
        let sent = stream.send(&writer.into_bytes()).await;
        sent.map_err(|error| connection_lost(&error))?;
        let (answer, is_persistent) = read_answer(&mut stream, method).await?;
        if is_persistent {
            *self.idle.borrow_mut() = Some(stream);
        }
        Ok(answer)
    }

    async fn connect(&self) -> Result<HttpStream, CallError> {
        let idle = self.idle.borrow_mut().take();
        if let Some(mut stream) = idle
            && stream.is_reusable()
        {
            return Ok(stream);
        }
        let connecting = HttpStream::connect(self.address, DEAD_PEER_TIMEOUTS).await;
        connecting.map_err(|error| {
            tracing::debug!(fault = %error, "cannot connect to the engine");
            CallError::Connect
        })
    }
}

async fn read_answer(
    stream: &mut HttpStream,
    method: &[u8],
) -> Result<(EngineAnswer, bool), CallError> {
    let mut parser = HeadParser::default();
    let head = loop {
        let parsed = parser.parse(&mut stream.buffer, MAX_HEAD);
        match parsed.map_err(unreadable)? {
            Some(head) => break head,
            None => fill(stream).await?,
        }
    };
    let framing = BodyFraming::of_response(&head, method).map_err(unreadable)?;
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        match decoder.decode(&mut stream.buffer).map_err(unreadable)? {
            BodyStep::Data(data) if body.len() + data.len() > MAX_BODY => {
                return Err(unreadable("the body exceeds 1 MiB"));
            }
            BodyStep::Data(data) => body.extend_from_slice(&data),
            BodyStep::Complete => break,
            BodyStep::Incomplete => fill(stream).await?,
        }
    }
    let is_persistent = head.is_persistent() && stream.buffer.is_empty();
    let answer = EngineAnswer {
        status: head.status,
        body,
    };
    Ok((answer, is_persistent))
}

async fn fill(stream: &mut HttpStream) -> Result<(), CallError> {
    match stream.fill().await {
        Ok(0) => Err(CallError::Lost),
        Ok(_) => Ok(()),
        Err(error) => Err(connection_lost(&error)),
    }
}

fn connection_lost(error: &std::io::Error) -> CallError {
    tracing::debug!(fault = %error, "connection to the engine lost");
    CallError::Lost
}

pub(crate) fn unreadable(error: impl std::fmt::Display) -> CallError {
    CallError::Unreadable(error.to_string().into())
}
