//! Answers the balancer's health checks, which ask whether callers may be sent to this entry.

use std::{rc::Rc, time::Duration};

use actix_rt::time::timeout;
use celerycrank_http::{BodyFraming, HttpStream, MessageWriter, parse_request};
use tokio::net::{TcpListener, TcpStream};

use super::state::EntryState;

/// Maximum size of the head of a probe, in bytes.
const MAX_PROBE_HEAD: usize = 4 << 10;

/// How long a connection of the balancer may be idle.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers probes until the future is dropped.
pub(crate) async fn serve_probes(state: Rc<EntryState>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let serving = serve_probe_connection(Rc::clone(&state), socket);
                state.tasks.spawn("probe", serving, || {});
            }
            Err(error) => {
                tracing::warn!(fault = %error, "cannot accept a probe connection");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_probe_connection(state: Rc<EntryState>, socket: TcpStream) {
    let mut stream = HttpStream::new(socket);
    loop {
        let head = match parse_request(&mut stream.buffer, MAX_PROBE_HEAD) {
            Ok(Some(head)) => head,
            Ok(None) => match timeout(PROBE_IDLE_TIMEOUT, stream.fill()).await {
                Ok(Ok(count)) if count > 0 => continue,
                _ => return,
            },
            // A peer that sends anything else is not the balancer.
            Err(_) => return,
        };
        let status = if state.is_ready() { 200 } else { 503 };
        let mut writer = MessageWriter::response(status);
        writer.framing(BodyFraming::Length(0));
        writer.end_head();
        let is_sent = stream.send(&writer.into_bytes()).await.is_ok();
        if !is_sent || !head.is_persistent() {
            return;
        }
    }
}
