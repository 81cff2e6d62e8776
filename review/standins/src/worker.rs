//! A worker of a plain service, sound but for the trouble that a case gives it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_rt::time::{Instant, sleep};
use celerycrank_http::{
    BodyDecoder, BodyFraming, BodyStep, HttpStream, RequestHead, parse_request,
};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};

const MAX_HEAD: usize = 64 << 10;

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub worker: String,
    pub at: Duration,
}

/// What all workers of a case have run.
#[derive(Clone)]
pub struct Ledger {
    pub start: Instant,
    pub runs: Rc<RefCell<Vec<Run>>>,
}

impl Ledger {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            runs: Rc::default(),
        }
    }
}

/// Bytes that follow some of the answers, late: as the next request arrives on the channel.
#[derive(Clone, Default)]
pub struct LateBytes {
    /// Sent after every `one_in`th answer while the spell lasts.
    pub one_in: u32,
    pub bytes: Rc<[u8]>,
    pub in_spell: Rc<Cell<bool>>,
    pub answers: Rc<Cell<u32>>,
    pub sent: Rc<Cell<u32>>,
}

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub ledger: Ledger,
    pub work: Duration,
    pub late: LateBytes,
}

impl Worker {
    pub async fn start(name: &str, ledger: &Ledger, work: Duration, late: LateBytes) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let worker = Self {
            name: name.into(),
            address: listener.local_addr().expect("it is bound"),
            ledger: ledger.clone(),
            work,
            late,
        };
        let serving = worker.clone();
        actix_rt::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                actix_rt::spawn(serving.clone().serve(socket));
            }
        });
        worker
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    pub fn registration(&self, service: &str) -> Vec<u8> {
        let value = json!({
            "service": service, "address": self.address.to_string(), "zone": "estremoz", "version": "v1",
            "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1_790_000_000_000_u64,
        });
        value.to_string().into_bytes()
    }

    async fn serve(self, socket: TcpStream) {
        let mut stream = HttpStream::new(socket);
        let mut owes_late_bytes = false;
        while let Some((head, _)) = read_request(&mut stream).await {
            if std::mem::take(&mut owes_late_bytes) {
                self.late.sent.set(self.late.sent.get() + 1);
                if stream.send(&self.late.bytes).await.is_err() {
                    return;
                }
            }
            if !self.answer(&mut stream, &head).await {
                return;
            }
            owes_late_bytes = self.is_followed_by_late_bytes();
        }
    }

    fn is_followed_by_late_bytes(&self) -> bool {
        if self.late.one_in == 0 || !self.late.in_spell.get() {
            return false;
        }
        let answers = self.late.answers.get() + 1;
        self.late.answers.set(answers);
        answers % self.late.one_in == 0
    }

    async fn answer(&self, stream: &mut HttpStream, head: &RequestHead) -> bool {
        let field = |name: &str| {
            let value = head.fields.get(name);
            value
                .map(|it| String::from_utf8_lossy(it).into_owned())
                .unwrap_or_default()
        };
        let attempt = field("Attempt-Id");
        if field("Expect-Instance") != self.name {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.send(refusal.as_bytes()).await.is_ok();
        }
        let at = self.ledger.start.elapsed();
        self.ledger.runs.borrow_mut().push(Run {
            attempt: attempt.clone(),
            worker: self.name.clone(),
            at,
        });
        sleep(self.work).await;
        let body = format!("recorded {attempt}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {}.{attempt}\r\nKeep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
            self.name,
            body.len()
        );
        stream.send(answer.as_bytes()).await.is_ok()
    }
}

/// Reads a request; `None` at the end of the channel.
pub async fn read_request(stream: &mut HttpStream) -> Option<(RequestHead, Vec<u8>)> {
    let head = loop {
        if let Some(head) = parse_request(&mut stream.buffer, MAX_HEAD).ok()? {
            break head;
        }
        if stream.fill().await.ok()? == 0 {
            return None;
        }
    };
    let mut decoder = BodyDecoder::new(BodyFraming::of_request(&head).ok()?);
    let mut body = Vec::new();
    loop {
        match decoder.decode(&mut stream.buffer).ok()? {
            BodyStep::Data(data) => body.extend_from_slice(&data),
            BodyStep::Complete => return Some((head, body)),
            BodyStep::Incomplete => {
                if stream.fill().await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}
