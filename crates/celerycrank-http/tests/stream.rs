//! Tests that the lost connection of a peer is told from one that the peer has closed.

use std::{io::ErrorKind, time::Duration};

use celerycrank_http::{HttpStream, StreamStep};
use socket2::SockRef;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

/// What the peer sends before its connection ends.
const PART: &[u8] = b"a part";

/// Size in bytes of a message that the buffers of a connection do not hold.
const LONG_MESSAGE: usize = 32 << 20;

/// Returns both ends of a connection.
async fn connect() -> (HttpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let near = TcpStream::connect(address).await.expect("it listens");
    let (far, _) = listener.accept().await.expect("a connection");
    (HttpStream::new(near), far)
}

/// Resets a connection.
fn reset(peer: TcpStream) {
    let linger = SockRef::from(&peer).set_linger(Some(Duration::ZERO));
    linger.expect("it is open");
    drop(peer);
}

/// Reads until the connection ends; returns the last result.
async fn read_to_end(stream: &mut HttpStream) -> Result<usize, ErrorKind> {
    loop {
        match stream.fill().await {
            Ok(count) if count > 0 => {}
            end => return end.map_err(|error| error.kind()),
        }
    }
}

/// Writes a long message, and reads meanwhile, until writing fails.
async fn write_until_failure(stream: &mut HttpStream) -> ErrorKind {
    let message = vec![0; LONG_MESSAGE];
    loop {
        match stream.send_or_fill(&message).await {
            Ok(StreamStep::Received(0)) => panic!("the end is read before writing fails"),
            Ok(_) => {}
            Err(error) => return error.kind(),
        }
    }
}

#[actix_rt::test]
async fn reset_that_a_write_has_reported_is_no_end() {
    let (mut stream, mut peer) = connect().await;
    peer.write_all(PART).await.expect("it is open");
    reset(peer);
    let sent = stream.send(b"more").await;
    assert_eq!(
        sent.map_err(|error| error.kind()),
        Err(ErrorKind::ConnectionReset)
    );
    let end = read_to_end(&mut stream).await;
    assert_eq!(stream.buffer, PART, "what has arrived can be read");
    assert_eq!(end, Err(ErrorKind::ConnectionReset));
    let again = stream.fill_when_readable().await;
    assert_eq!(
        again.map_err(|error| error.kind()),
        Err(ErrorKind::ConnectionReset)
    );
}

#[actix_rt::test]
async fn reset_of_a_connection_with_a_message_under_way_is_no_end() {
    let (mut stream, mut peer) = connect().await;
    let writing = actix_rt::spawn(async move {
        let error = write_until_failure(&mut stream).await;
        (stream, error)
    });
    peer.write_all(PART).await.expect("it is open");
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    reset(peer);
    let (mut stream, error) = writing.await.expect("the task does not panic");
    assert_eq!(error, ErrorKind::ConnectionReset);
    let end = read_to_end(&mut stream).await;
    assert_eq!(stream.buffer, PART);
    assert_eq!(end, Err(ErrorKind::ConnectionReset));
}

#[actix_rt::test]
async fn end_before_a_reset_stays_an_end() {
    let (mut stream, mut peer) = connect().await;
    peer.write_all(PART).await.expect("it is open");
    peer.shutdown().await.expect("it is open");
    stream.send(b"unread").await.expect("the peer may read on");
    reset(peer);
    let sent = stream.send(b"more").await;
    sent.expect_err("the peer is gone");
    assert_eq!(read_to_end(&mut stream).await, Ok(0));
    assert_eq!(stream.buffer, PART);
}
