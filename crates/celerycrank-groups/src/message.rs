//! Messages between the agents of a group, and the orders to their engines.

use std::sync::Arc;

use celerycrank_types::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{
    AgentIncarnation, AttemptId, ExpertMap, GroupRecord, MapChange, MapId, MemberAssignment, StepNumber,
    VoteSet,
};

/// A message about an attempt to switch a group's map.
///
/// Each may arrive late, twice, in any order or never.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwitchMessage {
    /// The lead asks a member to load the weights of a change.
    Prepare {
        /// The attempt.
        attempt: AttemptId,
        /// What is to change.
        change: Arc<MapChange>,
    },
    /// A member holds the weights; it has promised nothing yet.
    Ready {
        /// The attempt.
        attempt: AttemptId,
        /// The step that the member's ranks begin next.
        next: StepNumber,
    },
    /// The lead asks for votes on the first step of the new map.
    Propose {
        /// The attempt.
        attempt: AttemptId,
        /// The first step that uses the new map.
        first: StepNumber,
    },
    /// The votes that the sender knows of.
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
            Self::Votes(board) => board.attempt,
        }
    }
}

/// Why a member votes no on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwitchRefusal {
    /// It takes part in another attempt.
    Busy,
    /// The change does not start from the map in force.
    OldVersion,
    /// The attempt was proposed without having been prepared here.
    NotPrepared,
    /// The weights could not be loaded.
    LoadFailed,
    /// The weights were not loaded in time.
    LoadTimeout,
    /// The lead did not propose in time.
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
    /// The sender wants to form the incarnation after this one and asks who is there.
    Call {
        /// The sender's life.
        #[serde(rename = "life")]
        agent_incarnation: AgentIncarnation,
        /// The newest incarnation that the sender knows of.
        known: Incarnation,
    },
    /// The sender is there.
    Hello(MemberHello),
    /// The record of a new incarnation, as the key-value service accepted it.
    Formed(Arc<GroupRecord>),
    /// The newest incarnation that the sender knows of; whoever knows a newer one answers.
    Beat(Incarnation),
    /// The sender has entered this incarnation.
    Joined(Incarnation),
}

/// What an agent says of itself when a group is formed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHello {
    /// The seat that it takes.
    pub seat: MemberAssignment,
    /// The incarnation in which its map was in force; 0 for none.
    pub incarnation: Incarnation,
    /// Its map in force, unless it has just started.
    pub map: Option<Arc<ExpertMap>>,
}

/// An order of an agent to its engine.
///
/// The fencing number of an order is its incarnation. Engines may ignore it, so an agent
/// gives no order on behalf of an incarnation that it has left.
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
    /// Load the weights of a change beside those in use.
    Load {
        /// The attempt.
        attempt: AttemptId,
        /// What to load.
        change: Arc<MapChange>,
    },
    /// Do not begin `first` or any later step until told.
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
    /// Go on with the map in force; ends the hold and drops what was loaded.
    Release {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// What an engine tells its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineReport {
    /// The weights of the attempt are loaded.
    Loaded(AttemptId),
    /// The weights of the attempt could not be loaded.
    LoadFailed(AttemptId),
    /// The engine holds; `next` is the step that it begins next.
    Held {
        /// The attempt.
        attempt: AttemptId,
        /// The step that the engine begins next, at the time of the report.
        next: StepNumber,
    },
    /// How far the engine has got; may lag.
    Progress {
        /// The incarnation in which it runs.
        incarnation: Incarnation,
        /// The step that it begins next.
        next: StepNumber,
    },
}
