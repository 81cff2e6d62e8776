//! The placement policy: settings, completeness of maps, bursts and lasting changes.

use celerycrank_groups::{
    ExpertMap, LoadTable, MapShape, PlacementError, PlacementPolicy, PlacementPreset,
    PlacementSettings, full_repack,
};
use celerycrank_types::{TimePoint, TimeSpan};

const SHAPE: MapShape = MapShape {
    layers: 60,
    experts: 16,
    ranks: 8,
    slots: 3,
};
const HOT_EXPERT: usize = 5;

fn loads(hot: f64) -> LoadTable {
    let mut table = LoadTable::new(SHAPE);
    for layer in 0..usize::from(SHAPE.layers) {
        table.layer_mut(layer).fill(100.0);
        table.layer_mut(layer)[HOT_EXPERT] = 100.0 * hot;
    }
    table
}

/// Runs a preset for four hours and returns the number of loads and the final map.
///
/// `hot` returns the load factor of the hot expert in a minute.
fn run_preset(preset: PlacementPreset, hot: impl Fn(u64) -> f64) -> (usize, ExpertMap) {
    let mut policy = PlacementPolicy::new(PlacementSettings::preset(preset));
    let mut map = ExpertMap::round_robin(SHAPE);
    map = map.successor(&full_repack(&map, &loads(1.0)));
    let mut count = 0;
    for minute in 1..240 {
        let now = TimePoint::default() + TimeSpan::from_secs(60 * minute);
        policy.observe(now, &loads(hot(minute)));
        let decision = policy.decide(now, &map);
        assert!(decision.weight_copies.is_empty() || decision.gain_seconds > decision.cost_seconds);
        if !decision.weight_copies.is_empty() {
            count += decision.weight_copies.len();
            map = map.successor(&decision.weight_copies);
        }
        assert!(
            map.is_complete(),
            "the map is incomplete at minute {minute}"
        );
    }
    (count, map)
}

#[test]
fn presets_are_valid_settings() {
    for preset in [PlacementPreset::AuctionHouse, PlacementPreset::CoOp] {
        assert_eq!(PlacementSettings::preset(preset).errors(), []);
    }
}

#[test]
fn all_errors_are_reported_together() {
    let mut settings = PlacementSettings::preset(PlacementPreset::CoOp);
    settings.skew_weight = f64::NAN;
    settings.horizon = TimeSpan::ZERO;
    settings.recent = TimeSpan::from_secs(7_200);
    let errors = settings.errors();
    assert!(matches!(
        errors[..],
        [
            PlacementError::Weight(_),
            PlacementError::Zero("horizon"),
            PlacementError::Memory
        ]
    ));
}

#[test]
fn a_burst_moves_nothing_at_the_co_op() {
    for start in (60..90).step_by(3) {
        let is_burst = |minute| (start..start + 4).contains(&minute);
        let hot = |minute| if is_burst(minute) { 8.0 } else { 1.0 };
        let (count, _) = run_preset(PlacementPreset::CoOp, hot);
        assert_eq!(count, 0, "burst from minute {start}");
    }
}

#[test]
fn a_lasting_hot_expert_is_replicated() {
    for preset in [PlacementPreset::AuctionHouse, PlacementPreset::CoOp] {
        let first = ExpertMap::round_robin(SHAPE);
        let first = first.successor(&full_repack(&first, &loads(1.0)));
        let (count, map) = run_preset(preset, |minute| if minute >= 60 { 8.0 } else { 1.0 });
        let (before, after) = (loads(8.0).step_skew(&first), loads(8.0).step_skew(&map));
        assert!(
            count > 0 && after < before,
            "{preset:?}: {before} -> {after}"
        );
    }
}

#[test]
fn late_observations_and_gaps_are_tolerated() {
    let mut policy = PlacementPolicy::new(PlacementSettings::preset(PlacementPreset::AuctionHouse));
    let map = ExpertMap::round_robin(SHAPE);
    let hour = TimePoint::default() + TimeSpan::from_secs(3_600);
    policy.observe(TimePoint::default() + TimeSpan::from_secs(60), &loads(1.0));
    policy.observe(hour, &loads(8.0));
    policy.observe(hour - TimeSpan::from_secs(600), &loads(1.0));
    policy.observe(hour, &LoadTable::new(SHAPE));
    assert!(!policy.decide(hour, &map).weight_copies.is_empty());
}
