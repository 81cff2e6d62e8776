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
    /// Why the connection was lost, if a read or write has reported that.
    ///
    /// Invariant: if this is set, no read returns the end of the data, since the peer may not have
    /// sent it.
    loss: Option<io::ErrorKind>,
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
            loss: None,
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
    /// Fails if the connection was lost, also if an earlier write has failed for this reason. What
    /// arrived before is read first.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_SIZE);
        let mut space = (&mut self.buffer).limit(READ_SIZE);
        let read = self.socket.read_buf(&mut space).await;
        self.check_read(read)
    }

    /// Like [`Self::fill`], but holds no memory for the buffer until bytes have arrived.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::fill`].
    pub async fn fill_when_readable(&mut self) -> io::Result<usize> {
        loop {
            self.release_buffer();
            self.socket.readable().await?;
            self.buffer.reserve(READ_SIZE);
            let mut space = (&mut self.buffer).limit(READ_SIZE);
            match self.socket.try_read_buf(&mut space) {
                // The socket may be reported as readable although it is not.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return self.check_read(read),
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
        let sent = self.socket.write_all(bytes).await;
        self.check_write(sent)
    }

    /// Writes as many of these bytes as the socket takes and returns their number.
    ///
    /// Cancel safe: nothing is written if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset.
    pub async fn send_some(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let sent = self.socket.write(bytes).await;
        self.check_write(sent)
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
            sent = writer.write(bytes) => self.check_write(sent).map(StreamStep::Sent),
            received = reader.read_buf(&mut space) => {
                self.check_read(received).map(StreamStep::Received)
            }
        }
    }

    /// Records why the connection was lost if a read has failed; returns the reason instead of the
    /// end of the data if the connection was lost before.
    fn check_read(&mut self, read: io::Result<usize>) -> io::Result<usize> {
        match read {
            Ok(0) => self.loss.map_or(Ok(0), |kind| Err(kind.into())),
            Ok(count) => Ok(count),
            Err(error) => {
                self.loss.get_or_insert(error.kind());
                Err(error)
            }
        }
    }

    /// Records why the connection was lost if a write has failed.
    ///
    /// The kernel reports the loss of a connection only once; later reads return the end of the
    /// data, as if the peer had closed the connection. A broken pipe is no such loss: the peer had
    /// closed its sending half before, so the end of the data is its own.
    fn check_write<T>(&mut self, sent: io::Result<T>) -> io::Result<T> {
        if let Err(error) = &sent
            && error.kind() != io::ErrorKind::BrokenPipe
        {
            self.loss.get_or_insert(error.kind());
        }
        sent
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
