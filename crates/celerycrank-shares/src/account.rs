//! One account's part of a fair queue.

use std::collections::BTreeMap;

use celerycrank_config::PriorityClass;
use celerycrank_types::{RequestId, ShareWeight, TimePoint, TokenCount};

/// Virtual time of one token at weight one.
const VIRTUAL_TIME_PER_TOKEN: i128 = 1 << 20;

/// A point in virtual time: tokens served for each unit of weight.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(pub(crate) i128);

impl VirtualTime {
    /// The span that a cost takes at a weight.
    pub(crate) fn of_cost(cost: TokenCount, weight: ShareWeight) -> i128 {
        i128::from(cost.0) * VIRTUAL_TIME_PER_TOKEN / i128::from(weight.get())
    }

    /// The tokens by which this point is ahead of another, at a weight.
    pub(crate) fn tokens_ahead(self, other: Self, weight: ShareWeight) -> f64 {
        let span = (self.0 - other.0).max(0);
        span as f64 * f64::from(weight.get()) / VIRTUAL_TIME_PER_TOKEN as f64
    }
}

/// A request in its account's queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingRequest {
    pub(crate) id: RequestId,
    pub(crate) cost: TokenCount,
    pub(crate) arrived: TimePoint,
    pub(crate) start_by: TimePoint,
}

/// One account's waiting requests and its place in virtual time.
#[derive(Debug, Clone)]
pub(crate) struct AccountQueue {
    pub(crate) weight: ShareWeight,
    pub(crate) class: PriorityClass,
    /// Virtual time up to which the account has been served.
    pub(crate) served: VirtualTime,
    /// Waiting requests by their order of arrival.
    pub(crate) waiting: BTreeMap<u64, WaitingRequest>,
    /// Invariant: the sum of the costs in `waiting`.
    pub(crate) waiting_cost: u64,
    /// Requests that hold a slot.
    pub(crate) running: u32,
}

impl AccountQueue {
    /// An account of which nothing waits or runs.
    pub(crate) fn new(weight: ShareWeight, class: PriorityClass, served: VirtualTime) -> Self {
        Self {
            weight,
            class,
            served,
            waiting: BTreeMap::new(),
            waiting_cost: 0,
            running: 0,
        }
    }

    /// Whether nothing of the account waits or runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    /// Virtual time at which the account is within its share, given the allowed burst.
    pub(crate) fn eligible_at(&self, burst: TokenCount) -> VirtualTime {
        VirtualTime(self.served.0 - VirtualTime::of_cost(burst, self.weight))
    }

    /// Waiting work for each unit of weight, by which the longest queue is found.
    pub(crate) fn backlog(&self) -> i128 {
        VirtualTime::of_cost(TokenCount(self.waiting_cost), self.weight)
    }

    /// Appends a request.
    pub(crate) fn append(&mut self, sequence: u64, request: WaitingRequest) {
        self.waiting_cost += request.cost.0;
        self.waiting.insert(sequence, request);
    }

    /// Takes a request out, wherever it stands.
    pub(crate) fn take(&mut self, sequence: u64) -> Option<WaitingRequest> {
        let request = self.waiting.remove(&sequence)?;
        self.waiting_cost -= request.cost.0;
        Some(request)
    }

    /// Charges work that was started or corrects an estimate.
    pub(crate) fn charge(&mut self, tokens: i128) {
        self.served.0 += tokens * VIRTUAL_TIME_PER_TOKEN / i128::from(self.weight.get());
    }
}
