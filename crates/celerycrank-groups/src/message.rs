//! Messages between the agents of a group, and the orders to their engines.

use std::sync::Arc;

use celerycrank_types::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{
    AgentIncarnation, AttemptId, ExpertMap, GroupRecord, MapChange, MapId, MemberAssignment,
    StepNumber, VoteSet,
};

/// A message about an attempt to switch a group's map.
///
/// Messages may be delayed, duplicated, reordered or lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwitchMessage {
    /// The leader asks a member to load the weights of a change.
    Prepare {
        /// The attempt.
        attempt: AttemptId,
        /// The change of the map.
        change: Arc<MapChange>,
    },
    /// A member has loaded the weights; it has not voted yet.
    Ready {
        /// The attempt.
        attempt: AttemptId,
        /// The next step that the member's ranks begin.
        next: StepNumber,
    },
    /// The leader asks for votes on the first step of the new map.
    Propose {
        /// The attempt.
        attempt: AttemptId,
        /// The first step that uses the new map.
        first: StepNumber,
    },
    /// The votes that the sender knows.
    Votes(VoteSet),
}

impl SwitchMessage {
    /// The attempt that the message is about.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        match self {
            Self::Prepare { attempt, .. }
            | Self::Ready { attempt, .. }
            | Self::Propose { attempt, .. } => *attempt,
            Self::Votes(votes) => votes.attempt,
        }
    }
}

/// Why a member votes no on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwitchRefusal {
    /// The member takes part in another attempt.
    Busy,
    /// The change does not start from the active map.
    OldVersion,
    /// The attempt was proposed, but this member has not prepared it.
    NotPrepared,
    /// The weights could not be loaded.
    LoadFailed,
    /// The weights were not loaded in time.
    LoadTimeout,
    /// The leader did not propose in time.
    ProposeTimeout,
    /// The engine had passed the first step of the new map.
    TooLate,
    /// The engine did not confirm its hold in time.
    HoldTimeout,
}

impl SwitchRefusal {
    /// The label under which refusals are counted.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::OldVersion => "old_version",
            Self::NotPrepared => "not_prepared",
            Self::LoadFailed => "load_failed",
            Self::LoadTimeout => "load_timeout",
            Self::ProposeTimeout => "propose_timeout",
            Self::TooLate => "too_late",
            Self::HoldTimeout => "hold_timeout",
        }
    }
}

/// A message about forming a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FormationMessage {
    /// The sender wants to form the incarnation after `known` and asks which members are
    /// available.
    Call {
        /// The incarnation of the sender's agent process.
        #[serde(rename = "life")]
        agent_incarnation: AgentIncarnation,
        /// The newest incarnation of the group that the sender knows.
        known: Incarnation,
    },
    /// The sender is available.
    Hello(MemberHello),
    /// The record of a new incarnation, as the key-value service accepted it.
    Formed(Arc<GroupRecord>),
    /// A heartbeat with the newest incarnation that the sender knows; a receiver that knows a
    /// newer one replies.
    Beat(Incarnation),
    /// The sender has entered this incarnation.
    Joined(Incarnation),
}

/// The state that an agent reports when a group is formed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHello {
    /// The agent's VM and process incarnation.
    #[serde(rename = "seat")]
    pub assignment: MemberAssignment,
    /// The incarnation in which the agent's map was active; 0 for none.
    pub incarnation: Incarnation,
    /// The agent's active map, unless the agent has just started.
    pub map: Option<Arc<ExpertMap>>,
}

/// An order of an agent to its engine.
///
/// The fencing number of an order is its incarnation. Engines may ignore it, so an agent
/// sends no order on behalf of an incarnation that it has left.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Leave any older incarnation and begin step 0 of this one with the map.
    Form {
        /// The new incarnation.
        incarnation: Incarnation,
        /// Its first map.
        map: Arc<ExpertMap>,
    },
    /// Load the weights of a change and keep those in use.
    Load {
        /// The attempt.
        attempt: AttemptId,
        /// The change to load.
        change: Arc<MapChange>,
    },
    /// Do not begin `first` or any later step until a switch or a release is ordered.
    Hold {
        /// The attempt.
        attempt: AttemptId,
        /// The step to hold before.
        first: StepNumber,
    },
    /// Use the new map from `first` on; ends the hold.
    Switch {
        /// The attempt.
        attempt: AttemptId,
        /// The first step that uses the new map.
        first: StepNumber,
        /// The new map.
        map: MapId,
    },
    /// Continue with the active map; ends the hold and discards the loaded weights.
    Release {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// A report of an engine to its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineReport {
    /// The weights of the attempt are loaded.
    Loaded(AttemptId),
    /// The weights of the attempt could not be loaded.
    LoadFailed(AttemptId),
    /// The engine confirms the hold.
    Held {
        /// The attempt.
        attempt: AttemptId,
        /// The next step that the engine begins, as of the report.
        next: StepNumber,
    },
    /// The progress of the engine; may lag.
    Progress {
        /// The incarnation in which it runs.
        incarnation: Incarnation,
        /// The next step that it begins.
        next: StepNumber,
    },
}
