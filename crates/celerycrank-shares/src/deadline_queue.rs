//! The queue of requests that are within their accounts' shares.

use std::collections::{BTreeMap, BTreeSet};

use celerycrank_config::PriorityClass;
use celerycrank_types::{AccountId, TimePoint, TokenCount};

use crate::{account::WaitingRequest, request::QueueRequest};

/// Sort key of a request: class, then latest start, then arrival sequence number.
type DeadlineKey = (PriorityClass, TimePoint, u64);

/// A waiting request with its account and class.
type DeadlineItem = (AccountId, PriorityClass, WaitingRequest);

/// Serves requests by class, and within a class by earliest deadline first.
///
/// No fair order over accounts is needed, since the homes grant no more than the accounts'
/// shares.
///
/// Invariant: `costs` holds the sum of the waiting requests' costs for each class.
#[derive(Debug, Default)]
pub(crate) struct DeadlineQueue {
    order: BTreeSet<DeadlineKey>,
    waiting: BTreeMap<u64, DeadlineItem>,
    costs: BTreeMap<PriorityClass, u64>,
}

impl DeadlineQueue {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Estimated work of all waiting requests.
    pub(crate) fn waiting_cost(&self) -> TokenCount {
        TokenCount(self.costs.values().sum())
    }

    /// Upper bound of the work that is served before a new request.
    pub(crate) fn work_ahead(&self, request: &QueueRequest) -> TokenCount {
        TokenCount(
            self.costs
                .range(..=request.class)
                .map(|(_, cost)| cost)
                .sum(),
        )
    }

    pub(crate) fn append(&mut self, request: &QueueRequest, sequence: u64, item: WaitingRequest) {
        self.order.insert((request.class, item.start_by, sequence));
        *self.costs.entry(request.class).or_default() += item.cost.0;
        let account = request.account.clone();
        self.waiting
            .insert(sequence, (account, request.class, item));
    }

    /// Removes a request from any position.
    pub(crate) fn remove(&mut self, sequence: u64) -> DeadlineItem {
        let (account, class, request) = self
            .waiting
            .remove(&sequence)
            .expect("a queue position refers to a waiting request");
        self.order.remove(&(class, request.start_by, sequence));
        if let Some(cost) = self.costs.get_mut(&class) {
            *cost -= request.cost.0;
        }
        (account, class, request)
    }

    /// Removes the request that is served next.
    pub(crate) fn start_first(&mut self) -> Option<DeadlineItem> {
        let (_, _, sequence) = *self.order.first()?;
        Some(self.remove(sequence))
    }

    /// The request that is served last.
    pub(crate) fn last(&self) -> Option<WaitingRequest> {
        let (_, _, sequence) = self.order.last()?;
        let (_, _, request) = self.waiting.get(sequence)?;
        Some(*request)
    }
}
