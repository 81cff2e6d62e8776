//! Expert maps of lock-step groups: the switch protocol and the placement policy.
//!
//! Nothing here performs I/O or reads a clock. [`SwitchMember`] and [`SwitchLeader`] switch a
//! group from one map to the next; [`FormationMember`] re-forms the group after the loss of a
//! rank. [`RankAgent`] switches maps of groups whose engines do so by themselves.
//! [`PlacementPolicy`] decides which experts to move.

mod agent;
mod audit;
mod formation;
mod map;
mod message;
mod number;
mod policy;
mod rank;
pub mod simulation;
mod switch;

pub use crate::{
    agent::{AgentOutput, GroupAgent, GroupAgentSettings, GroupMessage},
    audit::StepAudit,
    formation::{
        FormationMember, FormationOutput, FormationState, FormationTimes, GroupRecord,
        MemberAssignment, RecordAnswer, StoredRecord,
    },
    map::{ExpertIndex, ExpertMap, MapChange, MapShape, ShapeError, WeightCopy},
    message::{
        EngineOrder, EngineReport, FormationMessage, MemberHello, SwitchMessage, SwitchRefusal,
    },
    number::{
        AgentIncarnation, AttemptId, AttemptNumber, GroupEpoch, MapId, MapVersion, MemberIndex,
        MemberSet, OrderSequence, RecordRequestId, StepNumber,
    },
    policy::{
        LoadEstimator, LoadTable, PlacementDecision, PlacementError, PlacementPolicy,
        PlacementPreset, PlacementSettings, SpreadLimits, full_repack, spread_hot_experts,
    },
    rank::{
        ArmedSwitch, CountWindow, LeaderEvent, LinkPacer, LoadMonitor, MapDelta, MapProposal,
        OrderAnswer, RankAction, RankAgent, RankAttemptId, RankExpertLists, RankLeader, RankMember,
        RankMessage, RankOrder, RankOutput, RankOutputs, RankPlace, RankReport, RankTimes,
        SearchBackoff,
    },
    switch::{
        MemberState, SwitchLeader, SwitchMember, SwitchOutput, SwitchTimes, SwitchVerdict,
        VoteHistory, VoteSet,
    },
};
