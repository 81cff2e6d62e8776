//! The TCP connections on which HTTP messages are exchanged.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{BufMut, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    select,
};

/// Space reserved in the buffer for each read, and the most that one read adds to it, in bytes.
const READ_SIZE: usize = 4 << 10;

/// Timeouts that detect an unresponsive peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TcpTimeouts {
    /// Maximum time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
    /// Idle time after which the kernel sends keepalive probes, in whole seconds.
    pub idle: Duration,
    /// Interval between keepalive probes, in whole seconds.
    pub interval: Duration,
    /// Number of unanswered keepalive probes after which the connection is closed.
    pub probes: u32,
}

/// What [`HttpStream::send_or_fill`] has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStep {
    /// This many bytes were written.
    Sent(usize),
    /// This many bytes were read into the buffer; zero if the peer closed the connection.
    Received(usize),
}

/// A TCP connection with a read buffer.
#[derive(Debug)]
pub struct HttpStream {
    socket: TcpStream,
    /// Bytes that were read and not yet consumed.
    pub buffer: BytesMut,
}

impl HttpStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(socket: TcpStream) -> Self {
        // Without `TCP_NODELAY`, small answers wait for acknowledgements of earlier ones. If
        // setting it fails, the socket is broken and the first read reports that.
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
    /// Fails if the connection cannot be established or configured; no data was sent then.
    pub async fn connect(address: SocketAddr, timeouts: TcpTimeouts) -> io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        let stream = Self::new(socket);
        stream.set_timeouts(timeouts)?;
        Ok(stream)
    }

    /// Sets the timeouts that detect an unresponsive peer.
    ///
    /// # Errors
    ///
    /// Fails if the socket is closed.
    pub fn set_timeouts(&self, timeouts: TcpTimeouts) -> io::Result<()> {
        let socket = SockRef::from(&self.socket);
        socket.set_tcp_user_timeout(Some(timeouts.user_timeout))?;
        let keepalive = TcpKeepalive::new()
            .with_time(timeouts.idle)
            .with_interval(timeouts.interval)
            .with_retries(timeouts.probes);
        socket.set_tcp_keepalive(&keepalive)
    }

    /// Sets the maximum time for which sent bytes may stay unacknowledged.
    ///
    /// # Errors
    ///
    /// Fails if the socket is closed.
    pub fn set_user_timeout(&self, timeout: Duration) -> io::Result<()> {
        SockRef::from(&self.socket).set_tcp_user_timeout(Some(timeout))
    }

    /// Limits the bytes that the kernel accepts before it sends them, so that writes follow what
    /// the peer reads.
    ///
    /// # Errors
    ///
    /// Fails if the socket is closed.
    pub fn limit_unsent(&self, bytes: u32) -> io::Result<()> {
        SockRef::from(&self.socket).set_tcp_notsent_lowat(bytes)
    }

    /// Reads more bytes into the buffer and returns their number; zero if the peer closed the
    /// connection.
    ///
    /// Cancel safe: no data is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_SIZE);
        let mut space = (&mut self.buffer).limit(READ_SIZE);
        self.socket.read_buf(&mut space).await
    }

    /// Like [`Self::fill`], but holds no memory for the buffer until bytes have arrived.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset.
    pub async fn fill_when_readable(&mut self) -> io::Result<usize> {
        loop {
            self.release_buffer();
            self.socket.readable().await?;
            self.buffer.reserve(READ_SIZE);
            let mut space = (&mut self.buffer).limit(READ_SIZE);
            match self.socket.try_read_buf(&mut space) {
                // The socket may be reported as readable although it is not.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// Releases the memory of an empty buffer.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Writes all of these bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes).await
    }

    /// Writes as many of these bytes as the socket takes and returns their number.
    ///
    /// Cancel safe: nothing is written if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset.
    pub async fn send_some(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.socket.write(bytes).await
    }

    /// Writes some of these bytes, or reads more bytes into the buffer if none can be written now.
    ///
    /// Cancel safe: no data is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset.
    pub async fn send_or_fill(&mut self, bytes: &[u8]) -> io::Result<StreamStep> {
        self.buffer.reserve(READ_SIZE);
        let (mut reader, mut writer) = self.socket.split();
        let mut space = (&mut self.buffer).limit(READ_SIZE);
        select! {
            biased;
            sent = writer.write(bytes) => sent.map(StreamStep::Sent),
            received = reader.read_buf(&mut space) => received.map(StreamStep::Received),
        }
    }

    /// Whether an idle connection can be reused: it is open and has received no data.
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

    /// Closes the sending half, after which the peer still receives everything that was sent.
    pub async fn shutdown(&mut self) {
        // An error means that the peer has already closed the connection.
        let _ = self.socket.shutdown().await;
    }
}
