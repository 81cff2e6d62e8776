//! Group commit of claims at the design size, in logical time against a fake service.

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

/// Agents of plain services at the design size, as today's one in six of 1,200 workers.
const AGENTS: usize = 190;

/// Bounds of the service's answer time, in microseconds.
const SERVICE_MICROS: std::ops::RangeInclusive<u64> = 2_000..=8_000;

/// Time from claim to recorded status, in microseconds.
const CALL_MICROS: std::ops::RangeInclusive<u64> = 5_000..=200_000;

/// Longest wait for a claim.
const PATIENCE: TimeSpan = TimeSpan::from_secs(2);

/// How often the ledgers look at their timers.
const TICK: TimeSpan = TimeSpan::from_millis(5);

/// Seconds since 1970 at which the measurement begins.
const CALENDAR_ORIGIN_SECONDS: u64 = 1_700_000_000;

/// Which agent a keyed call is sent to, and so claims its key.
#[derive(Debug, Clone, Copy)]
enum ClaimRouting {
    /// Any of them, evenly.
    Any,
    /// The owner of the key's shard, except for this part of the calls.
    Owner {
        /// Part of the calls that reach any agent.
        stray: f64,
    },
}

/// Prints writes, reads, record sizes and waits for each way to route keyed calls.
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
    let owner = ClaimRouting::Owner { stray: 0.0 };
    for (routing, agents, shards) in [
        (ClaimRouting::Any, 3, 16),
        (owner, 3, 16),
        (ClaimRouting::Any, AGENTS, 16),
        (ClaimRouting::Any, AGENTS, 64),
        (owner, AGENTS, 8),
        (owner, AGENTS, 16),
        (ClaimRouting::Owner { stray: 0.05 }, AGENTS, 16),
        (owner, AGENTS, 32),
    ] {
        ClaimBench::new(seed, rate, routing, agents, shards).run(span);
    }
}

/// One row of the table.
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
    calls: BTreeMap<ClaimantId, BenchCall>,
    waits: Histogram<u64>,
    counts: BenchCounts,
}

#[derive(Debug, Default)]
struct BenchCounts {
    writes: u64,
    reads: u64,
    conflicts: u64,
    largest: usize,
    won: u64,
    other: u64,
}

#[derive(Debug, Clone, Copy)]
struct BenchCall {
    ledger: usize,
    key: CallKey,
    since: TimePoint,
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
            waits: Histogram::new_with_bounds(1, PATIENCE.0, 3)
                .expect("the bounds and three digits are valid"),
            counts: BenchCounts::default(),
        }
    }

    fn run(mut self, span: TimeSpan) {
        self.plan(TimeSpan::ZERO, BenchEvent::Call(0));
        self.plan(TICK, BenchEvent::Tick);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            if at.since(TimePoint::default()) > span {
                break;
            }
            self.happen(event);
        }
        self.print(span);
    }

    fn print(&self, span: TimeSpan) {
        let seconds = span.as_secs_f64();
        let routing = match self.routing {
            ClaimRouting::Any => "any".to_owned(),
            ClaimRouting::Owner { stray } => format!("owner, {:.0}% stray", stray * 100.0),
        };
        let agents = self.backends.len();
        let name = format!("{routing}: {agents} agents, {} shards", self.layout.shards);
        println!(
            "{name:<32} {:>8.0} {:>7.0} {:>9} {:>8} {:>7.1} {:>7.1} {:>7} {:>6}",
            self.counts.writes as f64 / seconds,
            self.counts.reads as f64 / seconds,
            self.counts.conflicts,
            self.counts.largest,
            self.waits.value_at_quantile(0.5) as f64 / 1_000.0,
            self.waits.value_at_quantile(0.99) as f64 / 1_000.0,
            self.counts.won,
            self.counts.other,
        );
    }

    fn plan(&mut self, delay: TimeSpan, event: BenchEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn happen(&mut self, event: BenchEvent) {
        match event {
            BenchEvent::Call(number) => self.call(number),
            BenchEvent::Tick => {
                for index in 0..self.ledgers.len() {
                    let outputs = self.ledgers[index].tick(self.now);
                    self.take(index, outputs);
                }
                self.plan(TICK, BenchEvent::Tick);
            }
            BenchEvent::Service(index, operation) => self.serve(index, operation),
            BenchEvent::Reply(index, operation, reply) => {
                let outputs = self.ledgers[index].handle(operation, reply, self.now);
                self.take(index, outputs);
            }
            BenchEvent::Finish(claimant) => {
                let call = self.calls[&claimant];
                let status = CallStatus(201);
                let outputs =
                    self.ledgers[call.ledger].record_status(call.key, claimant, status, self.now);
                self.take(call.ledger, outputs);
            }
        }
    }

    fn call(&mut self, number: u64) {
        // Exponential gaps: calls of many callers arrive independently.
        let gap = -(1.0 - self.random.random::<f64>()).ln();
        let delay = TimeSpan::from(Duration::from_secs_f64(gap / self.rate));
        self.plan(delay, BenchEvent::Call(number + 1));
        let seconds = CALENDAR_ORIGIN_SECONDS + self.now.0 / 1_000_000;
        let account = "account".parse().expect("a plain name is an id");
        let service = "ledger".parse().expect("a plain name is an id");
        let key = CallKey::parse(&account, &service, &format!("{seconds}-{number}"))
            .expect("the key tells its time");
        let claimant = ClaimantId::from(self.random.random::<u64>());
        let ledger = self.route(&key);
        let call = BenchCall {
            ledger,
            key,
            since: self.now,
        };
        self.calls.insert(claimant, call);
        let order = ClaimOrder::builder()
            .key(key)
            .request(RequestDigest::of("POST", "/confirmations", &[]))
            .claimant(claimant)
            .deadline(self.now + PATIENCE)
            .build();
        let outputs = self.ledgers[ledger].claim(order, self.now);
        self.take(ledger, outputs);
    }

    fn route(&mut self, key: &CallKey) -> usize {
        let any = self.random.random_range(0..self.backends.len());
        match self.routing {
            ClaimRouting::Owner { stray } if !self.random.random_bool(stray) => {
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

    fn take(&mut self, index: usize, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Operation(operation) => {
                    let delay = TimeSpan(self.random.random_range(SERVICE_MICROS) / 2);
                    self.plan(delay, BenchEvent::Service(index, operation));
                }
                ClaimOutput::Answer(claimant, ClaimAnswer::Won) => {
                    self.counts.won += 1;
                    let wait = self.now.since(self.calls[&claimant].since);
                    self.waits.saturating_record(wait.0);
                    let delay = TimeSpan(self.random.random_range(CALL_MICROS));
                    self.plan(delay, BenchEvent::Finish(claimant));
                }
                ClaimOutput::Answer(..) => self.counts.other += 1,
            }
        }
    }

    fn serve(&mut self, index: usize, operation: ClaimOperation) {
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
        let delay = TimeSpan(self.random.random_range(SERVICE_MICROS) / 2);
        self.plan(delay, BenchEvent::Reply(index, operation, reply));
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
        self.counts.largest = self.counts.largest.max(value.len());
        self.revision += 1;
        self.records
            .insert(record, (RecordRevision(self.revision), value));
        ClaimReply::Swapped(RecordRevision(self.revision))
    }
}
