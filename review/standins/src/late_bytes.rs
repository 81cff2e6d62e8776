//! Additional bytes after a complete answer, late, that look like a refusal.

use std::{cell::RefCell, collections::HashMap, fmt::Write, fs, rc::Rc, time::Duration};

use actix_rt::time::{Instant, sleep};
use celerycrank_platform_standin::StoreStandin;

use crate::{
    client::{Channel, ClientRequest, Outcome},
    deployment::{Entry, Folder, Route, manifest},
    worker::{LateBytes, Ledger, Worker},
};

const SERVICE: &str = "sala-leilao";

/// The service has three workers, of which one has trouble: a share of 0.33.
const WORKERS: usize = 3;

/// One in 34 of the answers of that worker: a share of 0.029.
const ONE_IN: u32 = 34;

/// Bytes that belong to no request: the refusal names none.
const LATE_BYTES: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// The spells of trouble, in seconds from the start of traffic.
const SPELL: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(2);
const SPELLS: u32 = 8;

const CLIENTS: usize = 4;
const INTERVAL: Duration = Duration::from_millis(100);
const TIME_LIMIT: Duration = Duration::from_millis(2_500);

const ROUTES: [Route; 2] = [
    Route {
        prefix: "/lance-registo/",
        kind: "non_idempotent",
        max_attempts: 1,
        timeout_ms: 2_500,
    },
    Route {
        prefix: "/lance-outro/",
        kind: "non_idempotent",
        max_attempts: 2,
        timeout_ms: 2_500,
    },
];

/// One attempt of a client.
struct Sent {
    attempt: String,
    route: &'static str,
    outcome: Outcome,
    at: Duration,
}

pub async fn run(has_trouble: bool, record: &str) -> i32 {
    let folder = Folder::new();
    let store = StoreStandin::start().await;
    let ledger = Ledger::new();
    let late = LateBytes {
        one_in: ONE_IN,
        bytes: LATE_BYTES.into(),
        ..LateBytes::default()
    };
    for index in 0..WORKERS {
        let late = if index == 0 && has_trouble {
            late.clone()
        } else {
            LateBytes::default()
        };
        let worker = Worker::start(
            &format!("i-{index}"),
            &ledger,
            Duration::from_millis(30),
            late,
        )
        .await;
        store.put(&worker.key(), &worker.registration(SERVICE));
    }
    store.put("op/config", &manifest(5, SERVICE, &ROUTES));
    let entries = ["edge-1", "edge-2"].map(|name| Entry::start(name, store.address(), &folder.0));
    for entry in &entries {
        if !entry.wait_ready().await {
            return 2;
        }
    }
    let end = Instant::now() + (SPELL + PAUSE) * SPELLS;
    let sent = Rc::new(RefCell::new(Vec::new()));
    let clients = (0..CLIENTS).map(|client| {
        let address = entries[client % entries.len()].listen;
        let (sent, ledger) = (Rc::clone(&sent), ledger.clone());
        actix_rt::spawn(async move {
            let mut channel = Channel::open(address).await;
            let mut number = 0;
            while Instant::now() < end {
                let route = ROUTES[number % ROUTES.len()].prefix;
                let attempt = format!("a{client}x{number}");
                let at = ledger.start.elapsed();
                let outcome = match &mut channel {
                    Some(channel) => ask(channel, route, &attempt).await,
                    None => Outcome::Ended(0),
                };
                if !matches!(outcome, Outcome::Answered { is_kept: true, .. }) {
                    channel = Channel::open(address).await;
                }
                if let Outcome::Answered {
                    status: 503,
                    retry_after: Some(wait),
                    ..
                } = outcome
                {
                    // The promise that the bid has not run lets the client send it once more.
                    sleep(Duration::from_secs_f64(wait)).await;
                    let retry = format!("{attempt}r");
                    let at = ledger.start.elapsed();
                    if let Some(mut channel) = Channel::open(address).await {
                        let outcome = ask(&mut channel, route, &retry).await;
                        sent.borrow_mut().push(Sent {
                            attempt: retry,
                            route,
                            outcome,
                            at,
                        });
                    }
                }
                sent.borrow_mut().push(Sent {
                    attempt,
                    route,
                    outcome,
                    at,
                });
                number += 1;
                sleep(INTERVAL).await;
            }
        })
    });
    let clients = clients.collect::<Vec<_>>();
    for _ in 0..SPELLS {
        late.in_spell.set(true);
        sleep(SPELL).await;
        late.in_spell.set(false);
        sleep(PAUSE).await;
    }
    for client in clients {
        let _ = client.await;
    }
    // A run that is late would still count.
    sleep(Duration::from_secs(1)).await;
    let sent = sent.borrow();
    report(record, &sent, &ledger, late.sent.get())
}

async fn ask(channel: &mut Channel, route: &str, attempt: &str) -> Outcome {
    let path = format!("{route}lote");
    let request = ClientRequest {
        method: "POST",
        path: &path,
        attempt,
        limit: TIME_LIMIT,
        body: b"bid=100",
        extra: "",
    };
    channel.ask(&request).await
}

fn report(record: &str, sent: &[Sent], ledger: &Ledger, late: u32) -> i32 {
    let mut text = String::new();
    let mut runs = HashMap::<String, Vec<String>>::new();
    for run in ledger.runs.borrow().iter() {
        let line = format!("{} at {:.3} s", run.worker, run.at.as_secs_f64());
        runs.entry(run.attempt.clone()).or_default().push(line);
    }
    let (mut refused, mut twice, mut answered, mut again) = (0, 0, 0, 0);
    for Sent {
        attempt,
        route,
        outcome,
        at,
    } in sent
    {
        let ran = runs.get(attempt).cloned().unwrap_or_default();
        let status = outcome.status();
        let is_promise = matches!(status, 408 | 421 | 429 | 503);
        let mut mark = "";
        if is_promise && !ran.is_empty() {
            refused += 1;
            mark = "  REFUSED is broken: told that it has not run";
            again += usize::from(runs.contains_key(&format!("{attempt}r")));
        }
        if ran.len() > 1 {
            twice += 1;
            mark = "  TWICE is broken";
        }
        answered += usize::from(status == 200);
        let _ = writeln!(
            text,
            "{:8.3} s sent {attempt} {route} answered {status} run by [{}]{mark}",
            at.as_secs_f64(),
            ran.join(", ")
        );
    }
    let total = format!(
        "sent {}, answered 200: {answered}, additional bytes sent late: {late}; told 'not run' though run (REFUSED): {refused}, of these recorded again by the client's retry: {again}; run twice in one attempt (TWICE): {twice}",
        sent.len()
    );
    let _ = writeln!(text, "{total}");
    println!("{total}");
    if fs::write(record, text).is_err() || answered * 10 < sent.len() * 9 {
        return 2;
    }
    i32::from(refused + twice > 0)
}
