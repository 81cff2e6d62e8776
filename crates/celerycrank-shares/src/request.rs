//! The inputs and outputs of a fair queue.

use celerycrank_config::PriorityClass;
use celerycrank_types::{
    AccountId, RefusalReason, RequestId, ShareWeight, TimePoint, TimeSpan, TokenCount,
};
use smallvec::SmallVec;

/// Whether a request is within its account's share of the whole fleet.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum ShareBand {
    /// Granted by the account's home as part of the account's share; served first.
    Within,
    /// Exceeds the share; served from the capacity that is left.
    Excess,
}

/// The order of service: requests within their shares by class, then all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatchPriority {
    WithinHigh,
    WithinNormal,
    WithinLow,
    Excess,
}

impl DispatchPriority {
    /// Number of priorities.
    pub(crate) const COUNT: usize = 4;

    pub(crate) const fn of(band: ShareBand, class: PriorityClass) -> Self {
        match (band, class) {
            (ShareBand::Excess, _) => Self::Excess,
            (ShareBand::Within, PriorityClass::High) => Self::WithinHigh,
            (ShareBand::Within, PriorityClass::Normal) => Self::WithinNormal,
            (ShareBand::Within, PriorityClass::Low) => Self::WithinLow,
        }
    }

    /// Position in the order of service, starting at zero.
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

/// A request to be queued.
#[derive(Debug, Clone, PartialEq, Eq, bon::Builder)]
pub struct QueueRequest {
    /// The request's id.
    pub id: RequestId,
    /// The account that is charged.
    pub account: AccountId,
    /// The account's weight in the distribution of contended capacity.
    pub weight: ShareWeight,
    /// The priority class that orders requests as long as the account is within its share.
    pub class: PriorityClass,
    /// Whether the request is within the account's share.
    #[builder(default = ShareBand::Excess)]
    pub band: ShareBand,
    /// Estimated work; corrected by [`FairQueue::settle`](crate::FairQueue::settle).
    pub cost: TokenCount,
    /// The latest time at which it may start.
    pub start_by: TimePoint,
}

/// A request that this queue did not start and will not start later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// The request's id.
    pub id: RequestId,
    /// Why it was not started.
    pub reason: RefusalReason,
    /// Time after which a similar request is expected to be accepted.
    pub retry_after: TimeSpan,
}

/// A request that has taken a slot of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartedRequest {
    /// The request's id.
    pub id: RequestId,
    /// How long it waited in the queue.
    pub waited: TimeSpan,
}

/// The requests that were started and refused by [`FairQueue::advance`](crate::FairQueue::advance).
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct QueueStep {
    /// Requests to start now, in this order.
    pub started: SmallVec<[StartedRequest; 4]>,
    /// Requests whose latest start time has passed.
    pub refused: SmallVec<[QueueRefusal; 4]>,
}
