//! A model worker that answers with streams, and can crash.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use celerycrank_http::{HttpStream, RequestHead};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};

use crate::worker::{Ledger, Run, read_request};

/// Time until the first event of an answer: the prompt is read meanwhile.
const PREFILL: Duration = Duration::from_millis(350);

const EVENTS: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// A running model worker; its channels and its listener end with `crash`.
pub struct Engine {
    pub name: String,
    address: SocketAddr,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Engine {
    /// Starts a worker whose weights have this version.
    pub async fn start(name: &str, version: u64, ledger: &Ledger) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let tasks = Rc::new(RefCell::new(Vec::new()));
        let (accepted, ledger, own) = (Rc::clone(&tasks), ledger.clone(), name.to_owned());
        let accepting = actix_rt::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let serving = actix_rt::spawn(serve(own.clone(), version, ledger.clone(), socket));
                accepted.borrow_mut().push(serving);
            }
        });
        tasks.borrow_mut().push(accepting);
        Self {
            name: name.to_owned(),
            address,
            tasks,
        }
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    pub fn registration(&self, service: &str, born: u64) -> Vec<u8> {
        let value = json!({
            "service": service, "address": self.address.to_string(), "zone": "estremoz", "version": "v1",
            "slots": 12, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": born,
        });
        value.to_string().into_bytes()
    }

    /// Ends the worker as a crash of its process does: nothing listens any more, and its channels end.
    pub fn crash(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

async fn serve(name: String, version: u64, ledger: Ledger, socket: TcpStream) {
    let mut stream = HttpStream::new(socket);
    while let Some((head, _)) = read_request(&mut stream).await {
        if answer(&name, version, &ledger, &mut stream, &head)
            .await
            .is_none()
        {
            return;
        }
    }
}

async fn answer(
    name: &str,
    version: u64,
    ledger: &Ledger,
    stream: &mut HttpStream,
    head: &RequestHead,
) -> Option<()> {
    let field = |name: &str| {
        let value = head.fields.get(name);
        value
            .map(|it| String::from_utf8_lossy(it).into_owned())
            .unwrap_or_default()
    };
    let attempt = field("Attempt-Id");
    let expected = field("Expect-Version");
    if field("Expect-Instance") != name || !(expected.is_empty() || expected == version.to_string())
    {
        let refusal = format!(
            "HTTP/1.1 421 Misdirected\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nAt-Server: {name}\r\nContent-Length: 0\r\n\r\n"
        );
        return stream.send(refusal.as_bytes()).await.ok();
    }
    let first = field("Last-Event-Id")
        .parse::<u64>()
        .map_or(1, |last| last + 1);
    sleep(PREFILL).await;
    let at = ledger.start.elapsed();
    ledger.runs.borrow_mut().push(Run {
        attempt: attempt.clone(),
        worker: name.to_owned(),
        at,
    });
    let start = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {name}.{attempt}\r\nWeight-Versions: {version}\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.send(start.as_bytes()).await.ok()?;
    for number in first..=EVENTS {
        let event = format!("id: {number}\ndata: event {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.send(chunk.as_bytes()).await.ok()?;
        sleep(EVENT_INTERVAL).await;
    }
    stream.send(b"0\r\n\r\n").await.ok()
}
