//! What a rank says of itself.

use celerycrank_types::GroupId;
use serde::{Deserialize, Serialize};

use crate::{GroupEpoch, MapVersion, MemberIndex, OrderSequence, StepNumber};

/// The place of a rank in its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankPlace {
    /// The group.
    pub group: GroupId,
    /// The group's present forming.
    pub epoch: GroupEpoch,
    /// The rank.
    pub rank: MemberIndex,
    /// Ranks in the group.
    pub size: u8,
    /// Whether the group works; it does not while a rank is missing.
    pub is_open: bool,
}

/// A switch that a rank makes by itself as a step begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArmedSwitch {
    /// The map to which the rank switches.
    pub version: MapVersion,
    /// The step that begins with it.
    pub step: StepNumber,
}

/// What a rank says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct RankReport {
    /// Its place in a group, if it has one.
    pub place: Option<RankPlace>,
    /// Marks one start of the engine.
    pub start_mark: u64,
    /// How many orders it has accepted.
    pub sequence: OrderSequence,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How many times slower than usual it works.
    pub pace: f64,
    /// The last step that has begun.
    pub step: StepNumber,
    /// The map in use.
    pub map: MapVersion,
    /// The map whose experts are all loaded.
    pub prepared: Option<MapVersion>,
    /// The switch that it will make.
    pub armed: Option<ArmedSwitch>,
    /// The step that the group does not begin until it is released.
    pub held: Option<StepNumber>,
}

/// The experts that one rank holds in the map in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankExpertLists {
    /// The map in use.
    pub version: MapVersion,
    /// Its experts, by set.
    pub experts: Vec<Vec<u16>>,
}
