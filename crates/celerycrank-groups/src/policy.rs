//! The placement policy: which experts to move, and when the gain exceeds the cost.

mod layer;
mod load;
mod pack;
mod placement;
mod setting;
mod spread;

pub use self::{
    load::{LoadEstimator, LoadTable},
    pack::full_repack,
    placement::{PlacementDecision, PlacementPolicy},
    setting::{PlacementError, PlacementPreset, PlacementSettings},
    spread::{SpreadLimits, spread_hot_experts},
};
