//! A sound client of the platform, on a channel that it keeps open.

use std::{net::SocketAddr, time::Duration};

use actix_rt::time::timeout;
use celerycrank_http::{BodyDecoder, BodyFraming, BodyStep, HttpStream, parse_response};
use tokio::net::TcpStream;

use crate::deployment::HOST;

const MAX_HEAD: usize = 64 << 10;

/// What became of one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete answer, and whether the channel stays open.
    Answered {
        status: u16,
        seal: Option<String>,
        is_kept: bool,
        retry_after: Option<f64>,
    },
    /// The channel ended, after this many bytes of the answer.
    Ended(usize),
    /// No answer within the time limit.
    TimedOut,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answered { status, .. } => *status,
            _ => 0,
        }
    }
}

/// A request of a client.
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub limit: Duration,
    pub body: &'a [u8],
    pub extra: &'a str,
}

pub struct Channel {
    stream: HttpStream,
}

impl Channel {
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let socket = timeout(Duration::from_secs(1), TcpStream::connect(address)).await;
        Some(Self {
            stream: HttpStream::new(socket.ok()?.ok()?),
        })
    }

    pub async fn ask(&mut self, request: &ClientRequest<'_>) -> Outcome {
        let ClientRequest {
            method,
            path,
            attempt,
            limit,
            body,
            extra,
        } = request;
        let limit_ms = limit.as_millis();
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {limit_ms}\r\n{extra}"
        )
        .into_bytes();
        if !body.is_empty() {
            bytes.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
        }
        bytes.extend(b"\r\n");
        bytes.extend(*body);
        if self.stream.send(&bytes).await.is_err() {
            return Outcome::Ended(0);
        }
        timeout(*limit, self.read(method))
            .await
            .unwrap_or(Outcome::TimedOut)
    }

    async fn read(&mut self, method: &str) -> Outcome {
        let head = loop {
            match parse_response(&mut self.stream.buffer, MAX_HEAD) {
                Ok(Some(head)) if head.status >= 200 => break head,
                Ok(Some(_)) => continue,
                Ok(None) => {}
                Err(_) => return Outcome::Ended(1),
            }
            match self.stream.fill().await {
                Ok(count) if count > 0 => {}
                _ => return Outcome::Ended(self.stream.buffer.len()),
            }
        };
        let Ok(framing) = BodyFraming::of_response(&head, method.as_bytes()) else {
            return Outcome::Ended(1);
        };
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        loop {
            match decoder.decode(&mut self.stream.buffer) {
                Ok(BodyStep::Data(data)) => body.extend_from_slice(&data),
                Ok(BodyStep::Complete) => break,
                Ok(BodyStep::Incomplete) => match self.stream.fill().await {
                    Ok(count) if count > 0 => {}
                    _ => return Outcome::Ended(1 + body.len()),
                },
                Err(_) => return Outcome::Ended(1 + body.len()),
            }
        }
        let field = |name: &str| {
            head.fields
                .get(name)
                .map(|it| String::from_utf8_lossy(it).into_owned())
        };
        Outcome::Answered {
            status: head.status,
            seal: field("Server-Seal"),
            retry_after: field("Retry-After").and_then(|text| text.parse().ok()),
            is_kept: head.is_persistent(),
        }
    }
}

/// Asks an entry whether it is ready, as the platform's balancer does.
pub async fn probe(address: SocketAddr) -> bool {
    let Some(mut channel) = Channel::open(address).await else {
        return false;
    };
    let request = ClientRequest {
        method: "GET",
        path: "/-/readyz",
        attempt: "probe",
        limit: Duration::from_secs(1),
        body: b"",
        extra: "",
    };
    channel.ask(&request).await.status() == 200
}
