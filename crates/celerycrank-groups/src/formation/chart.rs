//! The state chart of the formation protocol.

use std::sync::LazyLock;

use celerycrank_chart::StateChart;
use serde::Deserialize;

/// The states, events and actions of an agent in the formation protocol.
pub(super) type FormationChart = StateChart<FormationState, FormationEvent, FormationAction>;

/// The parsed `charts/formation.json`.
pub(super) static CHART: LazyLock<FormationChart> = LazyLock::new(|| {
    FormationChart::parse(include_str!("../../charts/formation.json"))
        .expect("the embedded formation chart is valid")
});

/// An agent's state in the formation protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FormationState {
    /// The agent has just started; orders of its previous incarnation may still reach the engine.
    Draining,
    /// The agent gives other agents time to call for a new incarnation first.
    Waiting,
    /// The agent has called for a new incarnation and collects answers.
    Calling,
    /// The agent reads the group's record.
    Reading,
    /// The agent writes the group's record.
    Writing,
    /// The agent is a member of the newest incarnation that it knows of.
    Inside,
    /// The VM list assigns the agent's member index to another VM.
    Replaced,
}

/// An event in the formation protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum FormationEvent {
    /// The timer of the state expired.
    Expire,
    /// This agent requests a new incarnation.
    Wanted,
    /// Every member has answered the call.
    AllHere,
    /// A member with a lower index called.
    Yield,
    /// A newer record arrived, in which this agent is a member.
    Formed,
    /// A newer record arrived, in which this agent is not a member.
    Unseated,
    /// The VM list assigns this member index to another VM.
    Replaced,
    /// The record was read; it is not newer or does not include this agent, so this agent may write
    /// one.
    Found,
    /// The stored record is newer than the known one and this agent wrote it.
    FoundOwn,
    /// The stored record is newer than the known one and includes this agent.
    FoundNewer,
    /// The write took effect.
    Written,
    /// The stored revision differed, so the write had no effect.
    Conflict,
    /// No answer arrived; a write may or may not have taken effect.
    Unavailable,
}

/// An action on a transition.
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
