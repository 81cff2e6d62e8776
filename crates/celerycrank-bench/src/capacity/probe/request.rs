//! Cost of one request in the decision logic of its entry and its agent.

use std::hint::black_box;

use celerycrank_config::PriorityClass;
use celerycrank_requests::{
    AttemptEvent, AttemptId, AttemptLedger, AttemptLedgerSettings, CallKind,
};
use celerycrank_routing::{
    BackendCondition, BackendRouter, BackendSpec, PromptPrefix, RouteQuery, RouterSettings,
};
use celerycrank_shares::{FairQueue, QueueRequest, QueueSettings};
use celerycrank_types::{Incarnation, RequestId, ShareWeight, TimePoint, TimeSpan, TokenCount};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stats_alloc::Region;

use super::{ALLOCATOR, domain, live_bytes, median_micros, sweep};
use crate::capacity::slope::{ProbePoint, ProbeSweep};

/// Operations per measured batch, since a single one is shorter than the clock resolution.
const OPERATIONS_PER_BATCH: usize = 200;

/// Measures one routing decision of an entry; the size counts workers.
pub(crate) fn router_sweep(repeats: usize) -> ProbeSweep {
    let sizes = [100, 300, 600, 1_200];
    sweep("one routing decision; x counts workers", &sizes, |size| {
        let region = Region::new(ALLOCATOR);
        let settings = RouterSettings::builder().domain(domain(0)).build();
        let mut router = BackendRouter::new(settings);
        for number in 0..size {
            router.set_backend(BackendSpec {
                backend: format!("backend-{number}").parse().expect("a valid id"),
                domain: domain(number % 14),
                concurrency: 16,
                condition: BackendCondition::Ready {
                    since: TimePoint::default(),
                },
            });
        }
        let memory_bytes = live_bytes(&region);
        let prompts = (0..OPERATIONS_PER_BATCH).map(prompt).collect::<Vec<_>>();
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let now = TimePoint::default() + TimeSpan::from_secs(100);
        let cpu_micros = median_micros(repeats, || {
            for prefix in &prompts {
                let query = RouteQuery { prefix, tried: &[] };
                if let Some(choice) = router.choose(now, &query, &mut random) {
                    router.note_sent(&choice.backend, prefix);
                    router.note_finished(&choice.backend);
                }
            }
        });
        let cpu_micros = cpu_micros / OPERATIONS_PER_BATCH as f64;
        ProbePoint {
            size: size as f64,
            cpu_micros,
            memory_bytes,
            wire_bytes: 0.0,
        }
    })
}

/// Measures pushing a request onto an agent's fair queue and removing it again; the size counts
/// waiting accounts.
pub(crate) fn queue_sweep(repeats: usize) -> ProbeSweep {
    let sizes = [10, 100, 340, 680];
    sweep(
        "one request through the fair queue; x counts waiting accounts",
        &sizes,
        |size| {
            let capacity = u32::try_from(size * 2).expect("sizes are small");
            let settings = QueueSettings::builder()
                .concurrency(1)
                .capacity(capacity)
                .build();
            let region = Region::new(ALLOCATOR);
            let mut queue = FairQueue::new(settings);
            let now = TimePoint::default();
            for number in 0..=size {
                // A refused push only makes the queue shorter than its nominal size.
                black_box(queue.push(now, &request(number, number)).is_ok());
            }
            black_box(queue.advance(now));
            let memory_bytes = live_bytes(&region);
            let mut next = size + 1;
            let cpu_micros = median_micros(repeats, || {
                for _ in 0..OPERATIONS_PER_BATCH {
                    let id = RequestId(next as u128);
                    black_box(queue.push(now, &request(next, next % size)).is_ok());
                    black_box(queue.remove(id));
                    next += 1;
                }
            });
            let cpu_micros = cpu_micros / OPERATIONS_PER_BATCH as f64;
            ProbePoint {
                size: size as f64,
                cpu_micros,
                memory_bytes,
                wire_bytes: 0.0,
            }
        },
    )
}

/// Measures one attempt through an agent's attempt ledger; the size counts recorded attempts.
pub(crate) fn ledger_sweep(repeats: usize) -> ProbeSweep {
    let sizes = [100, 1_000, 5_000, 20_000];
    sweep(
        "one attempt through the start ledger; x counts known attempts",
        &sizes,
        |size| {
            let region = Region::new(ALLOCATOR);
            let mut ledger = AttemptLedger::new(Incarnation(1), AttemptLedgerSettings::default());
            for number in 0..size {
                run_attempt(&mut ledger, number);
            }
            let memory_bytes = live_bytes(&region);
            let mut next = size;
            let cpu_micros = median_micros(repeats, || {
                for _ in 0..OPERATIONS_PER_BATCH {
                    run_attempt(&mut ledger, next);
                    next += 1;
                }
            });
            let cpu_micros = cpu_micros / OPERATIONS_PER_BATCH as f64;
            ProbePoint {
                size: size as f64,
                cpu_micros,
                memory_bytes,
                wire_bytes: 0.0,
            }
        },
    )
}

fn run_attempt(ledger: &mut AttemptLedger, number: usize) {
    let attempt = AttemptId {
        request: RequestId(number as u128),
        number: 1,
    };
    let now = TimePoint::default();
    let arrival = AttemptEvent::Arrived {
        incarnation: Incarnation(1),
        deadline: now + TimeSpan::from_secs(1),
        call: CallKind::Plain,
    };
    for event in [
        arrival,
        AttemptEvent::SlotFree,
        AttemptEvent::Finished(None),
    ] {
        black_box(ledger.handle(attempt, event, now));
    }
}

fn prompt(number: usize) -> PromptPrefix {
    let text = format!("instructions of kind {} {}", number % 8, "x".repeat(512));
    PromptPrefix::of_text(text.as_bytes()).with_conversation(number.to_string().as_bytes())
}

fn request(number: usize, account: usize) -> QueueRequest {
    QueueRequest::builder()
        .id(RequestId(number as u128))
        .account(format!("account-{account}").parse().expect("a valid id"))
        .weight(ShareWeight::ONE)
        .class(PriorityClass::Normal)
        .cost(TokenCount(100))
        .start_by(TimePoint::default() + TimeSpan::from_secs(1_000))
        .build()
}
