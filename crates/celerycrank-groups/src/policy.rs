//! The placement policy: what to move, and when it is worth it.

mod layer;
mod load;
mod pack;
mod placement;
mod setting;

pub use self::{
    load::{LoadEstimator, LoadTable},
    pack::full_repack,
    placement::{PlacementDecision, PlacementPolicy},
    setting::{PlacementFault, PlacementPreset, PlacementSettings},
};
