//! The fair queue of an agent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycrank_types::{
    AccountId, RefusalReason, RequestId, TimePoint, TimeSpan, TokenCount, TokenRate,
};

use crate::{
    account::WaitingRequest,
    deadline_queue::DeadlineQueue,
    rate_estimator::ServiceRateEstimator,
    request::{DispatchPriority, QueueRefusal, QueueRequest, QueueStep, ShareBand, StartedRequest},
    weighted_fair::WeightedFairQueue,
};

/// Retry-After while nothing has been measured yet.
const INITIAL_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Part of the wait that is added to an estimate for what exceeds a share, since others may
/// still come before it.
const EXCESS_WAIT_MARGIN: f64 = 0.5;

/// Part of the concurrency up to which waiting excess counts as load.
const EXCESS_LOAD_DIVISOR: usize = 4;

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
struct QueuePosition {
    band: ShareBand,
    account: AccountId,
    sequence: u64,
}

/// A request that holds a slot.
#[derive(Debug, Clone)]
struct RunningRequest {
    rank: DispatchPriority,
    account: AccountId,
    cost: TokenCount,
    started: TimePoint,
}

/// Fair queue over accounts, in front of one backend server.
///
/// What is within its account's share of the whole fleet goes before what exceeds it, earliest
/// deadline first; the rest is served in weighted fair order.
///
/// Invariants:
/// - no request waits while a slot is free (work conservation);
/// - at most `capacity` requests wait and at most `concurrency` run;
/// - a request is in one place: it waits, runs, or is gone.
#[derive(Debug)]
pub struct FairQueue {
    settings: QueueSettings,
    within: DeadlineQueue,
    excess: WeightedFairQueue,
    positions: BTreeMap<RequestId, QueuePosition>,
    running: BTreeMap<RequestId, RunningRequest>,
    deadlines: BTreeSet<(TimePoint, RequestId)>,
    next_sequence: u64,
    rate_estimator: ServiceRateEstimator,
}

impl FairQueue {
    /// An empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            within: DeadlineQueue::default(),
            excess: WeightedFairQueue::new(settings.burst),
            positions: BTreeMap::new(),
            running: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_sequence: 0,
            rate_estimator: ServiceRateEstimator::default(),
        }
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.positions.len()
    }

    /// Number of requests that hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests for a router to go by.
    ///
    /// A flood beyond the shares counts as a few requests only: it fills every queue alike, and
    /// would hide where the work within the shares has piled up.
    #[must_use]
    pub fn effective_queue_length(&self) -> usize {
        let excess = self.positions.len() - self.within.len();
        self.within.len() + excess.min(self.settings.concurrency as usize / EXCESS_LOAD_DIVISOR)
    }

    /// Estimated work of the waiting requests of a band.
    #[must_use]
    pub fn waiting_cost(&self, band: ShareBand) -> TokenCount {
        match band {
            ShareBand::Within => self.within.waiting_cost(),
            ShareBand::Excess => self.excess.waiting_cost(),
        }
    }

    /// Number of accounts of which the queue remembers what they were served.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.excess.accounts()
    }

    /// The next point at which a waiting request would be refused.
    #[must_use]
    pub fn next_deadline(&self) -> Option<TimePoint> {
        self.deadlines.first().map(|(point, _)| *point)
    }

    /// Tokens a second that the backend server works off; `None` before anything was measured.
    #[must_use]
    pub fn rate(&self) -> Option<TokenRate> {
        let rate = self.rate_estimator.slot_rate()? * f64::from(self.settings.concurrency);
        let whole = Duration::try_from_secs_f64(rate).ok()?.as_secs();
        Some(TokenRate(whole))
    }

    /// How long a new request of this kind would wait; zero before anything was measured.
    #[must_use]
    pub fn expected_wait(&self, request: &QueueRequest) -> TimeSpan {
        let free = self.running.len() < self.settings.concurrency as usize;
        let Some(slot_rate) = self.rate_estimator.slot_rate() else {
            return TimeSpan::ZERO;
        };
        if free && self.positions.is_empty() {
            return TimeSpan::ZERO;
        }
        let rate = slot_rate * f64::from(self.settings.concurrency);
        let ahead = match request.band {
            ShareBand::Within => self.within.work_ahead(request).0 as f64,
            ShareBand::Excess => {
                let ahead = self.within.waiting_cost().0 as f64 + self.excess.work_ahead(request);
                ahead * (1.0 + EXCESS_WAIT_MARGIN)
            }
        };
        let rank = DispatchPriority::of(request.band, request.class);
        let remaining_fraction = self.rate_estimator.remaining_fraction(rank);
        let slot = self.mean_slot_interval().as_secs_f64();
        seconds((ahead / rate + slot) / remaining_fraction)
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
            !self.positions.contains_key(&request.id) && !self.running.contains_key(&request.id),
            "request {} is already in the queue",
            request.id
        );
        let wait = self.expected_wait(request);
        let allowed = request.start_by.since(now);
        if wait > allowed || request.start_by < now {
            let late = wait.saturating_sub(allowed);
            return Err(self.refusal(request.id, RefusalReason::DeadlineUnreachable, late));
        }
        self.enqueue(now, request);
        let evicted =
            (self.positions.len() > self.settings.capacity as usize).then(|| self.evict());
        self.assert_bounds();
        match evicted {
            Some(refusal) if refusal.id == request.id => Err(refusal),
            other => Ok(other),
        }
    }

    /// Refuses what is overdue, then starts as many requests as there are free slots.
    ///
    /// # Panics
    ///
    /// If a request waits although a slot is free: that is a broken invariant.
    pub fn advance(&mut self, now: TimePoint) -> QueueStep {
        let mut step = QueueStep::default();
        while let Some(id) = self.overdue(now) {
            self.remove(id);
            let wait = self.drain_time();
            let refusal = self.refusal(id, RefusalReason::DeadlineUnreachable, wait);
            step.refused.push(refusal);
        }
        while self.running.len() < self.settings.concurrency as usize {
            match self.start_next(now) {
                Some(started) => step.started.push(started),
                None => break,
            }
        }
        self.assert_bounds();
        assert!(
            self.positions.is_empty() || self.running.len() == self.settings.concurrency as usize,
            "a request waits although a slot is free"
        );
        step
    }

    /// Ends a running request and charges what it really used; false if it does not run.
    pub fn settle(&mut self, now: TimePoint, id: RequestId, used: TokenCount) -> bool {
        let Some(request) = self.running.remove(&id) else {
            return false;
        };
        self.rate_estimator
            .record(request.rank, used, now.since(request.started));
        if request.rank == DispatchPriority::Excess {
            self.excess.settle(&request.account, request.cost, used);
        }
        true
    }

    /// Removes a waiting request, as when its caller leaves; false if it does not wait.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let Some(position) = self.positions.remove(&id) else {
            return false;
        };
        let request = match position.band {
            ShareBand::Within => self.within.remove(position.sequence).2,
            ShareBand::Excess => self.excess.remove(&position.account, position.sequence),
        };
        self.deadlines.remove(&(request.start_by, id));
        true
    }

    fn enqueue(&mut self, now: TimePoint, request: &QueueRequest) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let item = WaitingRequest {
            id: request.id,
            cost: request.cost,
            arrived: now,
            start_by: request.start_by,
        };
        match request.band {
            ShareBand::Within => self.within.append(request, sequence, item),
            ShareBand::Excess => self.excess.append(request, sequence, item),
        }
        self.deadlines.insert((request.start_by, request.id));
        let position = QueuePosition {
            band: request.band,
            account: request.account.clone(),
            sequence,
        };
        self.positions.insert(request.id, position);
    }

    fn evict(&mut self) -> QueueRefusal {
        let excess = self.excess.most_backlogged();
        let request = excess
            .or_else(|| self.within.last())
            .expect("a full queue has a backlog");
        self.remove(request.id);
        self.refusal(request.id, RefusalReason::QueueFull, self.drain_time())
    }

    fn overdue(&self, now: TimePoint) -> Option<RequestId> {
        let (point, id) = self.deadlines.first()?;
        (*point < now).then_some(*id)
    }

    fn start_next(&mut self, now: TimePoint) -> Option<StartedRequest> {
        let (rank, account, request) = self.take_first()?;
        self.positions.remove(&request.id);
        self.deadlines.remove(&(request.start_by, request.id));
        let running = RunningRequest {
            rank,
            account,
            cost: request.cost,
            started: now,
        };
        self.running.insert(request.id, running);
        Some(StartedRequest {
            id: request.id,
            waited: now.since(request.arrived),
        })
    }

    fn take_first(&mut self) -> Option<(DispatchPriority, AccountId, WaitingRequest)> {
        if let Some((account, class, request)) = self.within.start_first() {
            let rank = DispatchPriority::of(ShareBand::Within, class);
            return Some((rank, account, request));
        }
        let (account, request) = self.excess.start_first()?;
        Some((DispatchPriority::Excess, account, request))
    }

    /// Mean time until the next slot falls free.
    fn mean_slot_interval(&self) -> TimeSpan {
        seconds(self.rate_estimator.mean_slot_time() / f64::from(self.settings.concurrency))
    }

    /// Time after which the queue as it stands has been worked off.
    fn drain_time(&self) -> TimeSpan {
        let waiting = self.within.waiting_cost() + self.excess.waiting_cost();
        let concurrency = f64::from(self.settings.concurrency);
        match self.rate_estimator.slot_rate() {
            Some(rate) => seconds(waiting.0 as f64 / (rate * concurrency)),
            None => INITIAL_RETRY_AFTER,
        }
    }

    /// Nothing has changed before the next slot falls free.
    fn refusal(&self, id: RequestId, reason: RefusalReason, wait: TimeSpan) -> QueueRefusal {
        QueueRefusal {
            id,
            reason,
            retry_after: wait.max(self.mean_slot_interval()),
        }
    }

    fn assert_bounds(&self) {
        assert!(
            self.positions.len() <= self.settings.capacity as usize,
            "more requests wait than the queue holds"
        );
        assert!(
            self.running.len() <= self.settings.concurrency as usize,
            "more requests run than there are slots"
        );
        assert!(
            self.deadlines.len() == self.positions.len(),
            "a request that is gone still has a deadline"
        );
    }
}

fn seconds(seconds: f64) -> TimeSpan {
    Duration::try_from_secs_f64(seconds).map_or(TimeSpan(u64::MAX), TimeSpan::from)
}
