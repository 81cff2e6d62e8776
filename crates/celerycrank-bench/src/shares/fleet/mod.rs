//! Discrete-event simulation of entries, agents and accounts.

mod admission;
mod service;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use celerycrank_routing::{
    BackendCondition, BackendRouter, BackendSpec, BlockHash, PromptPrefix, RouterSettings,
};
use celerycrank_shares::{
    DemandReport, FairQueue, GrantHolder, GrantHome, QueueSettings, ShareBand, TokenGrant, home_of,
};
use celerycrank_types::{BackendId, EntryId, RequestId, TimePoint, TimeSpan};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    message::ControlTraffic,
    scenario::{Scenario, SharePolicy},
    tally::{self, AccountTally},
};

const SLOTS: u32 = 16;
const QUEUE_CAPACITY: u32 = 64;
const MEAN_TOKENS: u64 = 100;
const PREFILL_TIME: TimeSpan = TimeSpan::from_millis(50);
const TOKEN_TIME: TimeSpan = TimeSpan::from_millis(30);
const NETWORK_DELAY: TimeSpan = TimeSpan(500);
const START_DEADLINE: TimeSpan = TimeSpan::from_secs(2);
/// Maximum number of other workers to which a refused request is sent.
const RETRIES: usize = 2;
/// Time from the failure of an entry until the other entries detect it.
const FAILURE_DETECTION_DELAY: TimeSpan = TimeSpan::from_secs(2);
const DEPARTURE_SECOND: u64 = 20;
const RETURN_SECOND: u64 = 30;
const FAILURE_SECOND: u64 = 40;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Results of a policy.
#[derive(Debug)]
pub(super) struct FleetResult {
    pub(super) worst_long: f64,
    pub(super) worst_short: f64,
    pub(super) jain_long: f64,
    pub(super) jain_short: f64,
    /// Fraction of all slot time that was idle while requests waited at any worker.
    pub(super) idle: f64,
    pub(super) recovery: usize,
    pub(super) control_mean: f64,
    pub(super) control_busiest: f64,
    /// Tokens of requests started before their deadline, as a fraction of the capacity.
    pub(super) useful: f64,
    /// 99th percentile of the waiting time of high-priority requests, in milliseconds.
    pub(super) high_p99: u64,
    /// Maximum number of requests waiting at one worker.
    pub(super) most_waiting: usize,
    /// Fraction of the accepted requests that were refused later.
    pub(super) refused_late: f64,
    /// Mean number of attempts per request.
    pub(super) attempts: f64,
}

#[derive(Debug, Clone)]
struct Request {
    account: usize,
    entry: usize,
    tokens: u64,
    arrival: TimePoint,
    prefix: PromptPrefix,
    band: ShareBand,
    tried: Vec<BackendId>,
}

#[derive(Debug, Clone)]
enum RunEvent {
    Arrive {
        account: usize,
    },
    /// The entry stops waiting for the grant of an account's home.
    GrantTimeout {
        request: usize,
    },
    Report {
        entry: usize,
        home: usize,
        report: DemandReport,
    },
    Grant {
        entry: usize,
        home: usize,
        grant: TokenGrant,
    },
    Delivery {
        request: usize,
        worker: usize,
    },
    Finish {
        request: usize,
        worker: usize,
    },
    Advance {
        worker: usize,
    },
    EntryDeparture,
    EntryReturn,
    HomeFailure,
    HomeFailureDetected,
}

/// State of one entry.
#[derive(Debug)]
struct Entry {
    id: EntryId,
    alive: bool,
    /// Whether the other entries consider it alive.
    listed: bool,
    router: BackendRouter,
    holder: GrantHolder,
    home: GrantHome,
    /// Requests waiting for a grant, by account.
    awaiting_grant: BTreeMap<usize, VecDeque<usize>>,
    /// Tokens in the bucket of each account under a static split, and the time of the last update.
    split_buckets: BTreeMap<usize, (f64, TimePoint)>,
}

/// Simulation of one scenario under one policy.
#[derive(Debug)]
pub(super) struct Fleet {
    scenario: Scenario,
    policy: SharePolicy,
    rng: ChaCha8Rng,
    now: TimePoint,
    event_queue: BinaryHeap<Reverse<(TimePoint, u64)>>,
    scheduled_events: BTreeMap<u64, RunEvent>,
    next_event_number: u64,
    entries: Vec<Entry>,
    worker_names: Vec<BackendId>,
    queues: Vec<FairQueue>,
    requests: Vec<Request>,
    tallies: Vec<AccountTally>,
    control_traffic: ControlTraffic,
    wait_histogram: Histogram<u64>,
    capacity: f64,
    idle_time: f64,
    idle_counted_until: TimePoint,
    waiting: usize,
    running: usize,
    useful: f64,
    most_waiting: usize,
    accepted: u64,
    refused_late: u64,
    retries: usize,
}

impl Fleet {
    pub(super) fn new(scenario: Scenario, policy: SharePolicy, workers: usize, seed: u64) -> Self {
        let hold = PREFILL_TIME.as_secs_f64() + MEAN_TOKENS as f64 * TOKEN_TIME.as_secs_f64();
        let slots = workers as f64 * f64::from(SLOTS);
        let capacity = slots * MEAN_TOKENS as f64 / hold;
        let total_weight = scenario.total_weight();
        let seconds = usize::try_from(scenario.seconds).expect("the run is short");
        let tallies = scenario
            .accounts
            .iter()
            .map(|account| {
                let share = capacity * f64::from(account.weight.get()) / total_weight;
                AccountTally::new(share, account.stays_within_share(), seconds)
            })
            .collect();
        let worker_names: Vec<BackendId> = (0..workers).map(worker_name).collect();
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: TimePoint(0),
            event_queue: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            next_event_number: 0,
            entries: (0..scenario.entries)
                .map(|entry| new_entry(entry, &worker_names))
                .collect(),
            worker_names,
            queues: (0..workers).map(|_| new_queue(policy)).collect(),
            requests: Vec::new(),
            tallies,
            control_traffic: ControlTraffic::new(scenario.entries),
            wait_histogram: Histogram::new_with_bounds(1, 600_000, 3)
                .expect("the bounds are valid"),
            capacity,
            idle_time: 0.0,
            idle_counted_until: TimePoint(0),
            waiting: 0,
            running: 0,
            useful: 0.0,
            most_waiting: 0,
            accepted: 0,
            refused_late: 0,
            retries: 0,
            scenario,
        }
    }

    pub(super) fn simulate(mut self) -> FleetResult {
        for account in 0..self.scenario.accounts.len() {
            self.schedule(TimeSpan::ZERO, RunEvent::Arrive { account });
        }
        if self.scenario.with_entry_failures {
            self.schedule(
                TimeSpan::from_secs(DEPARTURE_SECOND),
                RunEvent::EntryDeparture,
            );
            self.schedule(TimeSpan::from_secs(RETURN_SECOND), RunEvent::EntryReturn);
            self.schedule(TimeSpan::from_secs(FAILURE_SECOND), RunEvent::HomeFailure);
        }
        let end = TimePoint(self.scenario.seconds * MICROS_PER_SECOND);
        while let Some(Reverse((time, number))) = self.event_queue.pop() {
            if time >= end {
                break;
            }
            self.add_idle_slots(time);
            self.now = time;
            let event = self
                .scheduled_events
                .remove(&number)
                .expect("scheduled once");
            self.handle(event);
        }
        self.result()
    }

    fn result(self) -> FleetResult {
        let seconds = self.scenario.seconds as f64;
        let counted = seconds - tally::WARM_UP_SECONDS as f64;
        let (control_mean, control_busiest) = self.control_traffic.rates(seconds);
        let affected: Vec<usize> = (0..self.tallies.len())
            .filter(|account| {
                self.tallies[*account].stays_within_share
                    && self.was_homed_at_failed_entry(*account)
            })
            .collect();
        let failure_second = usize::try_from(FAILURE_SECOND).expect("the run is short");
        let slots = self.worker_names.len() as f64 * f64::from(SLOTS);
        FleetResult {
            worst_long: tally::lowest_served_fraction(&self.tallies, 10),
            worst_short: tally::lowest_served_fraction(&self.tallies, 1),
            jain_long: tally::lowest_jain_index(&self.tallies, 10),
            jain_short: tally::lowest_jain_index(&self.tallies, 1),
            idle: self.idle_time / (slots * counted),
            recovery: tally::recovery(&self.tallies, &affected, failure_second),
            control_mean,
            control_busiest,
            useful: self.useful / (self.capacity * counted),
            high_p99: self.wait_histogram.value_at_quantile(0.99),
            most_waiting: self.most_waiting,
            refused_late: self.refused_late as f64 / self.accepted.max(1) as f64,
            attempts: 1.0 + self.retries as f64 / self.requests.len().max(1) as f64,
        }
    }

    /// Returns whether the entry that fails in the run was the account's home.
    fn was_homed_at_failed_entry(&self, account: usize) -> bool {
        let ids = self.entries.iter().map(|entry| &entry.id);
        let id = &self.scenario.accounts[account].id;
        home_of(id, ids) == Some(&self.entries[self.failing_entry()].id)
    }

    fn failing_entry(&self) -> usize {
        self.entries.len() / 2
    }

    fn schedule(&mut self, delay: TimeSpan, event: RunEvent) {
        let number = self.next_event_number;
        self.next_event_number += 1;
        self.event_queue.push(Reverse((self.now + delay, number)));
        self.scheduled_events.insert(number, event);
    }

    fn handle(&mut self, event: RunEvent) {
        match event {
            RunEvent::Arrive { account } => self.arrive(account),
            RunEvent::GrantTimeout { request } => {
                if self.is_awaiting_grant(request) {
                    self.admit(request);
                }
            }
            RunEvent::Report {
                entry,
                home,
                report,
            } => self.handle_report(entry, home, &report),
            RunEvent::Grant { entry, home, grant } => self.apply_grant(entry, home, &grant),
            RunEvent::Delivery { request, worker } => self.deliver(request, worker),
            RunEvent::Finish { request, worker } => self.finish(request, worker),
            RunEvent::Advance { worker } => self.advance(worker),
            RunEvent::EntryDeparture => self.set_entry(0, false, false),
            RunEvent::EntryReturn => self.set_entry(0, true, true),
            RunEvent::HomeFailure => {
                self.set_entry(self.failing_entry(), false, true);
                self.schedule(FAILURE_DETECTION_DELAY, RunEvent::HomeFailureDetected);
            }
            RunEvent::HomeFailureDetected => self.set_entry(self.failing_entry(), false, false),
        }
    }

    fn set_entry(&mut self, entry: usize, alive: bool, listed: bool) {
        self.entries[entry].alive = alive;
        self.entries[entry].listed = listed;
    }

    /// Adds the time of slots that are idle up to `until` although requests wait.
    fn add_idle_slots(&mut self, until: TimePoint) {
        if is_after_warm_up(self.now) {
            let slots = self.worker_names.len() * SLOTS as usize;
            let idle_slots = (slots - self.running).min(self.waiting);
            self.idle_time +=
                idle_slots as f64 * until.since(self.idle_counted_until).as_secs_f64();
        }
        self.idle_counted_until = until;
    }

    fn arrive(&mut self, account: usize) {
        let second = self.now.0 / MICROS_PER_SECOND;
        let demand = self.scenario.accounts[account].demand(second);
        let rate = self.tallies[account].share * demand / MEAN_TOKENS as f64;
        if rate == 0.0 {
            self.schedule(TimeSpan::from_secs(1), RunEvent::Arrive { account });
            return;
        }
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let pause = TimeSpan::from(std::time::Duration::from_secs_f64(pause));
        self.schedule(pause, RunEvent::Arrive { account });
        let request = self.draw_request(account);
        let second = usize::try_from(second).expect("the run is short");
        self.tallies[account].offered[second] += request.tokens as f64;
        self.requests.push(request);
        self.admit(self.requests.len() - 1);
    }

    fn draw_request(&mut self, account: usize) -> Request {
        let alive: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].alive)
            .collect();
        let prompt = account as u64 * 4 + self.rng.random_range(0..4_u64);
        let blocks = (0..4).map(|block| BlockHash(hash_of(prompt * 4 + block)));
        Request {
            account,
            entry: alive[self.rng.random_range(0..alive.len())],
            tokens: self.rng.random_range(20..=2 * MEAN_TOKENS - 20),
            arrival: self.now,
            prefix: PromptPrefix::from_blocks(blocks)
                .with_conversation_hash(BlockHash(self.rng.random())),
            band: ShareBand::Excess,
            tried: Vec::new(),
        }
    }
}

fn new_entry(entry: usize, worker_names: &[BackendId]) -> Entry {
    let domain: celerycrank_types::DomainId = "estremoz".parse().expect("a valid name");
    let settings = RouterSettings::builder()
        .domain(domain.clone())
        .holder_capacity(4_096)
        .slow_start(TimeSpan::ZERO)
        .build();
    let mut router = BackendRouter::new(settings);
    for backend in worker_names {
        router.set_backend(BackendSpec {
            backend: backend.clone(),
            domain: domain.clone(),
            concurrency: SLOTS,
            condition: BackendCondition::Ready {
                since: TimePoint(0),
            },
        });
    }
    Entry {
        id: format!("entry-{entry}").parse().expect("a valid name"),
        alive: true,
        listed: true,
        router,
        holder: GrantHolder::new(),
        home: GrantHome::new(),
        awaiting_grant: BTreeMap::new(),
        split_buckets: BTreeMap::new(),
    }
}

fn new_queue(policy: SharePolicy) -> FairQueue {
    let capacity = match policy {
        SharePolicy::Unrefused => u32::MAX,
        _ => QUEUE_CAPACITY,
    };
    let settings = QueueSettings::builder()
        .concurrency(SLOTS)
        .capacity(capacity);
    FairQueue::new(settings.build())
}

fn worker_name(worker: usize) -> BackendId {
    format!("drafting-{worker}").parse().expect("a valid name")
}

fn request_index(id: RequestId) -> usize {
    usize::try_from(id.0).expect("request ids are indexes")
}

/// Returns whether the time is after the warm-up, in which the queues fill.
const fn is_after_warm_up(time: TimePoint) -> bool {
    time.0 >= tally::WARM_UP_SECONDS as u64 * MICROS_PER_SECOND
}

/// Returns whether a refused request is sent to another worker, which only requests within
/// their account's share are.
fn may_retry(request: &Request) -> bool {
    request.band == ShareBand::Within && request.tried.len() < RETRIES
}

/// Hashes a small number, so that consecutive numbers are spread over the range.
const fn hash_of(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
