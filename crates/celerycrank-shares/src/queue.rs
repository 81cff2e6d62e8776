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

/// Value of `Retry-After` until the service rate has been measured.
const INITIAL_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Fraction by which the estimated wait of a request that exceeds a share is increased, since
/// requests that arrive later may be served before it.
const EXCESS_WAIT_MARGIN: f64 = 0.5;

/// Waiting requests beyond the shares count as load up to the concurrency divided by this.
const EXCESS_LOAD_DIVISOR: usize = 4;

/// Settings of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct QueueSettings {
    /// Maximum number of running requests.
    pub concurrency: u32,
    /// Maximum number of waiting requests.
    pub capacity: u32,
    /// Work by which an account may be ahead of the others before its class is no longer
    /// considered.
    #[builder(default = TokenCount(4_096))]
    pub burst: TokenCount,
}

/// The position of a waiting request.
#[derive(Debug, Clone)]
struct QueuePosition {
    band: ShareBand,
    account: AccountId,
    sequence: u64,
}

/// A request that holds a slot.
#[derive(Debug, Clone)]
struct RunningRequest {
    priority: DispatchPriority,
    account: AccountId,
    cost: TokenCount,
    started: TimePoint,
}

/// A fair queue over accounts, in front of one backend server.
///
/// Requests within their account's share of the whole fleet are served first, by earliest
/// deadline. Requests that exceed the share follow in weighted fair order.
///
/// Invariants:
/// - no request waits while a slot is free (work conservation);
/// - at most `capacity` requests wait and at most `concurrency` run;
/// - a request is in exactly one state: waiting, running or gone.
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
    /// Creates an empty queue.
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

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.positions.len()
    }

    /// Number of running requests, which hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The queue length to be used by a router.
    ///
    /// A flood of requests beyond the shares counts as a few requests only, since it fills all
    /// queues equally and would hide where requests within the shares have piled up.
    #[must_use]
    pub fn effective_queue_length(&self) -> usize {
        let excess = self.positions.len() - self.within.len();
        self.within.len() + excess.min(self.settings.concurrency as usize / EXCESS_LOAD_DIVISOR)
    }

    /// Estimated work of the waiting requests in a band.
    #[must_use]
    pub fn waiting_cost(&self, band: ShareBand) -> TokenCount {
        match band {
            ShareBand::Within => self.within.waiting_cost(),
            ShareBand::Excess => self.excess.waiting_cost(),
        }
    }

    /// Number of accounts whose served work the queue keeps track of.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.excess.accounts()
    }

    /// The next time at which a waiting request becomes overdue.
    #[must_use]
    pub fn next_deadline(&self) -> Option<TimePoint> {
        self.deadlines.first().map(|(point, _)| *point)
    }

    /// Tokens per second that the backend server processes; `None` before the first measurement.
    #[must_use]
    pub fn rate(&self) -> Option<TokenRate> {
        let rate = self.rate_estimator.slot_rate()? * f64::from(self.settings.concurrency);
        let whole = Duration::try_from_secs_f64(rate).ok()?.as_secs();
        Some(TokenRate(whole))
    }

    /// The expected wait of a new request; zero before the first measurement.
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
            ShareBand::Within => self.within.work_before(request).0 as f64,
            ShareBand::Excess => {
                let ahead = self.within.waiting_cost().0 as f64 + self.excess.work_before(request);
                ahead * (1.0 + EXCESS_WAIT_MARGIN)
            }
        };
        let priority = DispatchPriority::of(request.band, request.class);
        let remaining_fraction = self.rate_estimator.remaining_fraction(priority);
        let slot = self.mean_slot_interval().as_secs_f64();
        seconds((ahead / rate + slot) / remaining_fraction)
    }

    /// Adds a request, or refuses it immediately if it is not expected to start by its deadline.
    ///
    /// If the queue is full, the newest request of the account with the most waiting work
    /// relative to its weight is evicted, which may be the given request. An accepted request
    /// starts only in a later [`advance`](Self::advance).
    ///
    /// # Errors
    ///
    /// Fails with the refusal of the given request. `Ok` contains the refusal of another, evicted
    /// request, if any.
    ///
    /// # Panics
    ///
    /// Panics if a request with this id is already in the queue, since ids are unique.
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

    /// Refuses overdue requests, then starts as many requests as there are free slots.
    ///
    /// # Panics
    ///
    /// Panics if a request waits although a slot is free, which would violate an invariant.
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

    /// Ends a running request and charges its actual usage; returns false if it is not running.
    pub fn finish(&mut self, now: TimePoint, id: RequestId, used: TokenCount) -> bool {
        let Some(request) = self.running.remove(&id) else {
            return false;
        };
        self.rate_estimator
            .record(request.priority, used, now.since(request.started));
        if request.priority == DispatchPriority::Excess {
            self.excess.finish(&request.account, request.cost, used);
        }
        true
    }

    /// Removes a waiting request, for example when its caller disconnects; returns false if it is
    /// not waiting.
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
        let (priority, account, request) = self.take_first()?;
        self.positions.remove(&request.id);
        self.deadlines.remove(&(request.start_by, request.id));
        let running = RunningRequest {
            priority,
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
            let priority = DispatchPriority::of(ShareBand::Within, class);
            return Some((priority, account, request));
        }
        let (account, request) = self.excess.start_first()?;
        Some((DispatchPriority::Excess, account, request))
    }

    /// Mean time until the next slot becomes free.
    fn mean_slot_interval(&self) -> TimeSpan {
        seconds(self.rate_estimator.mean_slot_time() / f64::from(self.settings.concurrency))
    }

    /// Expected time to process all requests that are waiting now.
    fn drain_time(&self) -> TimeSpan {
        let waiting = self.within.waiting_cost() + self.excess.waiting_cost();
        let concurrency = f64::from(self.settings.concurrency);
        match self.rate_estimator.slot_rate() {
            Some(rate) => seconds(waiting.0 as f64 / (rate * concurrency)),
            None => INITIAL_RETRY_AFTER,
        }
    }

    /// Builds a refusal. Retrying before the next slot becomes free would be useless.
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
            "more requests wait than the capacity allows"
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
