//! A blocking HTTP caller that distinguishes complete from truncated answers.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
};

use super::WAIT_TIMEOUT;

/// The API key in the test lists.
pub const KEY: &str = "trial-key-of-quarry";

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body ended as its head declared.
    Complete,
    /// The body ended early.
    Truncated,
}

/// An answer as received by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: String,
    pub end: BodyEnd,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn outcome(&self) -> Option<&str> {
        self.field("x-celerycrank-outcome")
    }

    pub fn reason(&self) -> Option<&str> {
        self.field("x-celerycrank-reason")
    }
}

/// One connection of a caller.
#[derive(Debug)]
pub struct Caller {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the process listens");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("not zero");
        stream.set_nodelay(true).expect("a TCP socket");
        let reader = BufReader::new(stream.try_clone().expect("a handle is free"));
        Self { stream, reader }
    }

    /// Sends raw bytes and returns whether the write succeeded.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn send_request(&mut self, method: &str, path: &str, key: Option<&str>, body: &str) {
        let auth = key.map_or(String::new(), |key| {
            format!("Authorization: Bearer {key}\r\n")
        });
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: trial\r\n{auth}Content-Length: {length}\r\n\r\n{body}"
        );
        assert!(self.send(text.as_bytes()), "the process reads requests");
    }

    /// Reads the head of the next answer.
    pub fn read_head(&mut self) -> Answer {
        let status_line = self.read_line().expect("an answer begins");
        let status = status_line.split(' ').nth(1).expect("a status line");
        let mut fields = Vec::new();
        while let Some(line) = self.read_line().filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(": ").expect("a header");
            fields.push((name.to_owned(), value.to_owned()));
        }
        Answer {
            status: status.parse().expect("a status"),
            fields,
            body: String::new(),
            end: BodyEnd::Truncated,
        }
    }

    /// Reads the next answer with its body.
    pub fn read_answer(&mut self) -> Answer {
        let mut answer = self.read_head();
        self.read_body(&mut answer);
        answer
    }

    pub fn read_body(&mut self, answer: &mut Answer) {
        if let Some(length) = answer.field("content-length") {
            let length = length.parse::<u64>().expect("a number");
            let mut body = Vec::new();
            // After an error the body is short, which is reported as truncated.
            let _ = (&mut self.reader).take(length).read_to_end(&mut body);
            if body.len() as u64 == length {
                answer.end = BodyEnd::Complete;
            }
            answer.body = String::from_utf8_lossy(&body).into_owned();
            return;
        }
        while let Some(chunk) = self.read_chunk() {
            if chunk.is_empty() {
                answer.end = BodyEnd::Complete;
                return;
            }
            answer.body.push_str(&chunk);
        }
    }

    /// Reads the next chunk; empty at the end, `None` if the answer is truncated.
    pub fn read_chunk(&mut self) -> Option<String> {
        let size = usize::from_str_radix(&self.read_line()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        self.reader.read_exact(&mut chunk).ok()?;
        chunk.truncate(size);
        Some(String::from_utf8_lossy(&chunk).into_owned())
    }

    /// Discards the bytes that were received and not yet read, and returns their number.
    pub fn take_buffered(&mut self) -> usize {
        let size = self.reader.buffer().len();
        self.reader.consume(size);
        size
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
        }
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Answer {
    let mut caller = Caller::connect(address);
    caller.send_request(method, path, key, body);
    caller.read_answer()
}
