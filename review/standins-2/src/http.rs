//! A minimal HTTP/1.1 reader and writer over blocking sockets.

use std::{
    io::{self, Read},
    net::TcpStream,
    time::Duration,
};

/// A connection with a read buffer.
pub struct Connection {
    /// The socket.
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

/// The head of a message and its body.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or_default()
    }
}

impl Connection {
    /// Wraps a socket whose reads and writes end after `timeout`.
    pub fn new(socket: TcpStream, timeout: Duration) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(timeout))?;
        socket.set_write_timeout(Some(timeout))?;
        Ok(Self {
            socket,
            buffer: Vec::new(),
        })
    }

    /// Reads more bytes; returns their number.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.socket.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            let found = self.buffer.windows(4).position(|it| it == b"\r\n\r\n");
            if let Some(end) = found {
                break end + 4;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        });
        Ok(Some(Message {
            start,
            fields: fields.collect(),
            body: Vec::new(),
            is_complete: false,
        }))
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.field("transfer-encoding") == Some("chunked") {
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    message.is_complete = true;
                    return Ok(());
                }
                self.take(size, &mut message.body)?;
                self.read_line()?;
            }
        }
        let length = message.field("content-length");
        let length = length.and_then(|it| it.parse().ok()).unwrap_or(0);
        self.take(length, &mut message.body)?;
        message.is_complete = true;
        Ok(())
    }

    fn take(&mut self, count: usize, into: &mut Vec<u8>) -> io::Result<()> {
        let mut left = count;
        loop {
            let part = left.min(self.buffer.len());
            into.extend(self.buffer.drain(..part));
            left -= part;
            if left == 0 {
                return Ok(());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}
