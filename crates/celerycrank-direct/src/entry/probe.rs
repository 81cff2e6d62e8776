//! Answers the balancer's question whether callers may be sent here.

use std::{rc::Rc, time::Duration};

use actix_rt::time::timeout;
use celerycrank_http::{BodyFraming, HttpStream, MessageWriter, parse_request};
use tokio::net::{TcpListener, TcpStream};

use super::state::EntryState;

/// Largest head of a probe, in bytes.
const MAX_PROBE_HEAD: usize = 4 << 10;

/// Time for which a connection of the balancer may be idle.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers probes until the future is dropped.
pub(crate) async fn serve_probes(state: Rc<EntryState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                actix_rt::spawn(serve_probe_connection(Rc::clone(&state), socket));
            }
            Err(error) => {
                tracing::warn!(fault = %error, "probe connection not accepted");
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
            // Whoever sends something else is no balancer.
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
