//! Messages between the agents of a group.

use std::{fmt, sync::Arc};

use celerycrank_types::GroupId;
use serde::{Deserialize, Serialize};

use crate::{
    AgentIncarnation, ArmedSwitch, AttemptNumber, ExpertMap, GroupEpoch, MapDelta, MapVersion,
    MemberIndex, RankExpertLists, StepNumber,
};

/// Identifies one attempt to switch a group's map.
///
/// Invariant: one incarnation of the leader uses each number once, in increasing order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RankAttemptId {
    /// The incarnation of the leader's agent.
    pub incarnation: AgentIncarnation,
    /// The number of the attempt in that incarnation.
    pub number: AttemptNumber,
}

impl fmt::Display for RankAttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{}", self.incarnation.0, self.number)
    }
}

/// A message between the agents of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankMessage {
    /// An agent announces the rank that it controls.
    Hello {
        /// The group.
        group: GroupId,
        /// The group's epoch.
        epoch: GroupEpoch,
        /// The rank.
        rank: MemberIndex,
        /// The agent's incarnation.
        incarnation: AgentIncarnation,
        /// The highest map version that the agent knows.
        highest: MapVersion,
    },
    /// The leader asks a rank to load a map.
    Prepare {
        /// The attempt.
        attempt: RankAttemptId,
        /// The group's epoch.
        epoch: GroupEpoch,
        /// The map.
        map: Arc<ExpertMap>,
    },
    /// A rank has loaded the map.
    Prepared {
        /// The attempt.
        attempt: RankAttemptId,
        /// Whether every order of the attempt was answered in time; if not, the orders of other
        /// ranks may be delayed too.
        is_prompt: bool,
    },
    /// The leader asks a rank to arm a switch; the group is held before the step.
    Arm {
        /// The attempt.
        attempt: RankAttemptId,
        /// The step.
        step: StepNumber,
    },
    /// A rank is armed.
    Armed {
        /// The attempt.
        attempt: RankAttemptId,
    },
    /// A rank cannot do what the attempt asks.
    Failed {
        /// The attempt.
        attempt: RankAttemptId,
        /// The highest map version that the agent knows.
        highest: MapVersion,
    },
    /// The leader rolls an attempt back.
    Clear {
        /// The attempt, or a later one that armed nothing.
        attempt: RankAttemptId,
        /// The group's epoch.
        epoch: GroupEpoch,
        /// The active map with a version that no rank has had; loading it invalidates all
        /// other prepared maps.
        map: Arc<ExpertMap>,
    },
    /// A rank is not armed, and no earlier order can arm it any more.
    Cleared {
        /// The attempt.
        attempt: RankAttemptId,
    },
    /// The leader asks a rank for its armed switch.
    AskArmed {
        /// The identifier of the query.
        attempt: RankAttemptId,
    },
    /// The switch for which a rank is armed.
    ArmedState {
        /// The identifier of the query.
        attempt: RankAttemptId,
        /// The switch, if the rank is armed.
        armed: Option<ArmedSwitch>,
    },
    /// The leader asks which experts a rank holds.
    AskLists,
    /// The experts that a rank holds.
    Lists(RankExpertLists),
    /// [`Self::Prepare`] as it is sent between agents.
    PrepareDelta {
        /// The attempt.
        attempt: RankAttemptId,
        /// The group's epoch.
        epoch: GroupEpoch,
        /// The map.
        delta: Arc<MapDelta>,
    },
    /// [`Self::Clear`] as it is sent between agents.
    ClearDelta {
        /// The attempt, or a later one that armed nothing.
        attempt: RankAttemptId,
        /// The group's epoch.
        epoch: GroupEpoch,
        /// The active map with a version that no rank has had.
        delta: Arc<MapDelta>,
    },
    /// A rank does not hold the map from which the last one of the attempt was to be derived.
    UnknownBase {
        /// The attempt.
        attempt: RankAttemptId,
    },
}

impl RankMessage {
    /// The incarnation of the leader that sent the message, if the message names it.
    #[must_use]
    pub const fn leader_incarnation(&self) -> Option<AgentIncarnation> {
        match self {
            Self::Hello { incarnation, .. } => Some(*incarnation),
            Self::Prepare { attempt, .. }
            | Self::PrepareDelta { attempt, .. }
            | Self::Arm { attempt, .. }
            | Self::AskArmed { attempt }
            | Self::ClearDelta { attempt, .. }
            | Self::Clear { attempt, .. } => Some(attempt.incarnation),
            _ => None,
        }
    }

    /// The map that the message carries, if it carries a whole one.
    pub(crate) const fn map(&self) -> Option<&Arc<ExpertMap>> {
        match self {
            Self::Prepare { map, .. } | Self::Clear { map, .. } => Some(map),
            _ => None,
        }
    }

    /// The attempt of a leader's message with a whole map.
    pub(crate) const fn leader_attempt(&self) -> Option<RankAttemptId> {
        match self {
            Self::Prepare { attempt, .. } | Self::Clear { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }

    /// Replaces a whole map by its difference from another one; without a difference, the
    /// message stays as it is.
    #[must_use]
    pub(crate) fn with_delta(self, delta: Option<MapDelta>) -> Self {
        match (self, delta.map(Arc::new)) {
            (Self::Prepare { attempt, epoch, .. }, Some(delta)) => Self::PrepareDelta {
                attempt,
                epoch,
                delta,
            },
            (Self::Clear { attempt, epoch, .. }, Some(delta)) => Self::ClearDelta {
                attempt,
                epoch,
                delta,
            },
            (message, _) => message,
        }
    }

    /// Replaces a difference by the whole map that was derived from it.
    #[must_use]
    pub(crate) fn with_map(self, map: Arc<ExpertMap>) -> Self {
        match self {
            Self::PrepareDelta { attempt, epoch, .. } => Self::Prepare {
                attempt,
                epoch,
                map,
            },
            Self::ClearDelta { attempt, epoch, .. } => Self::Clear {
                attempt,
                epoch,
                map,
            },
            message => message,
        }
    }

    /// The attempt to which the message is an answer, if it is one.
    #[must_use]
    pub const fn answered_attempt(&self) -> Option<RankAttemptId> {
        match self {
            Self::Prepared { attempt, .. }
            | Self::Armed { attempt }
            | Self::Cleared { attempt }
            | Self::ArmedState { attempt, .. }
            | Self::UnknownBase { attempt }
            | Self::Failed { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}
