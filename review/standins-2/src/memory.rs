//! Workers whose failures have bodies without end, and the memory of the entry.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Folders,
    client::{Ask, CLOSED, Channel},
    entry::{Entry, EntrySettings},
    record::Record,
    store::Store,
    worker::{Work, Worker},
};

const WORKERS: usize = 16;
/// Every second worker is in trouble.
const TROUBLED_EVERY: usize = 2;
const MEMORY_MB: u64 = 160;
const STREAMS_PER_S: f64 = 60.0;
const CLIENTS: usize = 340;
const CALM: Duration = Duration::from_secs(6);
const TROUBLE: Duration = Duration::from_secs(30);
const AFTER: Duration = Duration::from_secs(4);
/// The platform starts a process again after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How often the platform looks at the memory of a process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(10);
/// The number of requests that a machine may lose so.
const MAX_LOST: u32 = 3;

const WORK: Work = Work {
    slots: 10,
    first: Duration::from_millis(300),
    events: 26,
    gap: Duration::from_millis(40),
    junk_per_s: 450_000,
};

/// Runs the case; returns whether the rule held.
pub fn run(folders: &Folders<'_>, has_trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(folders.record)?);
    let store = Store::start()?;
    store.put("op/config", MANIFEST.as_bytes());
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let id = format!("i-{number:04x}");
        workers.push(Worker::start(
            &id, "redator", "estremoz", WORK, &store, &record,
        )?);
    }
    let settings = EntrySettings {
        memory_mb: MEMORY_MB,
        zone: "estremoz",
    };
    let mut entry = Entry::start(folders.temporary, store.address, &settings)?;
    let troubled = workers.iter().step_by(TROUBLED_EVERY);
    let troubled = troubled.map(Arc::clone).collect::<Vec<_>>();
    let names = troubled.iter().map(|it| it.id.clone());
    let clients = Clients {
        frontend: entry.frontend,
        due: Mutex::new(Instant::now()),
        number: AtomicU32::new(1),
        lost: AtomicU32::new(0),
        is_over: AtomicBool::new(false),
        troubled: names.collect(),
        record: Arc::clone(&record),
    };
    let clients = Arc::new(clients);
    let mut running = Vec::new();
    for _ in 0..CLIENTS {
        let clients = Arc::clone(&clients);
        running.push(thread::spawn(move || clients.run()));
    }
    let began = Instant::now();
    let (mut ends, mut peak) = (0, 0);
    let mut is_in_trouble = false;
    while began.elapsed() < CALM + TROUBLE + AFTER {
        let is_due = (CALM..CALM + TROUBLE).contains(&began.elapsed());
        if has_trouble && is_due != is_in_trouble {
            is_in_trouble = is_due;
            record.line(&format!("workers in trouble: {is_due}"));
            for worker in &troubled {
                worker.is_in_trouble.store(is_due, Ordering::Relaxed);
            }
        }
        let memory = entry.memory().unwrap_or_default();
        peak = peak.max(memory);
        if memory > MEMORY_MB << 20 || entry.has_ended() {
            ends += 1;
            let memory = memory >> 20;
            record.line(&format!(
                "platform: the entry holds {memory} MB of {MEMORY_MB} and is killed"
            ));
            entry.kill();
            thread::sleep(RESTART_DELAY);
            entry.restart(folders.temporary)?;
        }
        thread::sleep(MEMORY_INTERVAL);
    }
    clients.is_over.store(true, Ordering::Relaxed);
    for client in running {
        let _ = client.join();
    }
    drop(entry);
    let lost = clients.lost.load(Ordering::Relaxed);
    let summary = format!(
        "the entry was killed {ends} times for its memory, peak {} MB of {MEMORY_MB}; {lost} requests on kept channels that sound workers ran got no answer (LOST allows {MAX_LOST})",
        peak >> 20
    );
    record.line(&summary);
    println!("{summary}");
    record.flush();
    Ok(lost <= MAX_LOST)
}

/// The clients of the entry, which take turns, so that requests come at an even rate.
struct Clients {
    frontend: std::net::SocketAddr,
    due: Mutex<Instant>,
    number: AtomicU32,
    /// Requests on kept channels that only sound workers ran, and that got no answer.
    lost: AtomicU32,
    is_over: AtomicBool,
    troubled: Vec<String>,
    record: Arc<Record>,
}

impl Clients {
    fn run(&self) {
        let mut channel = Channel::default();
        loop {
            let turn = {
                let mut due = self.due.lock().unwrap();
                let turn = (*due).max(Instant::now());
                *due = turn + Duration::from_secs_f64(1.0 / STREAMS_PER_S);
                turn
            };
            thread::sleep(turn.saturating_duration_since(Instant::now()));
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let number = self.number.fetch_add(1, Ordering::Relaxed);
            let attempt = format!("{number:016x}");
            let parts = format!("aa{:02x}:40,{number:08x}:674", number % 60);
            let is_kept = channel.is_kept();
            self.record
                .line(&format!("{attempt}  client sends a request"));
            let outcome = channel.ask(&Ask {
                entry: self.frontend,
                attempt: &attempt,
                path: "/draft/lot",
                parts: &parts,
                deadline_ms: 8_000,
            });
            self.record.line(&format!("{attempt}  client: {outcome}"));
            let runs = self.record.runs_of(&attempt);
            let is_sound = runs.iter().all(|worker| !self.troubled.contains(worker));
            if outcome == CLOSED && is_kept && is_sound && !runs.is_empty() {
                self.lost.fetch_add(1, Ordering::Relaxed);
                let worker = runs.join(", ");
                self.record.line(&format!(
                    "{attempt}  LOST: kept channel, sound worker {worker}, no answer"
                ));
            }
        }
    }
}

const MANIFEST: &str = r#"{"version": 3,
 "routes": [{"name": "draft", "host": "sale.example", "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 8000, "target_latency_ms": 400, "target_gap_ms": 120, "priority": 1, "service": "redator", "max_attempts": 2, "stream_resume": true, "session_affinity": true, "anonymous": false}],
 "services": [{"name": "redator", "health_path": "/healthz", "max_connections": 348}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "acme", "api_keys": ["key-of-acme"], "priority": 1}]}"#;
