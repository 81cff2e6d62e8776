//! Orders to a rank.

use std::sync::Arc;

use crate::{ExpertMap, GroupEpoch, MapVersion, OrderSequence, StepNumber};

/// What a rank is to do.
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
    /// Take back a switch that has not begun.
    Disarm {
        /// The map to which the rank would have switched.
        version: MapVersion,
    },
    /// Keep the group from beginning a step.
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
/// Engines that count the orders of this kind carry it out only after exactly the number of
/// orders that it names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankOrder {
    /// What the rank is to do.
    pub action: RankAction,
    /// The forming of the group in which it is to be done.
    pub epoch: GroupEpoch,
    /// How many orders the rank has accepted before.
    pub expected: OrderSequence,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderAnswer {
    /// The rank has begun it, or its state holds already.
    Accepted,
    /// The rank does not carry it out.
    Refused,
    /// No answer came: it may have been carried out, or may be later.
    Unanswered,
}
