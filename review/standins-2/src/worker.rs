//! Stand-ins for workers, as PROTOCOL.md describes them.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Connection, Message},
    record::Record,
    store::Store,
};

/// How long an idle connection stays open, in whole seconds.
const KEEP_ALIVE_S: u64 = 10;

/// The interval of a worker's writes to its registration (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The number of requests that may wait beside those that run.
const QUEUE: u32 = 24;

/// What the workers of a service do.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// The number of requests that run at once.
    pub slots: u32,
    /// The time before an answer or its first event.
    pub first: Duration,
    /// The number of events of a stream; 0 for an answer with a length.
    pub events: u32,
    /// The time between two events.
    pub gap: Duration,
    /// The bytes that a worker in trouble sends in a second on each connection.
    pub junk_per_s: usize,
}

/// One worker.
pub struct Worker {
    /// Its ID.
    pub id: String,
    address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    work: Work,
    running: Mutex<u32>,
    freed: Condvar,
    waiting: AtomicU32,
    sequence: AtomicU64,
    /// Whether its answers are bytes without end.
    pub is_in_trouble: AtomicBool,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker on a free port and registers it in the store.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        work: Work,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service,
            zone,
            work,
            running: Mutex::default(),
            freed: Condvar::new(),
            waiting: AtomicU32::new(0),
            sequence: AtomicU64::new(1),
            is_in_trouble: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let (registering, store) = (Arc::clone(&worker), store.clone());
        registering.register(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                registering.register(&store);
            }
        });
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let worker = Arc::clone(&serving);
                // An error means that the other side has closed the connection.
                thread::spawn(move || worker.serve(socket));
            }
        });
        Ok(worker)
    }

    fn register(&self, store: &Store) {
        let Self {
            id,
            address,
            service,
            zone,
            ..
        } = self;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let slots = self.work.slots;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":1700000000000}}"
        );
        store.put(&format!("servers/{id}"), entry.as_bytes());
    }

    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        let idle = Duration::from_secs(KEEP_ALIVE_S);
        let mut connection = Connection::new(socket, idle)?;
        while let Some(mut request) = connection.read_head()? {
            connection.read_body(&mut request)?;
            let attempt = request.field("attempt-id").unwrap_or_default().to_owned();
            if request.field("expect-instance") != Some(self.id.as_str()) {
                self.reject(&mut connection, &attempt, 421)?;
                continue;
            }
            if self.waiting.fetch_add(1, Ordering::Relaxed) >= QUEUE {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                self.reject(&mut connection, &attempt, 503)?;
                continue;
            }
            self.begin();
            self.record.ran(&attempt, &self.id, &request.start);
            let answered = self.answer(&mut connection, &request, &attempt);
            self.end();
            answered?;
        }
        Ok(())
    }

    fn begin(&self) {
        let mut running = self.running.lock().unwrap();
        while *running >= self.work.slots {
            running = self.freed.wait(running).unwrap();
        }
        *running += 1;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    fn end(&self) {
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
    }

    fn reject(&self, connection: &mut Connection, attempt: &str, status: u16) -> io::Result<()> {
        let id = &self.id;
        let answer = format!(
            "HTTP/1.1 {status} Not executed\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nAt-Server: {id}\r\nKeep-Alive: timeout={KEEP_ALIVE_S}\r\nContent-Length: 0\r\n\r\n"
        );
        connection.socket.write_all(answer.as_bytes())
    }

    fn answer(
        &self,
        connection: &mut Connection,
        request: &Message,
        attempt: &str,
    ) -> io::Result<()> {
        if self.is_in_trouble.load(Ordering::Relaxed) {
            return self.answer_without_end(connection, attempt);
        }
        let Work {
            first, events, gap, ..
        } = self.work;
        let (id, socket) = (&self.id, &mut connection.socket);
        let fields = format!(
            "Attempt-Id: {attempt}\r\nServer-Seal: seal.{id}.{attempt}\r\nKeep-Alive: timeout={KEEP_ALIVE_S}\r\n"
        );
        thread::sleep(first);
        if events == 0 {
            let body = "b".repeat(800);
            let length = body.len();
            let answer =
                format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
            return socket.write_all(answer.as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        socket.write_all(head.as_bytes())?;
        let last = request
            .field("last-event-id")
            .and_then(|it| it.parse().ok());
        for number in last.unwrap_or(0) + 1..=events {
            let event = format!("id: {number}\ndata: {}\n\n", "t".repeat(60));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            socket.write_all(chunk.as_bytes())?;
            if number < events {
                thread::sleep(gap);
            }
        }
        socket.write_all(b"0\r\n\r\n")
    }

    /// Reports a failure with a body that does not end until the caller closes the connection.
    fn answer_without_end(&self, connection: &mut Connection, attempt: &str) -> io::Result<()> {
        let (id, socket) = (&self.id, &mut connection.socket);
        let head = format!(
            "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal.{id}.{attempt}\r\nContent-Type: text/plain\r\n\r\n"
        );
        socket.write_all(head.as_bytes())?;
        let pause = Duration::from_millis(20);
        let block = vec![b'x'; self.work.junk_per_s / 50];
        loop {
            socket.write_all(&block)?;
            thread::sleep(pause);
        }
    }
}
