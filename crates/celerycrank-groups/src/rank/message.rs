//! Messages between the agents of a group.

use std::{fmt, sync::Arc};

use celerycrank_types::GroupId;
use serde::{Deserialize, Serialize};

use crate::{
    AgentIncarnation, ArmedSwitch, AttemptNumber, ExpertMap, GroupEpoch, MapVersion, MemberIndex,
    RankExpertLists, StepNumber,
};

/// Names one attempt to switch a group's map.
///
/// Invariant: one incarnation of the lead uses each number once, in rising order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RankAttemptId {
    /// The incarnation of the lead's agent.
    pub incarnation: AgentIncarnation,
    /// Which attempt of that incarnation.
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
    /// An agent tells which rank it stands beside.
    Hello {
        /// The group.
        group: GroupId,
        /// The group's forming.
        epoch: GroupEpoch,
        /// The rank.
        rank: MemberIndex,
        /// The agent's incarnation.
        incarnation: AgentIncarnation,
        /// The highest map version that the agent has heard of.
        highest: MapVersion,
    },
    /// The lead has a rank load a map.
    Prepare {
        /// The attempt.
        attempt: RankAttemptId,
        /// The group's forming.
        epoch: GroupEpoch,
        /// The map.
        map: Arc<ExpertMap>,
    },
    /// A rank has loaded the map.
    Prepared {
        /// The attempt.
        attempt: RankAttemptId,
        /// Whether the rank answered the order at once; if not, others may come late too.
        is_prompt: bool,
    },
    /// The lead has a rank armed; the group is held before the step.
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
        /// The highest map version that the agent has heard of.
        highest: MapVersion,
    },
    /// The lead takes an attempt back.
    Clear {
        /// The attempt, or a later one that armed nothing.
        attempt: RankAttemptId,
        /// The group's forming.
        epoch: GroupEpoch,
        /// The map in use under a version that no rank has had; loading it voids the others.
        map: Arc<ExpertMap>,
    },
    /// A rank is not armed, and nothing that was ordered before can arm it any more.
    Cleared {
        /// The attempt.
        attempt: RankAttemptId,
    },
    /// The lead asks what a rank is armed for.
    AskArmed {
        /// The question's name.
        attempt: RankAttemptId,
    },
    /// What a rank is armed for.
    ArmedState {
        /// The question's name.
        attempt: RankAttemptId,
        /// The switch that it will make.
        armed: Option<ArmedSwitch>,
    },
    /// The lead asks which experts a rank holds.
    AskLists,
    /// The experts that a rank holds.
    Lists(RankExpertLists),
}

impl RankMessage {
    /// The incarnation of the lead that sent the message, where it says so.
    #[must_use]
    pub const fn leader_incarnation(&self) -> Option<AgentIncarnation> {
        match self {
            Self::Hello { incarnation, .. } => Some(*incarnation),
            Self::Prepare { attempt, .. }
            | Self::Arm { attempt, .. }
            | Self::AskArmed { attempt }
            | Self::Clear { attempt, .. } => Some(attempt.incarnation),
            _ => None,
        }
    }

    /// The attempt that a rank answers, where the message is an answer.
    #[must_use]
    pub const fn answered_attempt(&self) -> Option<RankAttemptId> {
        match self {
            Self::Prepared { attempt, .. }
            | Self::Armed { attempt }
            | Self::Cleared { attempt }
            | Self::ArmedState { attempt, .. }
            | Self::Failed { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}
