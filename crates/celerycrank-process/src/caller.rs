//! A caller's connection, with a timeout for callers that stop reading.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use actix_rt::{
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::ShutdownFlag;

/// State of a connection, shared by its stream and the listener.
#[derive(Debug, Default, Clone)]
pub(crate) struct ConnectionState {
    /// Whether a request has arrived on the connection.
    pub(crate) used: Rc<Cell<bool>>,
    /// Whether the caller has closed the connection or a read of it has failed.
    pub(crate) closed: Rc<Cell<bool>>,
    /// Whether bytes of a request have arrived that was not answered.
    pub(crate) in_request: Rc<Cell<bool>>,
    /// When bytes were last read or written.
    pub(crate) active_at: Rc<Cell<Option<Instant>>>,
    /// Raised to close the connection although its caller keeps it open.
    pub(crate) end: ShutdownFlag,
}

impl ConnectionState {
    /// Records that bytes were read or written.
    pub(crate) fn note_activity(&self, in_request: bool) {
        self.in_request.set(in_request);
        self.active_at.set(Some(Instant::now()));
    }
}

/// A TCP stream whose writes time out if the caller stops reading.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    write_timeout: Duration,
    /// Timeout of the pending write; `None` unless a write waits for the caller to read.
    write_timer: Option<Pin<Box<Sleep>>>,
    state: ConnectionState,
}

impl CallerStream {
    /// Wraps a stream, whose writes then fail after `write_timeout` without progress.
    #[must_use]
    pub(crate) const fn new(
        stream: TcpStream,
        write_timeout: Duration,
        state: ConnectionState,
    ) -> Self {
        Self {
            stream,
            write_timeout,
            write_timer: None,
            state,
        }
    }

    /// The state that this stream shares with the listener.
    #[must_use]
    pub(crate) const fn state(&self) -> &ConnectionState {
        &self.state
    }

    fn poll_write_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let timeout = self.write_timeout;
        let sleep = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        match sleep.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read_nothing = buf.filled().len() == before && buf.remaining() > 0;
        if read_nothing && poll.is_ready() {
            self.state.closed.set(true);
        } else if poll.is_ready() {
            self.state.note_activity(true);
        }
        poll
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(cx, buf) {
            Poll::Ready(result) => {
                self.write_timer = None;
                self.state.note_activity(false);
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_write_timeout(cx),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
