//! Simulation of the group commit of claims at the design size, against a simulated key-value
//! service.

use std::{collections::BTreeMap, time::Duration};

use celerycrank_requests::{
    CallKey, CallStatus, ClaimAnswer, ClaimLayout, ClaimLedger, ClaimOperation, ClaimOrder,
    ClaimOutput, ClaimReply, ClaimSettings, ClaimantId, OperationId, RecordName, RecordRevision,
    RequestDigest,
};
use celerycrank_types::{BackendId, TimePoint, TimeSpan};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Agents of plain services at the design size: about one in six of 1,200 workers, as today.
const AGENT_COUNT: usize = 190;

/// Range of the key-value service's round-trip time, in microseconds.
const KEY_VALUE_MICROS: std::ops::RangeInclusive<u64> = 2_000..=8_000;

/// Range of the time from a won claim to the call's status, in microseconds.
const CALL_MICROS: std::ops::RangeInclusive<u64> = 5_000..=200_000;

/// Time from a call to the deadline of its claim.
const CLAIM_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Interval at which the ledgers check their timers.
const TICK: TimeSpan = TimeSpan::from_millis(5);

/// Unix time at which the simulation starts, in seconds.
const START_UNIX_SECONDS: u64 = 1_700_000_000;

/// How the agent that receives a keyed call, and claims its key, is selected.
#[derive(Debug, Clone, Copy)]
enum ClaimRouting {
    /// Uniformly at random among all agents.
    Any,
    /// The owner of the key's shard, except for misrouted calls.
    Owner {
        /// Fraction of the calls that reach a random agent.
        misrouted: f64,
    },
}

/// Prints writes, reads, record sizes and claim latencies for each way to route keyed calls.
pub(crate) fn run(seed: u64, span: TimeSpan, rate: u32) {
    println!("seed {seed}, {span} of logical time, {rate} keyed calls/s");
    println!(
        "{:<32} {:>8} {:>7} {:>9} {:>8} {:>7} {:>7} {:>7} {:>6}",
        "routing",
        "writes/s",
        "reads/s",
        "conflicts",
        "record B",
        "p50 ms",
        "p99 ms",
        "won",
        "other"
    );
    let owner = ClaimRouting::Owner { misrouted: 0.0 };
    for (routing, agents, shards) in [
        (ClaimRouting::Any, 3, 16),
        (owner, 3, 16),
        (ClaimRouting::Any, AGENT_COUNT, 16),
        (ClaimRouting::Any, AGENT_COUNT, 64),
        (owner, AGENT_COUNT, 8),
        (owner, AGENT_COUNT, 16),
        (ClaimRouting::Owner { misrouted: 0.05 }, AGENT_COUNT, 16),
        (owner, AGENT_COUNT, 32),
    ] {
        ClaimBench::new(seed, rate, routing, agents, shards).run(span);
    }
}

/// Simulation that measures one row of the table.
#[derive(Debug)]
struct ClaimBench {
    random: ChaCha8Rng,
    rate: f64,
    routing: ClaimRouting,
    layout: ClaimLayout,
    backends: Vec<BackendId>,
    now: TimePoint,
    ledgers: Vec<ClaimLedger>,
    queue: BTreeMap<(TimePoint, u64), BenchEvent>,
    sequence: u64,
    records: BTreeMap<RecordName, (RecordRevision, Vec<u8>)>,
    revision: u64,
    calls: BTreeMap<ClaimantId, PendingCall>,
    wait_histogram: Histogram<u64>,
    counts: ClaimCounts,
}

#[derive(Debug, Default)]
struct ClaimCounts {
    writes: u64,
    reads: u64,
    conflicts: u64,
    largest_record: usize,
    won: u64,
    other: u64,
}

#[derive(Debug, Clone, Copy)]
struct PendingCall {
    ledger: usize,
    key: CallKey,
    claimed_at: TimePoint,
}

#[derive(Debug)]
enum BenchEvent {
    Call(u64),
    Tick,
    Service(usize, ClaimOperation),
    Reply(usize, OperationId, ClaimReply),
    Finish(ClaimantId),
}

impl ClaimBench {
    fn new(seed: u64, rate: u32, routing: ClaimRouting, agents: usize, shards: u16) -> Self {
        let layout = ClaimLayout::builder().shards(shards).build();
        let settings = ClaimSettings::builder().layout(layout).build();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let ledgers = (0..agents).map(|_| ClaimLedger::new(settings, random.random()));
        let ledgers = ledgers.collect();
        let name = |index| format!("ledger-{index}").parse();
        let backends = (0..agents).map(|index| name(index).expect("a plain name is an id"));
        Self {
            random,
            rate: f64::from(rate),
            routing,
            layout,
            backends: backends.collect(),
            now: TimePoint::default(),
            ledgers,
            queue: BTreeMap::new(),
            sequence: 0,
            records: BTreeMap::new(),
            revision: 0,
            calls: BTreeMap::new(),
            wait_histogram: Histogram::new_with_bounds(1, CLAIM_TIMEOUT.0, 3)
                .expect("the bounds and three digits are valid"),
            counts: ClaimCounts::default(),
        }
    }

    fn run(mut self, span: TimeSpan) {
        self.schedule(TimeSpan::ZERO, BenchEvent::Call(0));
        self.schedule(TICK, BenchEvent::Tick);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            if at.since(TimePoint::default()) > span {
                break;
            }
            self.handle_event(event);
        }
        self.print_row(span);
    }

    fn print_row(&self, span: TimeSpan) {
        let seconds = span.as_secs_f64();
        let routing = match self.routing {
            ClaimRouting::Any => "any".to_owned(),
            ClaimRouting::Owner { misrouted } => format!("owner, {:.0}% stray", misrouted * 100.0),
        };
        let agents = self.backends.len();
        let name = format!("{routing}: {agents} agents, {} shards", self.layout.shards);
        println!(
            "{name:<32} {:>8.0} {:>7.0} {:>9} {:>8} {:>7.1} {:>7.1} {:>7} {:>6}",
            self.counts.writes as f64 / seconds,
            self.counts.reads as f64 / seconds,
            self.counts.conflicts,
            self.counts.largest_record,
            self.wait_histogram.value_at_quantile(0.5) as f64 / 1_000.0,
            self.wait_histogram.value_at_quantile(0.99) as f64 / 1_000.0,
            self.counts.won,
            self.counts.other,
        );
    }

    fn schedule(&mut self, delay: TimeSpan, event: BenchEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn handle_event(&mut self, event: BenchEvent) {
        match event {
            BenchEvent::Call(number) => self.call(number),
            BenchEvent::Tick => {
                for index in 0..self.ledgers.len() {
                    let outputs = self.ledgers[index].tick(self.now);
                    self.apply_outputs(index, outputs);
                }
                self.schedule(TICK, BenchEvent::Tick);
            }
            BenchEvent::Service(index, operation) => self.execute(index, operation),
            BenchEvent::Reply(index, operation, reply) => {
                let outputs = self.ledgers[index].handle(operation, reply, self.now);
                self.apply_outputs(index, outputs);
            }
            BenchEvent::Finish(claimant) => {
                let call = self.calls[&claimant];
                let status = CallStatus(201);
                let outputs =
                    self.ledgers[call.ledger].record_status(call.key, claimant, status, self.now);
                self.apply_outputs(call.ledger, outputs);
            }
        }
    }

    fn call(&mut self, number: u64) {
        // Interarrival times are exponential, since calls of many callers arrive independently.
        let gap = -(1.0 - self.random.random::<f64>()).ln();
        let delay = TimeSpan::from(Duration::from_secs_f64(gap / self.rate));
        self.schedule(delay, BenchEvent::Call(number + 1));
        let seconds = START_UNIX_SECONDS + self.now.0 / 1_000_000;
        let account = "account".parse().expect("a plain name is an id");
        let service = "ledger".parse().expect("a plain name is an id");
        let key = CallKey::parse(&account, &service, &format!("{seconds}-{number}"))
            .expect("the key starts with its time");
        let claimant = ClaimantId::from(self.random.random::<u64>());
        let ledger = self.route(&key);
        let call = PendingCall {
            ledger,
            key,
            claimed_at: self.now,
        };
        self.calls.insert(claimant, call);
        let order = ClaimOrder::builder()
            .key(key)
            .request(RequestDigest::of("POST", "/confirmations", &[]))
            .claimant(claimant)
            .deadline(self.now + CLAIM_TIMEOUT)
            .build();
        let outputs = self.ledgers[ledger].claim(order, self.now);
        self.apply_outputs(ledger, outputs);
    }

    fn route(&mut self, key: &CallKey) -> usize {
        let any = self.random.random_range(0..self.backends.len());
        match self.routing {
            ClaimRouting::Owner { misrouted } if !self.random.random_bool(misrouted) => {
                let owner = self.layout.owner(key, &self.backends);
                let index = self
                    .backends
                    .iter()
                    .position(|backend| Some(backend) == owner);
                index.unwrap_or(any)
            }
            ClaimRouting::Any | ClaimRouting::Owner { .. } => any,
        }
    }

    fn apply_outputs(&mut self, index: usize, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Operation(operation) => {
                    let delay = TimeSpan(self.random.random_range(KEY_VALUE_MICROS) / 2);
                    self.schedule(delay, BenchEvent::Service(index, operation));
                }
                ClaimOutput::Answer(claimant, ClaimAnswer::Won) => {
                    self.counts.won += 1;
                    let wait = self.now.since(self.calls[&claimant].claimed_at);
                    self.wait_histogram.saturating_record(wait.0);
                    let delay = TimeSpan(self.random.random_range(CALL_MICROS));
                    self.schedule(delay, BenchEvent::Finish(claimant));
                }
                ClaimOutput::Answer(..) => self.counts.other += 1,
            }
        }
    }

    fn execute(&mut self, index: usize, operation: ClaimOperation) {
        let (operation, reply) = match operation {
            ClaimOperation::Get { operation, record } => {
                self.counts.reads += 1;
                (operation, self.read(record))
            }
            ClaimOperation::Swap {
                operation,
                record,
                expected,
                value,
            } => (operation, self.swap(record, expected, value)),
        };
        let delay = TimeSpan(self.random.random_range(KEY_VALUE_MICROS) / 2);
        self.schedule(delay, BenchEvent::Reply(index, operation, reply));
    }

    fn read(&self, record: RecordName) -> ClaimReply {
        let found = self.records.get(&record);
        ClaimReply::Value {
            revision: found.map_or(RecordRevision::default(), |(revision, _)| *revision),
            value: found.map(|(_, value)| value.clone()),
        }
    }

    fn swap(&mut self, record: RecordName, expected: RecordRevision, value: Vec<u8>) -> ClaimReply {
        self.counts.writes += 1;
        let revision = self
            .records
            .get(&record)
            .map_or(RecordRevision::default(), |(revision, _)| *revision);
        if revision != expected {
            self.counts.conflicts += 1;
            return self.read(record);
        }
        self.counts.largest_record = self.counts.largest_record.max(value.len());
        self.revision += 1;
        self.records
            .insert(record, (RecordRevision(self.revision), value));
        ClaimReply::Swapped(RecordRevision(self.revision))
    }
}
