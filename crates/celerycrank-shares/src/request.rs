//! What goes into a fair queue and what comes out.

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
    /// The account's home granted it as part of the account's share; goes first.
    Within,
    /// It takes what the others leave.
    Excess,
}

/// Which requests go before which: those within their shares by class, then the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatchPriority {
    WithinHigh,
    WithinNormal,
    WithinLow,
    Excess,
}

impl DispatchPriority {
    /// Number of ranks.
    pub(crate) const COUNT: usize = 4;

    pub(crate) const fn of(band: ShareBand, class: PriorityClass) -> Self {
        match (band, class) {
            (ShareBand::Excess, _) => Self::Excess,
            (ShareBand::Within, PriorityClass::High) => Self::WithinHigh,
            (ShareBand::Within, PriorityClass::Normal) => Self::WithinNormal,
            (ShareBand::Within, PriorityClass::Low) => Self::WithinLow,
        }
    }

    /// Position in the order, the first at zero.
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

/// A request that asks for a place in a fair queue.
#[derive(Debug, Clone, PartialEq, Eq, bon::Builder)]
pub struct QueueRequest {
    /// The request's id.
    pub id: RequestId,
    /// The account that is charged.
    pub account: AccountId,
    /// The account's part of contended capacity.
    pub weight: ShareWeight,
    /// Whether the request goes first while its account is within its share.
    pub class: PriorityClass,
    /// Whether the request is within the account's share.
    #[builder(default = ShareBand::Excess)]
    pub band: ShareBand,
    /// Estimated work; corrected by [`FairQueue::settle`](crate::FairQueue::settle).
    pub cost: TokenCount,
    /// Latest point at which it may start.
    pub start_by: TimePoint,
}

/// A request that was not started, and never will be by this queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// The request's id.
    pub id: RequestId,
    /// Why it was not started.
    pub reason: RefusalReason,
    /// After which time a request like it is expected to be accepted.
    pub retry_after: TimeSpan,
}

/// A request that has taken a slot of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartedRequest {
    /// The request's id.
    pub id: RequestId,
    /// How long it stood in the queue.
    pub waited: TimeSpan,
}

/// What the passing of time, or a freed slot, brought about.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct QueueStep {
    /// Requests to be started now, in this order.
    pub started: SmallVec<[StartedRequest; 4]>,
    /// Requests whose latest start has passed.
    pub refused: SmallVec<[QueueRefusal; 4]>,
}
