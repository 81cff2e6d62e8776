//! Answers the balancer's health checks, which ask whether callers may be sent to this entry.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_rt::time::timeout;
use celerycrank_http::{BodyFraming, HttpStream, MessageWriter, RequestHead, parse_request};
use celerycrank_types::TimePoint;
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    sync::Notify,
};

use super::state::EntryState;

/// Maximum size of the head of a probe, in bytes.
const MAX_PROBE_HEAD: usize = 4 << 10;

/// How long a connection of the balancer may be idle.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for the rest of a probe that has begun to arrive, and for writing its answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of open connections.
const MAX_PROBE_CONNECTIONS: usize = 64;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An open connection.
struct ProbeConnection {
    /// When its last probe was answered, or when it was opened.
    used_at: Cell<TimePoint>,
    /// Ends the connection.
    end: Notify,
}

/// Answers probes until the future is dropped.
///
/// At the bound of connections, the one that was not used for the longest time is closed.
pub(crate) async fn serve_probes(state: Rc<EntryState>, listener: Rc<TcpListener>) {
    let mut open = Vec::<Rc<ProbeConnection>>::new();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                // The task of an open connection has a reference to it.
                open.retain(|it| Rc::strong_count(it) > 1);
                if open.len() >= MAX_PROBE_CONNECTIONS {
                    let unused = open
                        .iter()
                        .enumerate()
                        .min_by_key(|(_, it)| it.used_at.get());
                    let index = unused.map_or(0, |(index, _)| index);
                    open.swap_remove(index).end.notify_one();
                    state.metrics.callers.probe_connections_ended.inc();
                }
                let connection = Rc::new(ProbeConnection {
                    used_at: Cell::new(state.clock.now()),
                    end: Notify::new(),
                });
                open.push(Rc::clone(&connection));
                let serving = Rc::clone(&state);
                let serving = async move {
                    select! {
                        () = serve_probe_connection(serving, socket, &connection) => {}
                        () = connection.end.notified() => {}
                    }
                };
                state.tasks.spawn("probe", serving, || {});
            }
            Err(error) => {
                tracing::warn!(fault = %error, "cannot accept a probe connection");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_probe_connection(
    state: Rc<EntryState>,
    socket: TcpStream,
    connection: &ProbeConnection,
) {
    let mut stream = HttpStream::new(socket);
    loop {
        if stream.buffer.is_empty() {
            let idle = timeout(PROBE_IDLE_TIMEOUT, stream.fill_when_readable());
            if !matches!(idle.await, Ok(Ok(count)) if count > 0) {
                return;
            }
        }
        let reading = timeout(PROBE_TIMEOUT, read_probe(&mut stream));
        let Ok(Some(head)) = reading.await else {
            return;
        };
        let status = if state.is_ready() { 200 } else { 503 };
        let mut writer = MessageWriter::response(status);
        writer.framing(BodyFraming::Length(0));
        writer.end_head();
        let message = writer.into_bytes();
        let sending = timeout(PROBE_TIMEOUT, stream.send(&message));
        let is_sent = matches!(sending.await, Ok(Ok(())));
        connection.used_at.set(state.clock.now());
        if !is_sent || !head.is_persistent() {
            return;
        }
    }
}

/// Reads the head of a probe; `None` if the peer leaves, or sends anything else and is not the
/// balancer.
async fn read_probe(stream: &mut HttpStream) -> Option<RequestHead> {
    loop {
        if let Some(head) = parse_request(&mut stream.buffer, MAX_PROBE_HEAD).ok()? {
            return Some(head);
        }
        if stream.fill().await.ok()? == 0 {
            return None;
        }
    }
}
