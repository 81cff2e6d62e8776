//! A manifest that takes away the last keys.

use std::{cell::RefCell, fmt::Write, fs, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_platform_standin::StoreStandin;
use serde_json::json;

use crate::{
    client::{Channel, ClientRequest, Outcome},
    deployment::{Entry, Folder, REVOKE_MS, Route, manifest_with},
    worker::{LateBytes, Ledger, Worker},
};

const SERVICE: &str = "sala-leilao";
const ROUTES: [Route; 1] = [Route {
    prefix: "/lance-registo/",
    kind: "non_idempotent",
    max_attempts: 1,
    timeout_ms: 2_500,
}];

/// The keys of the only tenant, and one that no manifest ever holds.
const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];
const UNKNOWN_KEY: &str = "q7w8e9r0t1y2u3i4o5p6";

const REVOKED_AT: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(30);
const INTERVAL: Duration = Duration::from_millis(250);
const TIME_LIMIT: Duration = Duration::from_millis(2_500);

struct Sent {
    attempt: String,
    key: &'static str,
    status: u16,
    at: Duration,
}

pub async fn run(has_trouble: bool, record: &str) -> i32 {
    let folder = Folder::new();
    let store = StoreStandin::start().await;
    let ledger = Ledger::new();
    for index in 0..3 {
        let worker = Worker::start(
            &format!("i-{index}"),
            &ledger,
            Duration::from_millis(30),
            LateBytes::default(),
        )
        .await;
        store.put(&worker.key(), &worker.registration(SERVICE));
    }
    let tenants = json!([{"name": "hule930", "api_keys": KEYS, "priority": 1}]);
    store.put("op/config", &manifest_with(5, SERVICE, &ROUTES, tenants));
    let entries = ["edge-1", "edge-2"].map(|name| Entry::start(name, store.address(), &folder.0));
    for entry in &entries {
        if !entry.wait_ready().await {
            return 2;
        }
    }
    let start = ledger.start;
    let offset = start.elapsed();
    let sent = Rc::new(RefCell::new(Vec::new()));
    let mut clients = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        for key in [KEYS[0], KEYS[1], UNKNOWN_KEY] {
            let (address, sent) = (entry.listen, Rc::clone(&sent));
            clients.push(actix_rt::spawn(async move {
                let mut channel = Channel::open(address).await;
                let mut number = 0;
                while start.elapsed() < offset + END {
                    let attempt = format!("a{index}{}x{number}", &key[..2]);
                    let at = start.elapsed();
                    let outcome = match &mut channel {
                        Some(channel) => ask(channel, &attempt, key).await,
                        None => Outcome::Ended(0),
                    };
                    if !matches!(outcome, Outcome::Answered { is_kept: true, .. }) {
                        channel = Channel::open(address).await;
                    }
                    sent.borrow_mut().push(Sent {
                        attempt,
                        key,
                        status: outcome.status(),
                        at,
                    });
                    number += 1;
                    sleep(INTERVAL).await;
                }
            }));
        }
    }
    sleep(REVOKED_AT).await;
    let acknowledged_at = start.elapsed();
    if has_trouble {
        store.put("op/config", &manifest_with(6, SERVICE, &ROUTES, json!([])));
    }
    for client in clients {
        let _ = client.await;
    }
    let revoked_at = has_trouble.then_some(acknowledged_at);
    let sent = sent.borrow();
    report(record, &sent, &ledger, revoked_at)
}

async fn ask(channel: &mut Channel, attempt: &str, key: &str) -> Outcome {
    let extra = format!("Credential: {key}\r\n");
    let request = ClientRequest {
        method: "POST",
        path: "/lance-registo/lote",
        attempt,
        limit: TIME_LIMIT,
        body: b"bid=100",
        extra: &extra,
    };
    channel.ask(&request).await
}

fn report(record: &str, sent: &[Sent], ledger: &Ledger, revoked_at: Option<Duration>) -> i32 {
    let runs = ledger.runs.borrow();
    let mut text = String::new();
    let (mut served, mut revoked, mut unknown) = (0, 0, 0);
    for Sent {
        attempt,
        key,
        status,
        at,
    } in sent
    {
        let has_run = runs.iter().any(|run| run.attempt == *attempt);
        let is_late = revoked_at.is_some_and(|ack| *at > ack + Duration::from_millis(REVOKE_MS));
        let mut mark = "";
        if has_run && *key == UNKNOWN_KEY {
            unknown += 1;
            mark = "  ROUTE is broken: no manifest ever held this key";
        } else if has_run && is_late {
            revoked += 1;
            mark = "  CONFIG is broken: the key was taken away";
        }
        served += usize::from(*status == 200 && *key != UNKNOWN_KEY && !is_late);
        let has_run = if has_run { "ran" } else { "did not run" };
        let _ = writeln!(
            text,
            "{:8.3} s sent {attempt} with key {key} answered {status}, {has_run}{mark}",
            at.as_secs_f64()
        );
    }
    if let Some(at) = revoked_at {
        let _ = writeln!(
            text,
            "{:8.3} s the manifest that takes all keys away is acknowledged",
            at.as_secs_f64()
        );
    }
    let total = format!(
        "sent {}; run with a key taken away more than {REVOKE_MS} ms before (CONFIG): {revoked}; run with a key that no manifest held (ROUTE): {unknown}",
        sent.len()
    );
    let _ = writeln!(text, "{total}");
    println!("{total}");
    if fs::write(record, text).is_err() || served < 50 {
        return 2;
    }
    i32::from(revoked + unknown > 0)
}
