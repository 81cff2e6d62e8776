//! The fair queue of an agent.

use std::collections::{BTreeMap, BTreeSet};

use celerycrank_config::PriorityClass;
use celerycrank_types::{AccountId, RefusalReason, RequestId, TimePoint, TimeSpan, TokenCount};

use crate::{
    account::{AccountQueue, VirtualTime, WaitingRequest},
    meter::ServiceMeter,
    request::{QueueRefusal, QueueRequest, QueueStep, StartedRequest},
};

/// Retry-After while nothing has been measured yet.
const UNMEASURED_RETRY: TimeSpan = TimeSpan::from_secs(1);

/// Number of priority classes.
const CLASS_COUNT: usize = 3;

/// Settings of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct QueueSettings {
    /// Most requests that run at a time.
    pub concurrency: u32,
    /// Most requests that wait.
    pub capacity: u32,
    /// Work by which an account may run ahead of the others before its class stops counting.
    #[builder(default = TokenCount(4_096))]
    pub burst: TokenCount,
}

/// Where a waiting request stands.
#[derive(Debug, Clone)]
struct QueuePlace {
    account: AccountId,
    sequence: u64,
}

/// A request that holds a slot.
#[derive(Debug, Clone)]
struct RunningRequest {
    account: AccountId,
    cost: TokenCount,
    started: TimePoint,
}

/// Weighted fair queue over accounts, in front of one backend server.
///
/// Each account carries the virtual time up to which it has been served: tokens for each unit
/// of weight. The account that is furthest behind is always eligible, as is each one that is
/// ahead of it by no more than the burst. Among the eligible the higher class goes first, then
/// the account further behind. A class therefore buys a shorter wait and never a larger share.
///
/// Invariants:
/// - no request waits while a slot is free (work conservation);
/// - at most `capacity` requests wait and at most `concurrency` run;
/// - an account is known only while it waits, runs, or is ahead of the virtual time;
/// - the virtual time never goes back.
#[derive(Debug)]
pub struct FairQueue {
    settings: QueueSettings,
    accounts: BTreeMap<AccountId, AccountQueue>,
    places: BTreeMap<RequestId, QueuePlace>,
    running: BTreeMap<RequestId, RunningRequest>,
    /// Accounts with waiting requests that are within their share, by class.
    eligible: [BTreeSet<(VirtualTime, AccountId)>; CLASS_COUNT],
    /// Accounts with waiting requests that are ahead of their share.
    ahead: BTreeSet<(VirtualTime, AccountId)>,
    /// Accounts with waiting requests, by the virtual time up to which they were served.
    served: BTreeSet<(VirtualTime, AccountId)>,
    /// Accounts with waiting requests, by waiting work for each unit of weight.
    backlog: BTreeSet<(i128, AccountId)>,
    /// Accounts of which nothing waits or runs, still ahead of the virtual time.
    idle: BTreeSet<(VirtualTime, AccountId)>,
    deadlines: BTreeSet<(TimePoint, RequestId)>,
    virtual_time: VirtualTime,
    /// Invariant: the sum of the weights of the accounts in `served`.
    waiting_weight: u64,
    /// Invariant: the sum of the costs of all waiting requests.
    waiting_cost: u64,
    next_sequence: u64,
    meter: ServiceMeter,
}

impl FairQueue {
    /// An empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            accounts: BTreeMap::new(),
            places: BTreeMap::new(),
            running: BTreeMap::new(),
            eligible: Default::default(),
            ahead: BTreeSet::new(),
            served: BTreeSet::new(),
            backlog: BTreeSet::new(),
            idle: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            virtual_time: VirtualTime::default(),
            waiting_weight: 0,
            waiting_cost: 0,
            next_sequence: 0,
            meter: ServiceMeter::default(),
        }
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// Number of requests that hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Estimated work of all requests that wait.
    #[must_use]
    pub const fn waiting_cost(&self) -> TokenCount {
        TokenCount(self.waiting_cost)
    }

    /// Number of accounts that the queue remembers.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// The next point at which a waiting request would be refused.
    #[must_use]
    pub fn next_deadline(&self) -> Option<TimePoint> {
        self.deadlines.first().map(|(point, _)| *point)
    }

    /// How long a new request of this kind would wait; zero before anything was measured.
    #[must_use]
    pub fn expected_wait(&self, request: &QueueRequest) -> TimeSpan {
        let free = self.running.len() < self.settings.concurrency as usize;
        let Some(slot_rate) = self.meter.slot_rate() else {
            return TimeSpan::ZERO;
        };
        if free && self.places.is_empty() {
            return TimeSpan::ZERO;
        }
        let concurrency = f64::from(self.settings.concurrency);
        let rate = slot_rate * concurrency;
        let ahead = self.work_ahead(request).min(self.waiting_cost as f64);
        seconds(ahead / rate + self.meter.mean_hold() / concurrency)
    }

    /// Offers a request; refuses it at once where it can't start within its deadline.
    ///
    /// Where the queue is full, the account with the most waiting work for its weight gives
    /// way: its newest request is refused, be it the offered one or another. An accepted
    /// request starts only in a later [`advance`](Self::advance).
    ///
    /// # Errors
    ///
    /// The refusal of the offered request. `Ok` holds the one that gave way, if any.
    ///
    /// # Panics
    ///
    /// If a request of this id is already in the queue: ids are unique.
    pub fn push(
        &mut self,
        now: TimePoint,
        request: &QueueRequest,
    ) -> Result<Option<QueueRefusal>, QueueRefusal> {
        assert!(
            !self.places.contains_key(&request.id) && !self.running.contains_key(&request.id),
            "request {} is already in the queue",
            request.id
        );
        let wait = self.expected_wait(request);
        let allowed = request.start_by.since(now);
        if wait > allowed || request.start_by < now {
            return Err(QueueRefusal {
                id: request.id,
                reason: RefusalReason::DeadlineUnreachable,
                retry_after: self.retry_after(wait.saturating_sub(allowed)),
            });
        }
        self.enqueue(now, request);
        let evicted = (self.places.len() > self.settings.capacity as usize).then(|| self.evict());
        self.assert_bounds();
        match evicted {
            Some(refusal) if refusal.id == request.id => Err(refusal),
            other => Ok(other),
        }
    }

    /// Refuses what is overdue, then starts as many requests as there are free slots.
    pub fn advance(&mut self, now: TimePoint) -> QueueStep {
        let mut step = QueueStep::default();
        while let Some(id) = self.overdue(now) {
            self.remove(id);
            step.refused.push(QueueRefusal {
                id,
                reason: RefusalReason::DeadlineUnreachable,
                retry_after: self.retry_after(self.drain_time()),
            });
        }
        while self.running.len() < self.settings.concurrency as usize {
            match self.start_next(now) {
                Some(started) => step.started.push(started),
                None => break,
            }
        }
        self.assert_bounds();
        step
    }

    /// Ends a running request and charges what it really used; false if it does not run.
    pub fn settle(&mut self, now: TimePoint, id: RequestId, used: TokenCount) -> bool {
        let Some(request) = self.running.remove(&id) else {
            return false;
        };
        self.meter.record(used, now.since(request.started));
        self.change(&request.account, |account| {
            account.running -= 1;
            account.charge(i128::from(used.0) - i128::from(request.cost.0));
        });
        self.advance_virtual_time();
        true
    }

    /// Removes a waiting request, as when its caller leaves; false if it does not wait.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let Some(place) = self.places.remove(&id) else {
            return false;
        };
        self.take(&place);
        self.advance_virtual_time();
        true
    }

    /// Work that is served before a new request: the account's own, at its part of the rate.
    fn work_ahead(&self, request: &QueueRequest) -> f64 {
        let weight = f64::from(request.weight.get());
        let (own, others) = match self.accounts.get(&request.account) {
            Some(account) => {
                let debt = account
                    .served
                    .tokens_ahead(self.virtual_time, account.weight);
                let counted = if account.waiting.is_empty() {
                    0
                } else {
                    u64::from(account.weight.get())
                };
                let others = self.waiting_weight - counted;
                (account.waiting_cost as f64 + debt, others)
            }
            None => (0.0, self.waiting_weight),
        };
        own * (others as f64 + weight) / weight
    }

    fn enqueue(&mut self, now: TimePoint, request: &QueueRequest) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let virtual_time = self.virtual_time;
        self.accounts
            .entry(request.account.clone())
            .or_insert_with(|| AccountQueue::new(request.weight, request.class, virtual_time));
        self.change(&request.account, |account| {
            if account.waiting.is_empty() {
                // An account gains no credit while it asks for nothing.
                account.served = account.served.max(virtual_time);
            }
            account.weight = request.weight;
            account.class = request.class;
            account.append(
                sequence,
                WaitingRequest {
                    id: request.id,
                    cost: request.cost,
                    arrived: now,
                    start_by: request.start_by,
                },
            );
        });
        self.waiting_cost += request.cost.0;
        self.deadlines.insert((request.start_by, request.id));
        let account = request.account.clone();
        self.places
            .insert(request.id, QueuePlace { account, sequence });
        self.advance_virtual_time();
    }

    fn evict(&mut self) -> QueueRefusal {
        let (_, account) = self.backlog.last().expect("a full queue has a backlog");
        let queue = &self.accounts[account];
        let (_, request) = queue
            .waiting
            .last_key_value()
            .expect("an account in the backlog has a waiting request");
        let id = request.id;
        self.remove(id);
        QueueRefusal {
            id,
            reason: RefusalReason::QueueFull,
            retry_after: self.retry_after(self.drain_time()),
        }
    }

    fn overdue(&self, now: TimePoint) -> Option<RequestId> {
        let (point, id) = self.deadlines.first()?;
        (*point < now).then_some(*id)
    }

    fn start_next(&mut self, now: TimePoint) -> Option<StartedRequest> {
        let account = self
            .eligible
            .iter()
            .find_map(|class| class.first())?
            .1
            .clone();
        let queue = &self.accounts[&account];
        let (sequence, _) = queue
            .waiting
            .first_key_value()
            .expect("an eligible account has a waiting request");
        let place = QueuePlace {
            account: account.clone(),
            sequence: *sequence,
        };
        let request = self.take(&place);
        self.places.remove(&request.id);
        self.change(&account, |account| {
            account.running += 1;
            account.charge(i128::from(request.cost.0));
        });
        self.running.insert(
            request.id,
            RunningRequest {
                account,
                cost: request.cost,
                started: now,
            },
        );
        self.advance_virtual_time();
        Some(StartedRequest {
            id: request.id,
            waited: now.since(request.arrived),
        })
    }

    /// Takes a request out of its account's queue.
    fn take(&mut self, place: &QueuePlace) -> WaitingRequest {
        let request = self
            .change(&place.account, |account| account.take(place.sequence))
            .expect("a place names a waiting request");
        self.waiting_cost -= request.cost.0;
        self.deadlines.remove(&(request.start_by, request.id));
        request
    }

    /// Changes an account and keeps the sets that order the accounts in step.
    fn change<T>(&mut self, id: &AccountId, edit: impl FnOnce(&mut AccountQueue) -> T) -> T {
        let mut account = self
            .accounts
            .remove(id)
            .expect("a request in the queue has an account");
        self.unlist(id, &account);
        let result = edit(&mut account);
        self.list(id, &account);
        self.accounts.insert(id.clone(), account);
        result
    }

    fn unlist(&mut self, id: &AccountId, account: &AccountQueue) {
        let key = (account.served, id.clone());
        if account.waiting.is_empty() {
            self.idle.remove(&key);
            return;
        }
        let eligible_at = account.eligible_at(self.settings.burst);
        self.ahead.remove(&(eligible_at, id.clone()));
        self.eligible[class_index(account.class)].remove(&key);
        self.backlog.remove(&(account.backlog(), id.clone()));
        self.served.remove(&key);
        self.waiting_weight -= u64::from(account.weight.get());
    }

    fn list(&mut self, id: &AccountId, account: &AccountQueue) {
        let key = (account.served, id.clone());
        if account.is_idle() {
            self.idle.insert(key);
            return;
        }
        if account.waiting.is_empty() {
            return;
        }
        let eligible_at = account.eligible_at(self.settings.burst);
        if eligible_at <= self.virtual_time {
            self.eligible[class_index(account.class)].insert(key.clone());
        } else {
            self.ahead.insert((eligible_at, id.clone()));
        }
        self.backlog.insert((account.backlog(), id.clone()));
        self.served.insert(key);
        self.waiting_weight += u64::from(account.weight.get());
    }

    /// Brings the virtual time up to the account that is furthest behind.
    fn advance_virtual_time(&mut self) {
        let furthest_behind = match self.served.first() {
            Some((served, _)) => *served,
            // Without contention nobody is ahead of a share.
            None => self.latest_served(),
        };
        self.virtual_time = self.virtual_time.max(furthest_behind);
        self.admit_eligible();
        self.forget_idle();
    }

    fn latest_served(&self) -> VirtualTime {
        let latest = self.idle.last().map(|(served, _)| *served);
        latest.unwrap_or_default()
    }

    fn admit_eligible(&mut self) {
        while let Some((eligible_at, _)) = self.ahead.first() {
            if *eligible_at > self.virtual_time {
                break;
            }
            if let Some((_, id)) = self.ahead.pop_first() {
                let account = &self.accounts[&id];
                self.eligible[class_index(account.class)].insert((account.served, id));
            }
        }
    }

    fn forget_idle(&mut self) {
        while let Some((served, _)) = self.idle.first() {
            if *served > self.virtual_time {
                break;
            }
            if let Some((_, id)) = self.idle.pop_first() {
                self.accounts.remove(&id);
            }
        }
    }

    /// Time after which the queue as it stands has been worked off.
    fn drain_time(&self) -> TimeSpan {
        let concurrency = f64::from(self.settings.concurrency);
        match self.meter.slot_rate() {
            Some(rate) => seconds(self.waiting_cost as f64 / (rate * concurrency)),
            None => UNMEASURED_RETRY,
        }
    }

    /// At least the mean time until a slot falls free: sooner, nothing has changed.
    fn retry_after(&self, wait: TimeSpan) -> TimeSpan {
        let concurrency = f64::from(self.settings.concurrency);
        wait.max(seconds(self.meter.mean_hold() / concurrency))
    }

    fn assert_bounds(&self) {
        assert!(
            self.places.len() <= self.settings.capacity as usize,
            "more requests wait than the queue holds"
        );
        assert!(
            self.running.len() <= self.settings.concurrency as usize,
            "more requests run than there are slots"
        );
    }
}

const fn class_index(class: PriorityClass) -> usize {
    match class {
        PriorityClass::High => 0,
        PriorityClass::Normal => 1,
        PriorityClass::Low => 2,
    }
}

fn seconds(seconds: f64) -> TimeSpan {
    std::time::Duration::try_from_secs_f64(seconds).map_or(TimeSpan(u64::MAX), TimeSpan::from)
}
