//! The order of requests that are within their accounts' shares.

use std::collections::{BTreeMap, BTreeSet};

use celerycrank_config::PriorityClass;
use celerycrank_types::{AccountId, TimePoint, TokenCount};

use crate::{account::WaitingRequest, request::QueueRequest};

/// Place of a request: by class, then by latest start, then by arrival.
type DeadlineKey = (PriorityClass, TimePoint, u64);

/// A waiting request with its account and class.
type DeadlineItem = (AccountId, PriorityClass, WaitingRequest);

/// Earliest deadline first, within each class.
///
/// The accounts need no fair order here: their homes grant no more than their shares.
///
/// Invariant: `costs` holds the sum of the waiting requests' costs for each class.
#[derive(Debug, Default)]
pub(crate) struct DeadlineQueue {
    order: BTreeSet<DeadlineKey>,
    waiting: BTreeMap<u64, DeadlineItem>,
    costs: BTreeMap<PriorityClass, u64>,
}

impl DeadlineQueue {
    /// Number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Estimated work of all that waits.
    pub(crate) fn waiting_cost(&self) -> TokenCount {
        TokenCount(self.costs.values().sum())
    }

    /// Work that may be served before a new request.
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

    /// Takes a request out, wherever it stands.
    pub(crate) fn remove(&mut self, sequence: u64) -> DeadlineItem {
        let (account, class, request) = self
            .waiting
            .remove(&sequence)
            .expect("a place names a waiting request");
        self.order.remove(&(class, request.start_by, sequence));
        if let Some(cost) = self.costs.get_mut(&class) {
            *cost -= request.cost.0;
        }
        (account, class, request)
    }

    /// Takes out the request that goes first.
    pub(crate) fn start_first(&mut self) -> Option<DeadlineItem> {
        let (_, _, sequence) = *self.order.first()?;
        Some(self.remove(sequence))
    }

    /// The request that goes last.
    pub(crate) fn last(&self) -> Option<WaitingRequest> {
        let (_, _, sequence) = self.order.last()?;
        let (_, _, request) = self.waiting.get(sequence)?;
        Some(*request)
    }
}
