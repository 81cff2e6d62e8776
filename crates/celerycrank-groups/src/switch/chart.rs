//! The state chart of a member in the switch protocol.

use std::sync::LazyLock;

use celerycrank_chart::StateChart;
use serde::Deserialize;

/// The states, events and actions of a member.
pub(super) type MemberChart = StateChart<MemberState, MemberEvent, MemberAction>;

/// The parsed `charts/member.json`.
pub(super) static CHART: LazyLock<MemberChart> = LazyLock::new(|| {
    MemberChart::parse(include_str!("../../charts/member.json"))
        .expect("the embedded member chart is valid")
});

/// A member's state in the switch protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member takes part in no attempt.
    Steady,
    /// The engine loads the weights.
    Loading,
    /// The engine has loaded the weights; the member has not voted and can still abort.
    Ready,
    /// The engine was ordered to stop before the first step of the new map.
    Holding,
    /// The member has voted yes, so only the votes of the others can end the attempt.
    Bound,
}

/// An event in an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum MemberEvent {
    Prepare,
    Loaded,
    LoadFailed,
    Propose,
    Held,
    TooLate,
    Commit,
    Abort,
    Expire,
}

/// An action on a transition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum MemberAction {
    Load,
    SayReady,
    Hold,
    VoteYes,
    VoteNo,
    SendVotes,
    Switch,
    Release,
}
