//! Orders to a rank.

use std::sync::Arc;

use crate::{ExpertMap, GroupEpoch, MapVersion, OrderSequence, StepNumber};

/// An action that a rank is ordered to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RankAction {
    /// Load the experts of a map.
    Prepare(Arc<ExpertMap>),
    /// Switch to a prepared map as a step begins.
    Arm {
        /// The map.
        version: MapVersion,
        /// The step.
        step: StepNumber,
    },
    /// Cancel a switch that has not begun.
    Disarm {
        /// The map to which the rank would have switched.
        version: MapVersion,
    },
    /// Prevent the group from beginning a step.
    Hold {
        /// The step.
        step: StepNumber,
    },
    /// Let the group begin the step before which it is held.
    Release {
        /// The step.
        step: StepNumber,
    },
}

/// An order to a rank.
///
/// Engines that count the orders of this kind execute an order only if they have accepted
/// exactly the expected number of orders before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankOrder {
    /// The action to perform.
    pub action: RankAction,
    /// The epoch of the group in which the order is valid.
    pub epoch: GroupEpoch,
    /// The number of orders that the rank has accepted before.
    pub expected: OrderSequence,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderAnswer {
    /// The rank has begun to execute the order, or is already in the resulting state.
    Accepted,
    /// The rank does not execute the order.
    Refused,
    /// No answer arrived: the order may have been executed, or may still be.
    Unanswered,
}
