//! A client that keeps its channel for many requests.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::Connection;

/// What becomes of a request whose channel ends before its answer.
pub const CLOSED: &str = "closed without an answer";

/// A request.
pub struct Ask<'ask> {
    /// The address of the entry.
    pub entry: SocketAddr,
    /// The ID of the attempt.
    pub attempt: &'ask str,
    /// The path.
    pub path: &'ask str,
    /// The parts of the prompt.
    pub parts: &'ask str,
    /// How long the client waits.
    pub deadline_ms: u64,
}

/// The channel of a client; opened when it is needed.
#[derive(Default)]
pub struct Channel {
    connection: Option<Connection>,
    /// The number of requests that were answered on it.
    answered: u32,
}

impl Channel {
    /// Whether it has carried an answered request and is still open.
    pub fn is_kept(&self) -> bool {
        self.connection.is_some() && self.answered > 0
    }

    /// Sends a request and reads its answer; returns what became of it.
    pub fn ask(&mut self, ask: &Ask<'_>) -> String {
        if self.connection.is_none() {
            let socket = TcpStream::connect_timeout(&ask.entry, Duration::from_secs(1));
            let wait = Duration::from_millis(ask.deadline_ms + 1_000);
            match socket.and_then(|it| Connection::new(it, wait)) {
                Ok(connection) => {
                    self.connection = Some(connection);
                    self.answered = 0;
                }
                Err(_) => return "no connection".into(),
            }
        }
        let connection = self.connection.as_mut().expect("it was just opened");
        match exchange(connection, ask) {
            Ok((text, true)) => {
                self.answered += 1;
                text
            }
            Ok((text, false)) => {
                self.connection = None;
                text
            }
            Err(error) => {
                self.connection = None;
                format!("error {:?}", error.kind())
            }
        }
    }
}

/// Returns what became of a request, and whether its channel stays open.
fn exchange(connection: &mut Connection, ask: &Ask<'_>) -> io::Result<(String, bool)> {
    let Ask {
        attempt,
        path,
        parts,
        deadline_ms,
        ..
    } = ask;
    let body = "p".repeat(700);
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: sale.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 660,200\r\nPrefix-Hash: {parts}\r\nDeadline-Ms: {deadline_ms}\r\nCredential: key-of-acme\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    connection.socket.write_all(request.as_bytes())?;
    // Also a reset ends the channel without an answer.
    let Ok(Some(mut answer)) = connection.read_head() else {
        return Ok((CLOSED.into(), false));
    };
    let status = answer.status();
    let read = connection.read_body(&mut answer);
    let is_last = answer.field("connection") == Some("close");
    let reason = answer.field("x-celerycrank-reason").unwrap_or("-");
    Ok(match read {
        Ok(()) => (format!("{status} complete, reason {reason}"), !is_last),
        Err(_) => (format!("{status} cut off"), false),
    })
}
