//! The plan of a run: its calls and its faults.

use celerycrank_types::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    caller::{CallPlan, CallRule, KeyNumber},
    entry::ACCOUNTS,
    fault::{AgentIndex, EntryIndex, Fault, FaultRates, PlannedFault},
};

/// Latest time at which callers send new calls, in microseconds.
const TRAFFIC_MICROS: u64 = 6_000_000;

/// Lengths of the period in which callers send, in microseconds; shorter periods fill the queues.
const BURST_MICROS: [u64; 3] = [200_000, 1_000_000, TRAFFIC_MICROS];

/// Range of the duration of a short fault, in microseconds.
const SHORT_FAULT_MICROS: std::ops::Range<u64> = 1_000..100_000;

/// Range of the duration of a long fault, in microseconds.
const LONG_FAULT_MICROS: std::ops::Range<u64> = 100_000..4_000_000;

/// When the random faults end.
const FAULTS_END_AT: TimePoint = TimePoint(10_000_000);

/// Mask for a run's seed, so that its plan and its scheduler use different random sequences.
const PLAN_SEED_MASK: u64 = 0x5EED_0F91_A500_0000;

/// The plan of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Requests credited to each retry budget before the run.
    pub prior_requests: u32,
    /// The calls of the run.
    pub calls: Vec<CallPlan>,
    /// The planned faults of the run.
    pub faults: Vec<PlannedFault>,
    /// Probabilities of random faults per message.
    pub rates: FaultRates,
    /// When the random faults end.
    pub faults_end_at: TimePoint,
}

impl ModelPlan {
    /// Draws the plan of a seed.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let random = &mut ChaCha8Rng::seed_from_u64(seed ^ PLAN_SEED_MASK);
        let entries = random.random_range(1..=3);
        let agents = random.random_range(1..=3);
        let span = BURST_MICROS[random.random_range(0..BURST_MICROS.len())];
        let calls = (0..random.random_range(5..60))
            .map(|_| draw_call(entries, span, random))
            .collect();
        let faults = (0..random.random_range(0..8))
            .map(|_| PlannedFault {
                at: TimePoint(random.random_range(0..span + span / 2)),
                fault: draw_fault(entries, agents, random),
            })
            .collect();
        let scale = [0.0, 0.02, 0.1, 0.4][random.random_range(0..4)];
        Self {
            entries,
            agents,
            prior_requests: random.random_range(0..300),
            calls,
            faults,
            rates: FaultRates {
                loss: scale * random.random::<f64>(),
                double: scale * random.random::<f64>(),
                late: scale * random.random::<f64>(),
                misroute: scale * random.random::<f64>(),
            },
            faults_end_at: FAULTS_END_AT,
        }
    }
}

fn draw_call(entries: usize, span: u64, random: &mut ChaCha8Rng) -> CallPlan {
    let at = TimePoint(random.random_range(0..span));
    // With few keys, several callers send calls with the same key.
    let key = KeyNumber(random.random_range(0..8));
    let rule = match random.random_range(0..4) {
        0 => CallRule::Once,
        1 => CallRule::Repeatable,
        _ => CallRule::Keyed(key),
    };
    let leaves = random
        .random_bool(0.05)
        .then(|| at + TimeSpan(random.random_range(0..500_000)));
    CallPlan {
        at,
        entry: EntryIndex(random.random_range(0..entries)),
        account: key.0 as usize % ACCOUNTS,
        rule,
        key_time: TimePoint(u64::from(key.0) * 1_000_000),
        length: random.random_range(0..120),
        deadline: TimeSpan(random.random_range(50_000..2_000_000)),
        resends: random.random_range(0..3),
        leaves,
    }
}

fn draw_fault(entries: usize, agents: usize, random: &mut ChaCha8Rng) -> Fault {
    let entry = EntryIndex(random.random_range(0..entries));
    let agent = AgentIndex(random.random_range(0..agents));
    let spans = if random.random_bool(0.5) {
        SHORT_FAULT_MICROS
    } else {
        LONG_FAULT_MICROS
    };
    let span = TimeSpan(random.random_range(spans));
    match random.random_range(0..15) {
        0 | 1 => Fault::KillEntry(entry, span),
        2 | 3 => Fault::KillAgent(agent, span),
        4..=7 => Fault::FreezeAgent(agent, span),
        8 | 9 => Fault::ClockForward(agent, span),
        10 | 11 => Fault::ClockBack(agent, span),
        12 => Fault::Leave(agent),
        _ => Fault::KeyValueOutage(span),
    }
}
