//! Administration connections that stay open without a request.

use std::rc::Rc;

use celerycrank_process::{AdminHandler, HttpListener, ListenerLimits, ShutdownFlag, serve_admin};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

struct ReadyHandler;

impl AdminHandler for ReadyHandler {
    fn metrics(&self) -> Vec<u8> {
        Vec::new()
    }

    fn is_ready(&self) -> bool {
        true
    }

    fn status(&self) -> Vec<u8> {
        Vec::new()
    }
}

const REQUEST: &[u8] = b"GET /readyz HTTP/1.1\r\nHost: entry\r\n\r\n";

/// Sends bytes that end a request; returns the status of the answer, or `None` if the connection was
/// closed.
async fn ask(stream: &mut TcpStream, bytes: &[u8]) -> Option<u16> {
    // The listener may have closed the connection.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    while !answer.ends_with(b"ready\n") && !answer.ends_with(b"\r\n\r\n") {
        match stream.read_buf(&mut answer).await {
            Ok(count) if count > 0 => {}
            _ => return None,
        }
        if answer.ends_with(b"\r\n\r\n") && answer.windows(3).any(|it| it == b"200") {
            // The body follows.
            stream.read_buf(&mut answer).await.ok()?;
        }
    }
    let status = String::from_utf8_lossy(&answer);
    status.split(' ').nth(1)?.parse().ok()
}

// Guards against idle connections that keep operators from the process until they time out, and
// against closing one on which a request is arriving.
#[actix_rt::test]
async fn the_longest_idle_connection_is_closed_for_a_new_one() {
    let any = ([127, 0, 0, 1], 0).into();
    let listener = HttpListener::bind(any, ListenerLimits::ADMIN, ShutdownFlag::default()).await;
    let listener = Rc::new(listener.expect("a free port"));
    let address = listener.local_address().expect("it is bound");
    actix_rt::spawn(serve_admin(listener, Rc::new(ReadyHandler)));
    let connect = async || TcpStream::connect(address).await.expect("it listens");
    let mut arriving = connect().await;
    let (first, rest) = REQUEST.split_at(9);
    arriving.write_all(first).await.expect("it is open");
    let mut idle = Vec::new();
    for _ in 1..ListenerLimits::ADMIN.connections {
        let mut stream = connect().await;
        assert_eq!(ask(&mut stream, REQUEST).await, Some(200));
        idle.push(stream);
    }
    // The first one is no longer the one that was idle for the longest time.
    assert_eq!(ask(&mut idle[0], REQUEST).await, Some(200));
    let mut new = connect().await;
    assert_eq!(ask(&mut new, REQUEST).await, Some(200));
    assert_eq!(ask(&mut idle[1], REQUEST).await, None);
    assert_eq!(ask(&mut idle[0], REQUEST).await, Some(200));
    assert_eq!(ask(&mut idle[2], REQUEST).await, Some(200));
    assert_eq!(ask(&mut arriving, rest).await, Some(200));
}
