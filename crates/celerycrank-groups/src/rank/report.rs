//! The report of a rank on its state.

use celerycrank_types::GroupId;
use serde::{Deserialize, Serialize};

use crate::{GroupEpoch, MapVersion, MemberIndex, OrderSequence, StepNumber};

/// The place of a rank in its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankPlace {
    /// The group.
    pub group: GroupId,
    /// The group's current epoch.
    pub epoch: GroupEpoch,
    /// The rank.
    pub rank: MemberIndex,
    /// The number of ranks in the group.
    pub size: u16,
    /// Whether the group serves requests; it does not while a rank is missing.
    pub is_open: bool,
}

/// A switch that a rank makes by itself at the beginning of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArmedSwitch {
    /// The map to which the rank switches.
    pub version: MapVersion,
    /// The first step that uses the map.
    pub step: StepNumber,
}

/// The report of a rank on its state.
#[derive(Debug, Clone, PartialEq)]
pub struct RankReport {
    /// The rank's place in a group, if it has one.
    pub place: Option<RankPlace>,
    /// Identifies one start of the engine.
    pub incarnation: u64,
    /// The number of orders that the rank has accepted.
    pub sequence: OrderSequence,
    /// The number of requests being processed.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The factor by which the rank is slower than usual.
    pub pace: f64,
    /// The last step that has begun.
    pub step: StepNumber,
    /// The active map.
    pub map: MapVersion,
    /// The prepared map, once all its experts are loaded.
    pub prepared: Option<MapVersion>,
    /// The switch for which the rank is armed.
    pub armed: Option<ArmedSwitch>,
    /// The step before which this rank holds the group until it is released.
    pub held: Option<StepNumber>,
}

/// The experts that one rank holds in the active map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankExpertLists {
    /// The active map.
    pub version: MapVersion,
    /// The rank's experts, by layer.
    pub experts: Vec<Vec<u16>>,
}
