//! Workers as separate processes, which can crash.

use std::{
    env, io,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{http::Connection, record::Record, store::Store};

/// The part of a prompt at which a worker crashes that begins to write an answer.
pub const DEADLY_PART: &str = "dead0001";

/// The interval of a worker's writes to its registration (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a worker that has crashed is down.
const DOWN_TIME: Duration = Duration::from_secs(5);

const FIRST_EVENT: Duration = Duration::from_millis(120);
const EVENTS: u32 = 12;
const GAP: Duration = Duration::from_millis(40);

/// Time between the first event and the crash, in which it is sent.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// How a worker crashes on requests with the part that crashes workers.
#[derive(Debug, Clone, Copy)]
pub struct CrashPlan {
    /// The number of events that it sends before it crashes.
    pub events: u32,
    /// From when on the part crashes workers, in Unix milliseconds.
    pub from_unix_ms: u64,
}

/// The time of day in Unix milliseconds.
pub fn unix_millis() -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}

/// A worker process that is started again after each crash.
pub struct WorkerProcess {
    /// Its ID.
    pub id: String,
    address: SocketAddr,
    child: Mutex<Option<Child>>,
    /// The number of times that it has crashed.
    pub crashes: AtomicU32,
    is_over: AtomicBool,
    plan: CrashPlan,
    record: Arc<Record>,
}

impl WorkerProcess {
    /// Starts the process, registers it, and keeps both going until `stop`.
    pub fn start(
        id: &str,
        plan: CrashPlan,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            child: Mutex::new(None),
            crashes: AtomicU32::new(0),
            is_over: AtomicBool::new(false),
            plan,
            record: Arc::clone(record),
        });
        worker.spawn()?;
        let (running, store) = (Arc::clone(&worker), store.clone());
        thread::spawn(move || running.keep(&store));
        Ok(worker)
    }

    fn spawn(self: &Arc<Self>) -> io::Result<()> {
        let program = env::current_exe()?;
        let CrashPlan {
            events,
            from_unix_ms,
        } = self.plan;
        let plan = [events.to_string(), from_unix_ms.to_string()];
        let address = self.address.to_string();
        let mut child = Command::new(program)
            .args(["worker", &self.id, &address, &plan[0], &plan[1]])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let lines = BufReader::new(child.stdout.take().expect("it is piped")).lines();
        let worker = Arc::clone(self);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some((attempt, rest)) = line.split_once(' ') {
                    worker.record.ran(attempt, &worker.id, rest);
                }
            }
        });
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Registers the worker while it lives, and starts it again after a crash.
    fn keep(self: &Arc<Self>, store: &Store) {
        let mut born = 1_700_000_000_000_u64;
        let mut sequence = 0_u64;
        let mut due = Instant::now();
        while !self.is_over.load(Ordering::Relaxed) {
            let has_crashed = {
                let mut child = self.child.lock().unwrap();
                let child = child.as_mut().expect("it was started");
                matches!(child.try_wait(), Ok(Some(_)))
            };
            if has_crashed {
                self.crashes.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("worker {} has crashed", self.id));
                thread::sleep(DOWN_TIME);
                born += 10_000;
                due = Instant::now();
                if self.is_over.load(Ordering::Relaxed) || self.spawn().is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(50));
            }
            if Instant::now() >= due {
                due += HEARTBEAT;
                sequence += 1;
                let entry = format!(
                    "{{\"service\":\"redator\",\"address\":\"{}\",\"zone\":\"estremoz\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
                    self.address
                );
                store.put(&format!("servers/{}", self.id), entry.as_bytes());
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Ends the process.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Runs a worker in this process until it crashes or its standard input ends.
pub fn run(id: &str, address: &str, plan: CrashPlan) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    // It ends with the process that has started it.
    thread::spawn(|| {
        let _ = io::copy(&mut io::stdin(), &mut io::sink());
        std::process::exit(0);
    });
    let id = Arc::<str>::from(id);
    for socket in listener.incoming().flatten() {
        let id = Arc::clone(&id);
        // An error means that the other side has closed the connection.
        thread::spawn(move || serve(&id, socket, plan));
    }
    Ok(())
}

fn serve(id: &str, socket: TcpStream, plan: CrashPlan) -> io::Result<()> {
    let mut connection = Connection::new(socket, Duration::from_secs(10))?;
    while let Some(mut request) = connection.read_head()? {
        connection.read_body(&mut request)?;
        let attempt = request.field("attempt-id").unwrap_or_default().to_owned();
        if request.field("expect-instance") != Some(id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nAt-Server: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            connection.socket.write_all(answer.as_bytes())?;
            continue;
        }
        let parts = request.field("prefix-hash").unwrap_or_default();
        let has_part = parts.split(',').any(|part| part.starts_with(DEADLY_PART));
        let is_deadly = has_part && unix_millis() >= plan.from_unix_ms;
        {
            let mut out = io::stdout().lock();
            let kind = if is_deadly { "deadly" } else { "sound" };
            writeln!(out, "{attempt} {kind} {parts}")?;
            out.flush()?;
        }
        thread::sleep(FIRST_EVENT);
        let socket = &mut connection.socket;
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal.{id}.{attempt}\r\nKeep-Alive: timeout=10\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        socket.write_all(head.as_bytes())?;
        let last = request
            .field("last-event-id")
            .and_then(|it| it.parse().ok());
        if is_deadly && plan.events == 0 {
            std::process::exit(101);
        }
        let first = last.unwrap_or(0) + 1;
        for number in first..=EVENTS {
            let event = format!("id: {number}\ndata: {}\n\n", "t".repeat(60));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            socket.write_all(chunk.as_bytes())?;
            if is_deadly && number + 1 == first + plan.events {
                thread::sleep(CRASH_DELAY);
                // The process ends; the kernel closes its listener and its connections.
                std::process::exit(101);
            }
            if number < EVENTS {
                thread::sleep(GAP);
            }
        }
        socket.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
