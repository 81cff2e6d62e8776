//! A TCP stream on which end of file is an error.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP stream that reports end of file as [`io::ErrorKind::UnexpectedEof`].
///
/// The HTTP client treats end of file as the end of the body, even if the announced length
/// was not reached. It stops reading once a body is complete by its own framing, so any end
/// of file that it sees is premature: the error prevents a truncated answer from being taken
/// for a complete one.
#[derive(Debug)]
pub(crate) struct EofErrorStream {
    stream: TcpStream,
}

impl EofErrorStream {
    pub(crate) const fn new(stream: TcpStream) -> Self {
        Self { stream }
    }
}

impl AsyncRead for EofErrorStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let is_eof = buf.filled().len() == filled_before && buf.remaining() > 0;
        match poll {
            Poll::Ready(Ok(())) if is_eof => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            other => other,
        }
    }
}

impl AsyncWrite for EofErrorStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for EofErrorStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
