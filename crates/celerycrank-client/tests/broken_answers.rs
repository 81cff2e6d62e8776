//! Tests that the clients take no broken answer of the platform for a whole one.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use celerycrank_client::{
    AnswerError, Expected, KeyValueClient, KeyValueError, KeyValueProtocol, ModRevision,
    VmListClient, VmListError,
};
use celerycrank_types::TimeSpan;

const TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// The body of the answer to a read of the key `a`.
const RECORD: &str = r#"{"key":"a","value":"b25l","revision":3,"at":4}"#;

/// Starts a server that answers each request with these bytes and closes the connection; returns
/// its base address.
fn serve(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4 << 10];
            let _ = stream.read(&mut request).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    format!("http://{address}")
}

/// Reads the key `a` from a service that gives this answer.
async fn read_key(answer: String) -> Result<Option<ModRevision>, KeyValueError> {
    let address = serve(answer);
    let client = KeyValueClient::with_protocol(
        KeyValueProtocol::Platform,
        &[address.as_str().into()],
        TIMEOUT,
    );
    let record = client.get("a").await?;
    Ok(record.map(|record| record.revision))
}

#[actix_rt::test]
async fn whole_answer_is_read() {
    let length = RECORD.len();
    for head in [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{RECORD}"),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{RECORD}\r\n0\r\n\r\n"
        ),
    ] {
        assert_eq!(read_key(head).await, Ok(Some(ModRevision(3))));
    }
    let missing = "HTTP/1.1 404 Not Found\r\nContent-Length: 8\r\n\r\n{\"at\":4}".to_owned();
    assert_eq!(read_key(missing).await, Ok(None));
}

#[actix_rt::test]
async fn answer_that_ends_before_its_length_is_lost() {
    let length = RECORD.len() + 1;
    for answer in [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{RECORD}"),
        "HTTP/1.1 404 Not Found\r\nContent-Length: 8\r\n\r\n{\"at\"".to_owned(),
        "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 8\r\n\r\n".to_owned(),
    ] {
        let read = read_key(answer.clone()).await;
        assert!(
            matches!(read, Err(KeyValueError::Unknown(AnswerError::Lost(_)))),
            "{answer:?}: {read:?}"
        );
    }
}

#[actix_rt::test]
async fn vm_list_that_ends_before_its_length_is_lost() {
    let list = "{\"items\":[]}";
    let length = list.len() + 1;
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}");
    let client = VmListClient::new(serve(answer).into(), TIMEOUT);
    let read = client.fetch().await;
    assert!(matches!(read, Err(VmListError::Unreachable(_))), "{read:?}");
}

#[actix_rt::test]
async fn answer_with_a_malformed_head_is_unknown() {
    let length = RECORD.len();
    for (status, line) in [
        ("000 Unknown", "X-Field: 1"),
        ("099 Unknown", "X-Field: 1"),
        ("600 Unknown", "X-Field: 1"),
        ("200 OK", "X Field: 1"),
        ("200 OK", "X\u{1}Field: 1"),
        ("200 OK", "X\0Field: 1"),
        ("200 OK", " X-Field: 1"),
    ] {
        let answer =
            format!("HTTP/1.1 {status}\r\n{line}\r\nContent-Length: {length}\r\n\r\n{RECORD}");
        let read = read_key(answer.clone()).await;
        assert!(
            matches!(read, Err(KeyValueError::Unknown(_))),
            "{answer:?}: {read:?}"
        );
    }
}

/// An answer with this body and the status 000.
fn without_status(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 000 Unknown\r\nContent-Length: {length}\r\n\r\n{body}")
}

// Guards against a write that counts as carried out, or as refused, though its answer has no status.
#[actix_rt::test]
async fn write_answered_without_a_status_is_unknown() {
    for (protocol, body) in [
        (KeyValueProtocol::Platform, r#"{"revision":7}"#),
        (
            KeyValueProtocol::Gateway,
            r#"{"header":{"revision":"7"},"succeeded":true}"#,
        ),
    ] {
        let address = serve(without_status(body));
        let client = KeyValueClient::with_protocol(protocol, &[address.as_str().into()], TIMEOUT);
        let swap = client.compare_and_swap("a", Expected::Absent, "one".into());
        let written = swap.await;
        assert!(
            matches!(written, Err(KeyValueError::Unknown(_))),
            "{protocol:?}: {written:?}"
        );
    }
}

// Guards against a list of VMs that is in force though its answer has no status.
#[actix_rt::test]
async fn vm_list_without_a_status_is_not_read() {
    let address = serve(without_status("{\"items\":[]}"));
    let client = VmListClient::new(address.into(), TIMEOUT);
    client.fetch().await.expect_err("it has no status");
}
