//! Accepts HTTP connections on one arbiter, up to a limit.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    Error, HttpService, KeepAlive, Request, Response,
    body::BoxBody,
    error::{DispatchError, ParseError},
};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use socket2::SockRef;
use tokio::{select, task::yield_now};

use crate::{
    ShutdownFlag,
    caller::{CallerStream, ConnectionState},
};

/// Idle time after which a kept-alive connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Timeout for closing a connection, within which a caller can still read a refusal.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed `accept`, for example when the process has no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Number of unsent bytes up to which the kernel takes more of an answer.
///
/// Without it, the kernel takes more only once a third of the send buffer is free, which holds
/// megabytes: a caller that reads slowly would make no visible progress for a long time.
const MAX_UNSENT_BYTES: u32 = 128 << 10;

/// Size of a connection's receive buffer; the kernel doubles it and holds up to that many bytes until
/// the process reads them.
///
/// It carries a body of 4 MiB within 4 s at a round-trip time of 100 ms.
const MAX_UNREAD_BYTES: usize = 128 << 10;

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Maximum number of open connections.
    pub connections: u32,
    /// Whether the connection that was idle for the longest time is closed for a new one beyond
    /// that number.
    ///
    /// Only for listeners that write an answer without a pause, since a connection counts as idle
    /// as soon as a part of an answer has been written.
    pub closes_idle: bool,
    /// Maximum time for a caller to send a request head.
    pub header_timeout: Duration,
    /// Maximum time for which a write may wait for the caller to read.
    pub write_timeout: Duration,
}

/// Why a connection was refused or closed early; reported for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// The connection limit was reached.
    TooMany,
    /// The request head exceeded the limit of the parser.
    HeadTooLarge,
    /// The bytes were not a valid HTTP request.
    Malformed,
    /// The request head did not arrive in time.
    HeadTimeout,
    /// A write timed out because the caller did not read its answer.
    WriteTimeout,
}

/// Accepts connections and serves each in a task on the current arbiter.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
    limits: ListenerLimits,
    shutdown: ShutdownFlag,
    /// Number of open connections.
    open: Rc<Cell<u32>>,
}

impl HttpListener {
    /// Binds a listener. Once `shutdown` is raised, connections finish their request and are not
    /// kept alive.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        limits: ListenerLimits,
        shutdown: ShutdownFlag,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        limit_receive_buffer(&listener)?;
        Ok(Self {
            listener,
            limits,
            shutdown,
            open: Rc::default(),
        })
    }

    /// The address on which the listener accepts.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot tell the address of the socket.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The number of open connections, shared so that it can be read while the listener runs.
    #[must_use]
    pub fn open_connections(&self) -> Rc<Cell<u32>> {
        Rc::clone(&self.open)
    }

    /// Serves connections until the future is dropped.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP service cannot be created; a service made from a function never fails.
    pub async fn serve<F, R>(&self, handler: F, observe: impl Fn(ConnectionEvent) + 'static)
    where
        F: Fn(Request) -> R + Clone + 'static,
        R: Future<Output = Result<Response<BoxBody>, Error>> + 'static,
    {
        let shutdown = self.shutdown.clone();
        let handler = move |request: Request| {
            if let Some(state) = request.conn_data::<ConnectionState>() {
                state.used.set(true);
            }
            handler(request)
        };
        let factory = HttpService::build()
            .on_connect_ext(|stream: &CallerStream, data| {
                data.insert(stream.state().clone());
            })
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
            .client_request_timeout(self.limits.header_timeout)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(move || {
                let shutdown = shutdown.clone();
                async move { shutdown.raised().await }
            })
            .h1(fn_service(handler));
        let service = factory.new_service(()).await;
        let service = Rc::new(service.expect("a service made from a function cannot fail"));
        let observe = Rc::new(observe);
        let mut states = Vec::new();
        loop {
            let Ok((stream, address)) = self.listener.accept().await else {
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let is_full = self.open.get() >= self.limits.connections;
            if is_full && !(self.limits.closes_idle && end_longest_idle(&mut states)) {
                observe(ConnectionEvent::TooMany);
                refuse_connection(&stream);
                continue;
            }
            if let Err(error) = configure_connection(&stream) {
                tracing::debug!(%address, fault = %error, "cannot configure a connection");
            }
            let guard = ConnectionGuard::new(&self.open);
            let state = ConnectionState::default();
            state.note_activity(false);
            if self.limits.closes_idle {
                states.retain(is_in_use);
                states.push(state.clone());
            }
            let stream = CallerStream::new(stream, self.limits.write_timeout, state.clone());
            let serving = service.call((stream, Some(address)));
            let observe = Rc::clone(&observe);
            let shutdown = self.shutdown.clone();
            actix_rt::spawn(async move {
                let _guard = guard;
                let serving = async {
                    select! {
                        // A request that has arrived is answered before the connection is closed.
                        biased;
                        served = serving => served,
                        () = state.end.raised() => Ok(()),
                    }
                };
                let event = match serving.await {
                    Err(error) => classify_error(&error),
                    // On a head timeout the HTTP service answers the caller but returns no error.
                    Ok(())
                        if !state.used.get()
                            && !state.closed.get()
                            && !shutdown.is_raised()
                            && !state.end.is_raised() =>
                    {
                        Some(ConnectionEvent::HeadTimeout)
                    }
                    Ok(()) => None,
                };
                if let Some(event) = event {
                    observe(event);
                }
            });
            if is_full {
                // The task of the connection that ends for this one closes it.
                yield_now().await;
            }
        }
    }
}

/// Whether a connection is open; its task has references to its state.
fn is_in_use(state: &ConnectionState) -> bool {
    Rc::strong_count(&state.used) > 1
}

/// Ends the connection that was idle for the longest time; `false` if none is idle.
fn end_longest_idle(states: &mut Vec<ConnectionState>) -> bool {
    states.retain(is_in_use);
    let idle = states.iter().enumerate();
    let idle = idle.filter(|(_, it)| !it.in_request.get());
    let Some((index, _)) = idle.min_by_key(|(_, it)| it.active_at.get()) else {
        return false;
    };
    states.swap_remove(index).end.raise();
    tracing::debug!("idle connection closed for a new one");
    true
}

/// Limits the bytes that the kernel holds of each connection that this listener accepts and that the
/// process has not read.
///
/// Set before connections are accepted, so that callers are offered a window of this size. Without
/// it, the kernel holds up to several megabytes of each connection.
///
/// # Errors
///
/// Fails if the socket is closed.
pub fn limit_receive_buffer(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(MAX_UNREAD_BYTES)
}

fn configure_connection(stream: &TcpStream) -> io::Result<()> {
    // Nagle's algorithm would hold back small answers until earlier ones are acknowledged.
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}

/// Refuses a connection above the limit without reading its request.
fn refuse_connection(stream: &TcpStream) {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
        Connection: close\r\n\
        Content-Length: 0\r\n\
        Retry-After: 1\r\n\
        X-Celerycrank-Outcome: not-run\r\n\
        X-Celerycrank-Reason: too_many_connections\r\n\r\n";
    // The empty send buffer takes this in one write; a caller that has disconnected is ignored.
    let _ = stream.try_write(REFUSAL);
}

fn classify_error(error: &DispatchError) -> Option<ConnectionEvent> {
    match error {
        DispatchError::Parse(ParseError::TooLarge) => Some(ConnectionEvent::HeadTooLarge),
        DispatchError::Parse(_) => Some(ConnectionEvent::Malformed),
        DispatchError::SlowRequestTimeout => Some(ConnectionEvent::HeadTimeout),
        DispatchError::Io(error) if error.kind() == io::ErrorKind::TimedOut => {
            Some(ConnectionEvent::WriteTimeout)
        }
        _ => None,
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    open: Rc<Cell<u32>>,
}

impl ConnectionGuard {
    fn new(open: &Rc<Cell<u32>>) -> Self {
        open.set(open.get() + 1);
        Self {
            open: Rc::clone(open),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
