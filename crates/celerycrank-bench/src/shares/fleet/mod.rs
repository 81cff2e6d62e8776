//! Entries, agents and accounts in one discrete-event run.

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
    message::ControlMeter,
    scenario::{Scenario, SharePolicy},
    tally::{self, AccountTally},
};

const SLOTS: u32 = 16;
const QUEUE_CAPACITY: u32 = 64;
const MEAN_TOKENS: u64 = 100;
const PREFILL: TimeSpan = TimeSpan::from_millis(50);
const TOKEN_TIME: TimeSpan = TimeSpan::from_millis(30);
const HOP: TimeSpan = TimeSpan(500);
const START_DEADLINE: TimeSpan = TimeSpan::from_secs(2);
/// Other workers that a refused request is offered to.
const RETRIES: usize = 2;
/// Time until the other entries know that one is lost.
const DETECTION: TimeSpan = TimeSpan::from_secs(2);
const LEAVE_SECOND: u64 = 20;
const RETURN_SECOND: u64 = 30;
const LOSS_SECOND: u64 = 40;
const SECOND: u64 = 1_000_000;

/// What a policy achieved.
#[derive(Debug)]
pub(super) struct FleetResult {
    pub(super) worst_long: f64,
    pub(super) worst_short: f64,
    pub(super) jain_long: f64,
    pub(super) jain_short: f64,
    /// Part of all slots that were free while a request waited somewhere.
    pub(super) idle: f64,
    pub(super) recovery: usize,
    pub(super) control_mean: f64,
    pub(super) control_busiest: f64,
    /// Tokens of requests started in time, as a part of the capacity.
    pub(super) useful: f64,
    /// Wait of the high class's requests, in milliseconds.
    pub(super) high_p99: u64,
    /// Most requests that waited at one worker.
    pub(super) most_waiting: usize,
    /// Part of the requests that were accepted and then refused.
    pub(super) refused_late: f64,
    /// Attempts for each request.
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
enum Happening {
    Arrive {
        account: usize,
    },
    /// The wait for a home's answer is over.
    GiveUp {
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
    Reach {
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
    EntryLeaves,
    EntryReturns,
    HomeLost,
    HomeNoticed,
}

/// One entry.
#[derive(Debug)]
struct Entry {
    id: EntryId,
    alive: bool,
    /// Whether the other entries take it for alive.
    listed: bool,
    router: BackendRouter,
    holder: GrantHolder,
    home: GrantHome,
    /// Requests that wait for a grant.
    parked: BTreeMap<usize, VecDeque<usize>>,
    /// Tokens that remain to each account, and since when, under a static split.
    split: BTreeMap<usize, (f64, TimePoint)>,
}

/// The whole run.
#[derive(Debug)]
pub(super) struct Fleet {
    scenario: Scenario,
    policy: SharePolicy,
    rng: ChaCha8Rng,
    now: TimePoint,
    order: BinaryHeap<Reverse<(TimePoint, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next_happening: u64,
    entries: Vec<Entry>,
    names: Vec<BackendId>,
    queues: Vec<FairQueue>,
    requests: Vec<Request>,
    tallies: Vec<AccountTally>,
    control: ControlMeter,
    waits: Histogram<u64>,
    capacity: f64,
    idle_time: f64,
    busy_from: TimePoint,
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
        let hold = PREFILL.as_secs_f64() + MEAN_TOKENS as f64 * TOKEN_TIME.as_secs_f64();
        let slots = workers as f64 * f64::from(SLOTS);
        let capacity = slots * MEAN_TOKENS as f64 / hold;
        let total_weight = scenario.total_weight();
        let seconds = usize::try_from(scenario.seconds).expect("a short run");
        let tallies = scenario
            .accounts
            .iter()
            .map(|account| {
                let share = capacity * f64::from(account.weight.get()) / total_weight;
                AccountTally::new(share, account.is_calm(), seconds)
            })
            .collect();
        let names: Vec<BackendId> = (0..workers).map(worker_name).collect();
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: TimePoint(0),
            order: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next_happening: 0,
            entries: (0..scenario.entries)
                .map(|entry| new_entry(entry, &names))
                .collect(),
            names,
            queues: (0..workers).map(|_| new_queue(policy)).collect(),
            requests: Vec::new(),
            tallies,
            control: ControlMeter::new(scenario.entries),
            waits: Histogram::new_with_bounds(1, 600_000, 3).expect("the bounds are valid"),
            capacity,
            idle_time: 0.0,
            busy_from: TimePoint(0),
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

    pub(super) fn play(mut self) -> FleetResult {
        for account in 0..self.scenario.accounts.len() {
            self.schedule(TimeSpan::ZERO, Happening::Arrive { account });
        }
        if self.scenario.disturbed {
            self.schedule(TimeSpan::from_secs(LEAVE_SECOND), Happening::EntryLeaves);
            self.schedule(TimeSpan::from_secs(RETURN_SECOND), Happening::EntryReturns);
            self.schedule(TimeSpan::from_secs(LOSS_SECOND), Happening::HomeLost);
        }
        let end = TimePoint(self.scenario.seconds * SECOND);
        while let Some(Reverse((time, number))) = self.order.pop() {
            if time >= end {
                break;
            }
            self.count_idle(time);
            self.now = time;
            let happening = self.happenings.remove(&number).expect("scheduled once");
            self.handle(happening);
        }
        self.result()
    }

    fn result(self) -> FleetResult {
        let seconds = self.scenario.seconds as f64;
        let counted = seconds - tally::WARM_UP_SECONDS as f64;
        let (control_mean, control_busiest) = self.control.rates(seconds);
        let affected: Vec<usize> = (0..self.tallies.len())
            .filter(|account| self.tallies[*account].calm && self.lost_home_of(*account))
            .collect();
        let loss = usize::try_from(LOSS_SECOND).expect("a short run");
        let slots = self.names.len() as f64 * f64::from(SLOTS);
        FleetResult {
            worst_long: tally::worst_part(&self.tallies, 10),
            worst_short: tally::worst_part(&self.tallies, 1),
            jain_long: tally::worst_jain(&self.tallies, 10),
            jain_short: tally::worst_jain(&self.tallies, 1),
            idle: self.idle_time / (slots * counted),
            recovery: tally::recovery(&self.tallies, &affected, loss),
            control_mean,
            control_busiest,
            useful: self.useful / (self.capacity * counted),
            high_p99: self.waits.value_at_quantile(0.99),
            most_waiting: self.most_waiting,
            refused_late: self.refused_late as f64 / self.accepted.max(1) as f64,
            attempts: 1.0 + self.retries as f64 / self.requests.len().max(1) as f64,
        }
    }

    /// Whether the entry that is lost in the run was the account's home.
    fn lost_home_of(&self, account: usize) -> bool {
        let ids = self.entries.iter().map(|entry| &entry.id);
        let id = &self.scenario.accounts[account].id;
        home_of(id, ids) == Some(&self.entries[self.lost_entry()].id)
    }

    fn lost_entry(&self) -> usize {
        self.entries.len() / 2
    }

    fn schedule(&mut self, delay: TimeSpan, happening: Happening) {
        let number = self.next_happening;
        self.next_happening += 1;
        self.order.push(Reverse((self.now + delay, number)));
        self.happenings.insert(number, happening);
    }

    fn handle(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive { account } => self.arrive(account),
            Happening::GiveUp { request } => {
                if self.is_parked(request) {
                    self.decide(request);
                }
            }
            Happening::Report {
                entry,
                home,
                report,
            } => self.report(entry, home, &report),
            Happening::Grant { entry, home, grant } => self.apply_grant(entry, home, &grant),
            Happening::Reach { request, worker } => self.reach(request, worker),
            Happening::Finish { request, worker } => self.finish(request, worker),
            Happening::Advance { worker } => self.advance(worker),
            Happening::EntryLeaves => self.set_entry(0, false, false),
            Happening::EntryReturns => self.set_entry(0, true, true),
            Happening::HomeLost => {
                self.set_entry(self.lost_entry(), false, true);
                self.schedule(DETECTION, Happening::HomeNoticed);
            }
            Happening::HomeNoticed => self.set_entry(self.lost_entry(), false, false),
        }
    }

    fn set_entry(&mut self, entry: usize, alive: bool, listed: bool) {
        self.entries[entry].alive = alive;
        self.entries[entry].listed = listed;
    }

    /// Counts the slots that stay free until then although a request waits.
    fn count_idle(&mut self, until: TimePoint) {
        if is_counted(self.now) {
            let slots = self.names.len() * SLOTS as usize;
            let unused = (slots - self.running).min(self.waiting);
            self.idle_time += unused as f64 * until.since(self.busy_from).as_secs_f64();
        }
        self.busy_from = until;
    }

    fn arrive(&mut self, account: usize) {
        let second = self.now.0 / SECOND;
        let demand = self.scenario.accounts[account].demand(second);
        let rate = self.tallies[account].share * demand / MEAN_TOKENS as f64;
        if rate == 0.0 {
            self.schedule(TimeSpan::from_secs(1), Happening::Arrive { account });
            return;
        }
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let pause = TimeSpan::from(std::time::Duration::from_secs_f64(pause));
        self.schedule(pause, Happening::Arrive { account });
        let request = self.draw_request(account);
        let second = usize::try_from(second).expect("a short run");
        self.tallies[account].offered[second] += request.tokens as f64;
        self.requests.push(request);
        self.decide(self.requests.len() - 1);
    }

    fn draw_request(&mut self, account: usize) -> Request {
        let alive: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].alive)
            .collect();
        let kind = account as u64 * 4 + self.rng.random_range(0..4_u64);
        let blocks = (0..4).map(|block| BlockHash(spread(kind * 4 + block)));
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

fn new_entry(entry: usize, names: &[BackendId]) -> Entry {
    let domain: celerycrank_types::DomainId = "estremoz".parse().expect("a valid name");
    let settings = RouterSettings::builder()
        .domain(domain.clone())
        .holder_capacity(4_096)
        .slow_start(TimeSpan::ZERO)
        .build();
    let mut router = BackendRouter::new(settings);
    for backend in names {
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
        parked: BTreeMap::new(),
        split: BTreeMap::new(),
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
    usize::try_from(id.0).expect("ids are indexes here")
}

/// Whether the queues have filled by then.
const fn is_counted(time: TimePoint) -> bool {
    time.0 >= tally::WARM_UP_SECONDS as u64 * SECOND
}

/// Whether a refused request is offered to another worker: only what is within its share is.
fn may_retry(request: &Request) -> bool {
    request.band == ShareBand::Within && request.tried.len() < RETRIES
}

/// Spreads small numbers over all hashes.
const fn spread(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
