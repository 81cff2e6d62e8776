//! The state chart of forming a group.

use std::sync::LazyLock;

use celerycrank_chart::StateChart;
use serde::Deserialize;

/// States, events and actions of an agent that forms its group.
pub(super) type FormationChart = StateChart<FormationState, FormationEvent, FormationAction>;

/// The chart of one agent's part.
pub(super) static CHART: LazyLock<FormationChart> = LazyLock::new(|| {
    FormationChart::parse(include_str!("../../charts/formation.json"))
        .expect("the chart is part of the program")
});

/// Where an agent stands in forming its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FormationState {
    /// It has just started; orders of its previous life may still reach the engine.
    Draining,
    /// It leaves the next call to another agent for a while.
    Waiting,
    /// It has called and collects answers.
    Calling,
    /// It reads the group's record.
    Reading,
    /// It writes the group's record.
    Writing,
    /// It is a member of the newest incarnation that it knows.
    Inside,
    /// Another VM has taken its seat.
    Replaced,
}

/// What happens to an agent that forms its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum FormationEvent {
    Expire,
    Wanted,
    AllHere,
    Yield,
    Formed,
    Unseated,
    Replaced,
    Found,
    FoundOwn,
    FoundNewer,
    Written,
    Conflict,
    Unavailable,
}

/// What an agent does on an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum FormationAction {
    SendCall,
    RepeatCall,
    Read,
    Write,
    Enter,
    Announce,
    SendBeat,
}
