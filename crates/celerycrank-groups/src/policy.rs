//! The placement policy: what to move, and when it is worth it.

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
