//! The state chart of one member's part in a switch.

use std::sync::LazyLock;

use celerycrank_chart::StateChart;
use serde::Deserialize;

/// States, events and actions of a member.
pub(super) type MemberChart = StateChart<MemberState, MemberEvent, MemberAction>;

/// The chart of one member's part.
pub(super) static CHART: LazyLock<MemberChart> = LazyLock::new(|| {
    MemberChart::parse(include_str!("../../charts/member.json"))
        .expect("the chart is part of the program")
});

/// Where a member stands in an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes part in no attempt.
    Steady,
    /// Its engine loads the weights.
    Loading,
    /// Its engine holds the weights; it has promised nothing.
    Ready,
    /// Its engine was ordered to hold before the first step of the new map.
    Holding,
    /// It has voted yes and may not decide alone.
    Bound,
}

/// What happens to a member in an attempt.
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

/// What a member does on an event.
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
