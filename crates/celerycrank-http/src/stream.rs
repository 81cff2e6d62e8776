//! A TCP connection with the bytes that were read and not yet taken.

use std::{io, net::SocketAddr, time::Duration};

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Room that is made for each read, in bytes.
const READ_SIZE: usize = 4 << 10;

/// How a silent peer is noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TcpTimeouts {
    /// Longest time for which sent bytes may stay unacknowledged.
    pub user_timeout: Duration,
    /// Silence after which the kernel asks whether the peer is still there, in whole seconds.
    pub idle: Duration,
    /// Interval of further such questions, in whole seconds.
    pub interval: Duration,
    /// Questions without an answer after which the connection is given up.
    pub probes: u32,
}

/// A TCP connection with the bytes that were read and not yet taken.
#[derive(Debug)]
pub struct HttpStream {
    socket: TcpStream,
    /// Bytes that were read and not yet taken.
    pub buffer: BytesMut,
}

impl HttpStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(socket: TcpStream) -> Self {
        // Without it, small answers wait for acknowledgements of earlier ones. A socket
        // that refuses the option is broken, which the first read tells.
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            buffer: BytesMut::new(),
        }
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if no connection is made; nothing was sent then.
    pub async fn connect(address: SocketAddr, timeouts: TcpTimeouts) -> io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        let stream = Self::new(socket);
        stream.set_timeouts(timeouts)?;
        Ok(stream)
    }

    /// Sets how a silent peer is noticed.
    ///
    /// # Errors
    ///
    /// Fails if the socket is gone.
    pub fn set_timeouts(&self, timeouts: TcpTimeouts) -> io::Result<()> {
        let socket = SockRef::from(&self.socket);
        socket.set_tcp_user_timeout(Some(timeouts.user_timeout))?;
        let keepalive = TcpKeepalive::new()
            .with_time(timeouts.idle)
            .with_interval(timeouts.interval)
            .with_retries(timeouts.probes);
        socket.set_tcp_keepalive(&keepalive)
    }

    /// Reads more bytes into the buffer; none at the connection's end.
    ///
    /// Nothing is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_SIZE);
        self.socket.read_buf(&mut self.buffer).await
    }

    /// Writes all of these bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes).await
    }

    /// Whether an idle connection can carry another request: it is open and has said nothing.
    #[must_use]
    pub fn is_reusable(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut probe = [0_u8; 1];
        match self.socket.try_read(&mut probe) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Ends the sending side, so that the peer reads everything that was sent.
    pub async fn shutdown(&mut self) {
        // The peer may be gone, in which case nobody waits for the end.
        let _ = self.socket.shutdown().await;
    }
}
