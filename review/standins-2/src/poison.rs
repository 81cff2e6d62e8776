//! Requests with a part that crashes the worker which begins to write an answer on it.

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
    client::{Ask, Channel},
    entry::{Entry, EntrySettings},
    process::{CrashPlan, DEADLY_PART, WorkerProcess, unix_millis},
    record::Record,
    store::Store,
};

const WORKERS: usize = 6;
const MEMORY_MB: u64 = 260;
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for the start of all processes.
const STARTING: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(15);
const TROUBLE: Duration = Duration::from_secs(45);
/// Sound requests a second.
const SOUND_PER_S: f64 = 12.0;
/// Requests a second with the part that crashes workers.
const DEADLY_PER_S: f64 = 2.0;
/// The same for a part that much of the traffic asks for (`hot_key` names a share of .28).
const HOT_DEADLY_PER_S: f64 = 4.5;
/// Requests of the calm time, all of which are sound, less a second's.
const CALM_REQUESTS: u32 = 168;
const SOUND_CLIENTS: usize = 40;
const DEADLY_CLIENTS: usize = 20;
/// The number of requests with such a part that may reach workers.
const MAX_DEADLY: usize = 3;
/// The number of sound requests from which on their rates are compared.
const MIN_SOUND: usize = 20;

/// A request of a client.
#[derive(Debug, Clone)]
struct Sent {
    attempt: String,
    at: Instant,
    is_deadly: bool,
    /// What became of it.
    outcome: String,
}

impl Sent {
    /// Whether an answer with status 200 began.
    fn has_begun(&self) -> bool {
        self.outcome.starts_with("200")
    }

    /// Whether it got a whole answer with status 200.
    fn is_served(&self) -> bool {
        self.outcome.starts_with("200 complete")
    }
}

/// The parts of the prompts of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prompts {
    /// Two shared parts, of which the second may crash workers.
    Short,
    /// A shared part for each block of a long prompt; one behind the 32nd may crash workers.
    ManyBlocks,
    /// The IDs of the parts have 64 digits, as those of a usual hash function.
    LongIds,
    /// As `Short`, but the part was answered before it began to crash workers.
    Known,
}

impl Prompts {
    /// Requests a second with the part that crashes workers.
    fn deadly_per_s(self) -> f64 {
        match self {
            Self::Known => HOT_DEADLY_PER_S,
            _ => DEADLY_PER_S,
        }
    }

    /// The parts of the prompt with this number.
    fn parts(self, is_deadly: bool, number: u32) -> String {
        // Sound requests have it one time in fifty, until it begins to crash workers.
        let is_known = self == Self::Known && number < CALM_REQUESTS && number % 50 == 0;
        let second = if is_deadly || is_known {
            DEADLY_PART.to_owned()
        } else {
            format!("bb{:02x}", number % 50)
        };
        match self {
            Self::Short | Self::Known => format!("aa01:40,{second}:20,{number:08x}:600"),
            Self::ManyBlocks => {
                let blocks = (0..40).map(|block| match block {
                    35 => format!("{second}:16,"),
                    block => format!("aa{block:02x}:16,"),
                });
                let blocks = blocks.collect::<String>();
                format!("{blocks}{number:08x}:20")
            }
            Self::LongIds => {
                format!("{:0<64}:40,{second:0<64}:20,{number:064x}:600", "aa01")
            }
        }
    }
}

/// Runs the case; returns whether the rules held.
///
/// `events_before_crash` is the number of events that a worker sends before it crashes.
pub fn run(
    folders: &Folders<'_>,
    prompts: Prompts,
    events_before_crash: u32,
    has_trouble: bool,
) -> io::Result<bool> {
    let record = Arc::new(Record::create(folders.record)?);
    let store = Store::start()?;
    store.put("op/config", MANIFEST.as_bytes());
    // Workers are started, and the entry becomes ready, before the calm time begins.
    let plan = CrashPlan {
        events: events_before_crash,
        from_unix_ms: match prompts {
            Prompts::Known => unix_millis() + STARTING.as_millis() as u64 + CALM.as_millis() as u64,
            _ => 0,
        },
    };
    let started = Instant::now();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let id = format!("i-{number:04x}");
        let worker = WorkerProcess::start(&id, plan, &store, &record)?;
        workers.push(worker);
    }
    let settings = EntrySettings {
        memory_mb: MEMORY_MB,
        zone: "estremoz",
    };
    let entry = Entry::start(folders.temporary, store.address, &settings)?;
    thread::sleep(STARTING.saturating_sub(started.elapsed()));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::<Sent>::new()));
    let number = Arc::new(AtomicU32::new(1));
    let began = Instant::now();
    let mut clients = Vec::new();
    let kinds = [
        (false, SOUND_PER_S, SOUND_CLIENTS, began),
        (true, prompts.deadly_per_s(), DEADLY_CLIENTS, began + CALM),
    ];
    for (is_deadly, per_s, count, first) in kinds {
        if is_deadly && !has_trouble {
            continue;
        }
        let due = Arc::new(Mutex::new(first));
        for _ in 0..count {
            let (due, is_over, sent) = (Arc::clone(&due), Arc::clone(&is_over), Arc::clone(&sent));
            let (number, record, frontend) =
                (Arc::clone(&number), Arc::clone(&record), entry.frontend);
            clients.push(thread::spawn(move || {
                let mut channel = Channel::default();
                while !is_over.load(Ordering::Relaxed) {
                    let turn = {
                        let mut due = due.lock().unwrap();
                        let turn = (*due).max(Instant::now());
                        *due = turn + Duration::from_secs_f64(1.0 / per_s);
                        turn
                    };
                    thread::sleep(turn.saturating_duration_since(Instant::now()));
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let attempt = format!("{number:016x}");
                    // Sound requests share the first part and the caller with the others.
                    let parts = prompts.parts(is_deadly, number);
                    let at = Instant::now();
                    let kind = if is_deadly { "deadly" } else { "sound" };
                    record.line(&format!(
                        "{attempt}  client sends a {kind} request: {parts}"
                    ));
                    let outcome = channel.ask(&Ask {
                        entry: frontend,
                        attempt: &attempt,
                        path: "/draft/lot",
                        parts: &parts,
                        deadline_ms: 8_000,
                    });
                    record.line(&format!("{attempt}  client: {outcome}"));
                    sent.lock().unwrap().push(Sent {
                        attempt,
                        at,
                        is_deadly,
                        outcome,
                    });
                }
            }));
        }
    }
    // The moment of the fifth crash, or of the last one if there are fewer.
    let mut crashed_at = None;
    let mut known = 0;
    while began.elapsed() < CALM + TROUBLE {
        let crashes = workers.iter().map(|it| it.crashes.load(Ordering::Relaxed));
        let crashes = crashes.sum::<u32>();
        if crashes > known && known < 5 {
            crashed_at = Some(Instant::now());
        }
        known = crashes;
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(entry);
    for worker in &workers {
        worker.stop();
    }
    let sent = sent.lock().unwrap().clone();
    let holds = judge(&sent, began, crashed_at, known, &record);
    record.flush();
    Ok(holds)
}

fn judge(
    sent: &[Sent],
    began: Instant,
    crashed_at: Option<Instant>,
    crashes: u32,
    record: &Record,
) -> bool {
    let share = |from: Instant, to: Instant| {
        let sound = sent.iter().filter(|it| !it.is_deadly);
        let sound = sound.filter(|it| it.at >= from && it.at < to);
        sound.fold((0, 0, 0), |(all, begun, served), it| {
            (
                all + 1,
                begun + usize::from(it.has_begun()),
                served + usize::from(it.is_served()),
            )
        })
    };
    let (calm, calm_begun, calm_served) = share(began, began + CALM);
    let end = began + CALM + TROUBLE;
    let mut text = format!(
        "crashes {crashes}; calm: of {calm} sound requests {calm_begun} begun, {calm_served} served whole"
    );
    let mut holds = true;
    if let Some(at) = crashed_at {
        let late = at + STABLE_WINDOW;
        let deadly = sent.iter().filter(|it| it.is_deadly && it.at > late);
        let reached = deadly.filter(|it| !record.runs_of(&it.attempt).is_empty());
        let reached = reached.count();
        let (all, begun, served) = share(at + 2 * STABLE_WINDOW, end);
        text += &format!(
            "; later than 3 s after the fifth crash: {reached} deadly requests reached workers (BUDGET allows {MAX_DEADLY}); from 6 s after it: of {all} sound requests {begun} begun, {served} served whole"
        );
        let is_compared = calm >= MIN_SOUND && all >= MIN_SOUND;
        let is_lost = is_compared && 2 * begun * calm < calm_begun * all;
        text += if is_lost {
            " (LOST broken)"
        } else {
            " (LOST holds)"
        };
        holds = reached <= MAX_DEADLY && !is_lost;
    }
    record.line(&text);
    println!("{text}");
    holds
}

const MANIFEST: &str = r#"{"version": 3,
 "routes": [{"name": "draft", "host": "sale.example", "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 8000, "target_latency_ms": 400, "target_gap_ms": 120, "priority": 1, "service": "redator", "max_attempts": 2, "stream_resume": true, "session_affinity": true, "anonymous": false}],
 "services": [{"name": "redator", "health_path": "/healthz", "max_connections": 348}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "acme", "api_keys": ["key-of-acme"], "priority": 1}]}"#;
