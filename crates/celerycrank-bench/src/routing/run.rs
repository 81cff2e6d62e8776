//! Discrete-event simulation of a trace under one routing policy.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use celerycrank_routing::CacheEvent;
use celerycrank_types::TimeSpan;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    engine::{Engine, TOKEN_SECONDS},
    policy::{EntryPolicy, PolicyKind},
    trace::{TraceRequest, exponential},
};

/// Time from the departure of a worker to its return, in seconds.
const WORKER_ABSENCE_SECONDS: f64 = 10.0;

/// Interval between departures of workers, in seconds.
const DEPARTURE_INTERVAL_SECONDS: f64 = 20.0;

/// Mean delay of a cache event, in seconds.
const EVENT_DELAY_SECONDS: f64 = 1.0;

/// Fraction of the cache events that are lost.
const EVENT_LOSS_RATE: f64 = 0.2;

/// One-way network delay between an entry and an agent, in seconds.
const NETWORK_DELAY_SECONDS: f64 = 0.000_5;

/// Interval between the load reports of a worker to all entries, in seconds.
const REPORT_INTERVAL_SECONDS: f64 = 0.2;

/// Fraction of the trace that warms up the caches and is not measured.
const WARM_UP: f64 = 0.25;

/// Upper bound of the time-to-first-token histogram, in milliseconds.
const MAX_DELAY_MILLIS: u64 = 600_000;

const MICROS_PER_MILLI: u64 = 1_000;

/// Results of a policy on a trace.
#[derive(Debug)]
pub(super) struct PolicyResult {
    /// Fraction of the prompt blocks that were found in a cache.
    pub(super) hit_rate: f64,
    /// Number of prompt blocks that were not found in a cache.
    pub(super) read_blocks: u64,
    /// Fraction of the requests whose first token met the target.
    pub(super) in_time: f64,
    /// Median time to first token, in milliseconds.
    pub(super) p50: u64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub(super) p99: u64,
    /// Fraction of the open conversations on remaining workers that moved when a worker left.
    pub(super) moved: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum RunEvent {
    Arrival(usize),
    Delivery {
        request: usize,
        worker: usize,
    },
    FirstToken {
        request: usize,
        worker: usize,
    },
    Finish {
        request: usize,
        worker: usize,
    },
    CacheUpdate {
        entry: usize,
        worker: usize,
        event: CacheEvent,
    },
    Departure,
    Rejoin(usize),
    LoadReports,
}

/// Simulation of one policy.
#[derive(Debug)]
pub(super) struct PolicyRun<'a> {
    trace: &'a [TraceRequest],
    entries: Vec<EntryPolicy>,
    engines: Vec<Engine>,
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled_events: BTreeMap<u64, RunEvent>,
    next_event_number: u64,
    rng: ChaCha8Rng,
    measured_from: f64,
    has_load_reports: bool,
    /// Latest request of each conversation that may continue.
    open_conversations: BTreeMap<u64, usize>,
    blocks: u64,
    cached: u64,
    in_time: u64,
    first_token_delays: Histogram<u64>,
    compared_choices: u64,
    moved: u64,
}

impl<'a> PolicyRun<'a> {
    pub(super) fn new(
        kind: PolicyKind,
        trace: &'a [TraceRequest],
        workers: usize,
        entries: usize,
        seed: u64,
    ) -> Self {
        let seconds = trace.last().map_or(0.0, |request| request.arrival);
        Self {
            trace,
            entries: (0..entries)
                .map(|entry| EntryPolicy::new(kind, workers, entry, entries))
                .collect(),
            engines: (0..workers).map(|_| Engine::default()).collect(),
            event_queue: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            next_event_number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            measured_from: seconds * WARM_UP,
            has_load_reports: kind.has_load_reports(),
            in_time: 0,
            open_conversations: BTreeMap::new(),
            blocks: 0,
            cached: 0,
            first_token_delays: Histogram::new_with_bounds(1, MAX_DELAY_MILLIS, 3)
                .expect("the bounds are valid"),
            compared_choices: 0,
            moved: 0,
        }
    }

    pub(super) fn simulate(mut self) -> PolicyResult {
        let seconds = self.trace.last().map_or(0.0, |request| request.arrival);
        let mut departure = DEPARTURE_INTERVAL_SECONDS;
        while departure < seconds {
            self.schedule(departure, RunEvent::Departure);
            departure += DEPARTURE_INTERVAL_SECONDS;
        }
        if self.has_load_reports {
            self.schedule(0.0, RunEvent::LoadReports);
        }
        for (index, request) in self.trace.iter().enumerate() {
            self.schedule(request.arrival, RunEvent::Arrival(index));
        }
        while let Some(Reverse((time, number))) = self.event_queue.pop() {
            let event = self
                .scheduled_events
                .remove(&number)
                .expect("scheduled once");
            self.handle(f64::from_bits(time), event);
        }
        PolicyResult {
            read_blocks: self.blocks - self.cached,
            in_time: self.in_time as f64 / self.first_token_delays.len().max(1) as f64,
            hit_rate: self.cached as f64 / self.blocks.max(1) as f64,
            p50: self.first_token_delays.value_at_quantile(0.5),
            p99: self.first_token_delays.value_at_quantile(0.99),
            moved: self.moved as f64 / self.compared_choices.max(1) as f64,
        }
    }

    fn schedule(&mut self, time: f64, event: RunEvent) {
        let number = self.next_event_number;
        self.next_event_number += 1;
        self.event_queue.push(Reverse((time.to_bits(), number)));
        self.scheduled_events.insert(number, event);
    }

    fn handle(&mut self, now: f64, event: RunEvent) {
        match event {
            RunEvent::Arrival(request) => self.arrive(now, request),
            RunEvent::Delivery { request, worker } => {
                self.engines[worker].waiting.push_back(request);
                self.start_waiting(now, worker);
            }
            RunEvent::FirstToken { request, worker } => {
                let begun = &self.trace[request];
                self.entries[begun.entry].note_begun(now, worker, begun);
                self.report_load(now, request, worker);
            }
            RunEvent::Finish { request, worker } => {
                self.engines[worker].finish();
                let ended = &self.trace[request];
                self.entries[ended.entry].note_finished(now, worker, ended);
                self.report_load(now, request, worker);
                self.start_waiting(now, worker);
            }
            RunEvent::CacheUpdate {
                entry,
                worker,
                event,
            } => {
                self.entries[entry].note_cache(worker, event);
            }
            RunEvent::Departure => self.remove_worker(now),
            RunEvent::Rejoin(worker) => self.set_ready(now, worker, true),
            RunEvent::LoadReports => self.report_all(now),
        }
    }

    fn arrive(&mut self, now: f64, index: usize) {
        let request = &self.trace[index];
        let entry = &mut self.entries[request.entry];
        let worker = entry.choose(now, request, &mut self.rng);
        entry.note_sent(now, worker, request);
        self.open_conversations.insert(request.conversation, index);
        let event = RunEvent::Delivery {
            request: index,
            worker,
        };
        self.schedule(now + NETWORK_DELAY_SECONDS, event);
    }

    fn start_waiting(&mut self, now: f64, worker: usize) {
        while self.engines[worker].has_slot() {
            let Some(request) = self.engines[worker].waiting.pop_front() else {
                return;
            };
            self.start(now, request, worker);
        }
    }

    fn start(&mut self, now: f64, index: usize, worker: usize) {
        let request = &self.trace[index];
        let blocks = request.prefix.blocks();
        let (start, evicted) = self.engines[worker].start(now, blocks);
        let first_token = start.first_token + NETWORK_DELAY_SECONDS;
        let finish = first_token + f64::from(request.output_tokens) * TOKEN_SECONDS;
        if request.arrival >= self.measured_from {
            self.blocks += blocks.len() as u64;
            self.cached += start.cached as u64;
            let delay = TimeSpan::from(Duration::from_secs_f64(first_token - request.arrival));
            self.in_time += u64::from(delay <= TimeSpan::from_millis(super::TARGET_MILLIS));
            self.first_token_delays
                .saturating_record(delay.0 / MICROS_PER_MILLI);
        }
        self.schedule(
            first_token,
            RunEvent::FirstToken {
                request: index,
                worker,
            },
        );
        self.schedule(
            finish,
            RunEvent::Finish {
                request: index,
                worker,
            },
        );
        let stored = blocks.iter().map(|block| CacheEvent::Stored(*block));
        let evicted = evicted.into_iter().map(CacheEvent::Evicted);
        for event in stored.chain(evicted) {
            self.publish(now, request.entry, worker, event);
        }
    }

    fn publish(&mut self, now: f64, entry: usize, worker: usize, event: CacheEvent) {
        if self.rng.random_bool(EVENT_LOSS_RATE) {
            return;
        }
        let delay = exponential(EVENT_DELAY_SECONDS, &mut self.rng);
        let event = RunEvent::CacheUpdate {
            entry,
            worker,
            event,
        };
        self.schedule(now + delay, event);
    }

    fn report_load(&mut self, now: f64, request: usize, worker: usize) {
        let report = self.engines[worker].report();
        self.entries[self.trace[request].entry].note_load(now, worker, report);
    }

    fn report_all(&mut self, now: f64) {
        for (worker, engine) in self.engines.iter().enumerate() {
            for entry in &mut self.entries {
                entry.note_load(now, worker, engine.report());
            }
        }
        if !self.event_queue.is_empty() {
            self.schedule(now + REPORT_INTERVAL_SECONDS, RunEvent::LoadReports);
        }
    }

    fn remove_worker(&mut self, now: f64) {
        let worker = self.rng.random_range(0..self.engines.len());
        self.open_conversations
            .retain(|_, request| self.trace[*request].arrival > now - 30.0);
        let before = self.next_choices(now);
        self.set_ready(now, worker, false);
        let after = self.next_choices(now);
        for (before, after) in before.into_iter().zip(after) {
            if before != worker {
                self.compared_choices += 1;
                self.moved += u64::from(before != after);
            }
        }
        self.engines[worker].clear();
        self.schedule(now + WORKER_ABSENCE_SECONDS, RunEvent::Rejoin(worker));
    }

    /// Returns the worker that the next request of each open conversation would be routed to.
    fn next_choices(&self, now: f64) -> Vec<usize> {
        let mut entries = self.entries.clone();
        let mut rng = self.rng.clone();
        self.open_conversations
            .values()
            .map(|request| {
                let request = &self.trace[*request];
                entries[request.entry].choose(now, request, &mut rng)
            })
            .collect()
    }

    fn set_ready(&mut self, now: f64, worker: usize, ready: bool) {
        for entry in &mut self.entries {
            entry.set_ready(super::time_point(now), worker, ready);
        }
    }
}
