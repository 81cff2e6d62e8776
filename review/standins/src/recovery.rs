//! A final fault, after which the system has to recover: after two crashes of workers, with a part of
//! the prompt that all requests share; or with workers that come back with other weights.

use std::{cell::RefCell, fmt::Write, fs, rc::Rc, time::Duration};

use actix_rt::time::{Instant, sleep};
use celerycrank_platform_standin::StoreStandin;

use crate::{
    client::{Channel, ClientRequest, Outcome},
    deployment::{Entry, Folder, Route, manifest_of, service_of},
    engine::Engine,
    worker::{LateBytes, Ledger, Worker},
};

const MODEL_SERVICE: &str = "redator";
const PLAIN_SERVICE: &str = "sala-leilao";

/// One of six workers crashes at a time: a share of 0.167.
const ENGINES: usize = 6;
const CRASHES_AT: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(15)];

/// How long a crashed worker is down, and after which part of it its entry is removed from the store:
/// three check-in intervals of 1.2 s.
const DOWN: Duration = Duration::from_millis(4_500);
const SILENCE: Duration = Duration::from_millis(3_600);

/// The final fault: all processes are killed, and start again after this time.
const FINAL_FAULT_AT: Duration = Duration::from_secs(30);
const RESTART_DELAY: Duration = Duration::from_millis(700);

const RECOVER: Duration = Duration::from_secs(12);
const END: Duration = Duration::from_secs(75);

/// 77 requests a second, of which one in nine goes to the plain service, about as on the site's sheet.
const INTERVAL: Duration = Duration::from_millis(13);
const ONE_IN_PLAIN: u64 = 9;

/// The part of the prompt that all requests share, such as the house's instructions to the model.
const SHARED_PART: &str = "5c1e07a2:40";

/// One in 19 requests names the version of the weights that its client began with.
const ONE_IN_PINNED: u64 = 19;

/// What happens besides the final fault.
#[derive(Clone, Copy, PartialEq)]
pub enum Besides {
    /// Two workers crash before it, one after the other; it kills all entries.
    Crashes,
    /// It takes the power of all machines, and the workers come back with weights of version 2.
    NewWeights,
}

struct Sent {
    line: String,
    at: Duration,
    is_served: bool,
}

pub async fn run(besides: Besides, has_trouble: bool, record: &str) -> i32 {
    let folder = Folder::new();
    let store = StoreStandin::start().await;
    let ledger = Ledger::new();
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let engine = Engine::start(&format!("i-{index}"), 1, &ledger).await;
        store.put(
            &engine.key(),
            &engine.registration(MODEL_SERVICE, 1_790_000_000_000),
        );
        engines.push(engine);
    }
    for index in 0..3 {
        let worker = Worker::start(
            &format!("p-{index}"),
            &ledger,
            Duration::from_millis(30),
            LateBytes::default(),
        )
        .await;
        store.put(&worker.key(), &worker.registration(PLAIN_SERVICE));
    }
    let routes = [
        (
            MODEL_SERVICE,
            Route {
                prefix: "/veio-consulta/",
                kind: "streaming",
                max_attempts: 2,
                timeout_ms: 8_000,
            },
        ),
        (
            PLAIN_SERVICE,
            Route {
                prefix: "/catalogo-leitura/",
                kind: "idempotent",
                max_attempts: 2,
                timeout_ms: 2_500,
            },
        ),
    ];
    let services = [service_of(MODEL_SERVICE), service_of(PLAIN_SERVICE)];
    store.put("op/config", &manifest_of(5, &services, &routes));
    let mut entries =
        ["edge-1", "edge-2"].map(|name| Entry::start(name, store.address(), &folder.0));
    for entry in &entries {
        if !entry.wait_ready().await {
            return 2;
        }
    }
    let start = Instant::now();
    let addresses = [entries[0].listen, entries[1].listen];
    let sent = Rc::new(RefCell::new(Vec::new()));
    let (collected, clock) = (Rc::clone(&sent), start);
    let traffic = actix_rt::spawn(async move {
        let mut number = 0;
        while clock.elapsed() < END {
            let address = addresses[usize::try_from(number % 2).expect("0 or 1")];
            let collected = Rc::clone(&collected);
            actix_rt::spawn(async move {
                let at = clock.elapsed();
                let (outcome, line) = ask(address, number, besides).await;
                let is_served = matches!(
                    &outcome,
                    Outcome::Answered {
                        status: 200,
                        seal: Some(_),
                        ..
                    }
                );
                let took = (clock.elapsed() - at).as_millis();
                let line = format!(
                    "{:8.3} s {line}: {} after {took} ms",
                    at.as_secs_f64(),
                    describe(&outcome)
                );
                collected.borrow_mut().push(Sent {
                    line,
                    at,
                    is_served,
                });
            });
            number += 1;
            sleep(INTERVAL).await;
        }
    });
    let mut notes = Vec::new();
    if has_trouble {
        let crashes_at = if besides == Besides::Crashes {
            &CRASHES_AT[..]
        } else {
            &[]
        };
        for (index, at) in crashes_at.iter().enumerate() {
            sleep(at.saturating_sub(start.elapsed())).await;
            engines[index].crash();
            notes.push(format!(
                "{:8.3} s worker {} crashes",
                start.elapsed().as_secs_f64(),
                engines[index].name
            ));
            sleep(SILENCE).await;
            store.remove(&engines[index].key());
            sleep(DOWN - SILENCE).await;
            engines[index] = Engine::start(&format!("i-{}", ENGINES + index), 1, &ledger).await;
            let registration = engines[index].registration(MODEL_SERVICE, 1_790_000_100_000);
            store.put(&engines[index].key(), &registration);
        }
        sleep(FINAL_FAULT_AT.saturating_sub(start.elapsed())).await;
        for entry in &entries {
            entry.signal("KILL");
        }
        notes.push(format!(
            "{:8.3} s the final fault: all entries are gone",
            start.elapsed().as_secs_f64()
        ));
        if besides == Besides::NewWeights {
            engines.iter().for_each(Engine::crash);
        }
        sleep(RESTART_DELAY).await;
        if besides == Besides::NewWeights {
            for index in 0..ENGINES {
                let engine = Engine::start(&format!("n-{index}"), 2, &ledger).await;
                store.put(
                    &engine.key(),
                    &engine.registration(MODEL_SERVICE, 1_790_000_100_000),
                );
                store.remove(&engines[index].key());
                engines[index] = engine;
            }
            notes.push(format!(
                "{:8.3} s all workers are back, with weights of version 2",
                start.elapsed().as_secs_f64()
            ));
        }
        for entry in &mut entries {
            entry.start_again();
        }
        for entry in &entries {
            if !entry.wait_ready().await {
                return 2;
            }
        }
        notes.push(format!(
            "{:8.3} s all entries are back and ready",
            start.elapsed().as_secs_f64()
        ));
    }
    let back_at = if has_trouble {
        start.elapsed()
    } else {
        FINAL_FAULT_AT
    };
    let _ = traffic.await;
    sleep(Duration::from_secs(9)).await;
    report(record, &sent.borrow(), &notes, back_at)
}

async fn ask(address: std::net::SocketAddr, number: u64, besides: Besides) -> (Outcome, String) {
    let attempt = format!("a{number}");
    let is_plain = number % ONE_IN_PLAIN == ONE_IN_PLAIN - 1;
    let (method, path, limit, extra) = if is_plain {
        ("GET", "/catalogo-leitura/lote", 2_500, String::new())
    } else {
        let own = format!("{:x}", 0xe440_0000_u64 + number);
        let mut extra = format!(
            "Model: m\r\nToken-Count: 1000,156\r\nPrefix-Hash: {SHARED_PART},{own}:960\r\n"
        );
        if besides == Besides::NewWeights && number % ONE_IN_PINNED == 0 {
            extra.push_str("Expect-Version: 1\r\n");
        }
        ("POST", "/veio-consulta/lote", 8_000, extra)
    };
    let pin = if extra.contains("Expect-Version") {
        " with Expect-Version: 1"
    } else {
        ""
    };
    let line = format!("{method} {path} {attempt}{pin}");
    let Some(mut channel) = Channel::open(address).await else {
        return (Outcome::Ended(0), line);
    };
    let body: &[u8] = if is_plain { b"" } else { b"{\"question\":1}" };
    let limit = Duration::from_millis(limit);
    let request = ClientRequest {
        method,
        path,
        attempt: &attempt,
        limit,
        body,
        extra: &extra,
    };
    (channel.ask(&request).await, line)
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered {
            status,
            retry_after: Some(span),
            ..
        } => format!("{status}, come back after {span} s"),
        Outcome::Answered { status, .. } => status.to_string(),
        Outcome::Ended(_) => "the channel ended".into(),
        Outcome::TimedOut => "no answer".into(),
    }
}

fn report(record: &str, sent: &[Sent], notes: &[String], back_at: Duration) -> i32 {
    let share = |from: Duration, until: Duration| {
        let within = sent.iter().filter(|it| it.at >= from && it.at < until);
        let (served, all) = within.fold((0_u32, 0_u32), |(served, all), it| {
            (served + u32::from(it.is_served), all + 1)
        });
        (served, all, f64::from(served) / f64::from(all.max(1)))
    };
    let before = share(Duration::ZERO, FINAL_FAULT_AT);
    let after = share(back_at + RECOVER, END);
    let mut lines = sent
        .iter()
        .map(|it| it.line.clone())
        .chain(notes.iter().cloned())
        .collect::<Vec<_>>();
    lines.sort();
    let mut text = lines.join("\n");
    let total = format!(
        "before the final fault {} of {} served ({:.3}); later than 12 s after the machines are back {} of {} served ({:.3})",
        before.0, before.1, before.2, after.0, after.1, after.2
    );
    let _ = writeln!(text, "\n{total}");
    println!("{total}");
    if fs::write(record, text).is_err() || before.2 < 0.25 || after.1 < 100 {
        return 2;
    }
    i32::from(after.2 < 0.25)
}
