//! The queue of one account in a fair queue.

use std::collections::BTreeMap;

use celerycrank_config::PriorityClass;
use celerycrank_types::{RequestId, ShareWeight, TimePoint, TokenCount};

/// Virtual time that one token takes at weight one.
const VIRTUAL_TIME_PER_TOKEN: i128 = 1 << 20;

/// A point in virtual time, which measures tokens served per unit of weight.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(pub(crate) i128);

impl VirtualTime {
    /// The virtual time that a cost takes at a weight.
    pub(crate) fn of_cost(cost: TokenCount, weight: ShareWeight) -> i128 {
        i128::from(cost.0) * VIRTUAL_TIME_PER_TOKEN / i128::from(weight.get())
    }

    /// The number of tokens by which this point is ahead of another, at a weight.
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

/// One account's waiting requests and its position in virtual time.
#[derive(Debug, Clone)]
pub(crate) struct AccountQueue {
    pub(crate) weight: ShareWeight,
    pub(crate) class: PriorityClass,
    /// The virtual time up to which the account has been served.
    pub(crate) served: VirtualTime,
    /// Waiting requests, keyed by arrival sequence number.
    pub(crate) waiting: BTreeMap<u64, WaitingRequest>,
    /// Invariant: equals the sum of the costs in `waiting`.
    pub(crate) waiting_cost: u64,
    /// Number of requests that hold a slot.
    pub(crate) running: u32,
}

impl AccountQueue {
    /// Creates an account without waiting or running requests.
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

    /// Whether the account has neither waiting nor running requests.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    /// The virtual time from which the account is eligible, given the allowed burst.
    pub(crate) fn eligible_at(&self, burst: TokenCount) -> VirtualTime {
        VirtualTime(self.served.0 - VirtualTime::of_cost(burst, self.weight))
    }

    /// Waiting work per unit of weight, by which the most backlogged account is found.
    pub(crate) fn backlog(&self) -> i128 {
        VirtualTime::of_cost(TokenCount(self.waiting_cost), self.weight)
    }

    pub(crate) fn append(&mut self, sequence: u64, request: WaitingRequest) {
        self.waiting_cost += request.cost.0;
        self.waiting.insert(sequence, request);
    }

    /// Removes a request from any position.
    pub(crate) fn take(&mut self, sequence: u64) -> Option<WaitingRequest> {
        let request = self.waiting.remove(&sequence)?;
        self.waiting_cost -= request.cost.0;
        Some(request)
    }

    /// Charges the account for a started request, or corrects an earlier estimate.
    pub(crate) fn charge(&mut self, tokens: i128) {
        self.served.0 += tokens * VIRTUAL_TIME_PER_TOKEN / i128::from(self.weight.get());
    }
}
