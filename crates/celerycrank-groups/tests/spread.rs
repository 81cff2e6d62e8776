//! Spreading of hot experts: one hot expert in each layer, and another one after each shift.

use celerycrank_groups::{
    ExpertMap, LoadMonitor, LoadTable, MapShape, SpreadLimits, full_repack, spread_hot_experts,
};
use celerycrank_types::TimePoint;

/// The group of both sites.
const SHAPE: MapShape = MapShape {
    layers: 6,
    experts: 64,
    ranks: 8,
    slots: 11,
};

const LIMITS: SpreadLimits = SpreadLimits {
    per_layer: 2,
    per_rank: 3,
    target_skew: 1.2,
};

/// Recorded choices in one layer in descending order: a third is for the hot expert.
fn choices(rank: usize) -> u32 {
    match rank {
        0 => 3_450,
        1 => 1_180,
        2 => 700,
        3 => 450,
        _ => 70,
    }
}

fn hot_choices(shift: usize, layer: usize, expert: usize) -> u32 {
    choices((expert + 7 * layer + 11 * shift) % 64)
}

/// Loads in which each layer has different hot experts.
fn hot_loads(shift: usize) -> LoadTable {
    let mut loads = LoadTable::new(SHAPE);
    for layer in 0..usize::from(SHAPE.layers) {
        for (expert, load) in loads.layer_mut(layer).iter_mut().enumerate() {
            *load = f64::from(hot_choices(shift, layer, expert));
        }
    }
    loads
}

#[test]
fn a_few_replicas_remove_most_of_the_skew() {
    let map = ExpertMap::round_robin(SHAPE);
    let loads = hot_loads(0);
    let before = loads.step_skew(&map);
    assert!(before > 3.0, "initial skew {before}");
    let changes = spread_hot_experts(&map, &loads, &LIMITS);
    let next = map.successor(&changes);
    let after = loads.step_skew(&next);
    assert!(next.is_complete());
    assert!(after < 1.45, "skew {before} to {after}");
    assert!(changes.len() <= 24, "{} loads", changes.len());
    let repack = full_repack(&map, &loads);
    assert!(
        repack.len() > 3 * changes.len(),
        "a repack loads {}",
        repack.len()
    );
}

#[test]
fn no_rank_exceeds_its_load_limits() {
    let map = ExpertMap::round_robin(SHAPE);
    for shift in 0..20 {
        let changes = spread_hot_experts(&map, &hot_loads(shift), &LIMITS);
        for rank in 0..usize::from(SHAPE.ranks) {
            let own = |slot: u16| usize::from(slot) / usize::from(SHAPE.slots) == rank;
            let loads = changes.iter().filter(|load| own(load.slot));
            assert!(loads.clone().count() <= 3, "rank {rank} in shift {shift}");
            for layer in 0..SHAPE.layers {
                let in_layer = loads.clone().filter(|load| load.layer == layer).count();
                assert!(in_layer <= 2, "rank {rank}, layer {layer} in shift {shift}");
            }
        }
    }
}

#[test]
fn the_map_stays_complete_and_balanced_over_many_shifts() {
    let mut map = ExpertMap::round_robin(SHAPE);
    for shift in 0..40 {
        let loads = hot_loads(shift);
        // Three changes fit between two shifts.
        for _ in 0..3 {
            map = map.successor(&spread_hot_experts(&map, &loads, &LIMITS));
            assert!(map.is_complete());
        }
        let skew = loads.step_skew(&map);
        assert!(skew < 1.35, "shift {shift}: {skew}");
    }
}

/// The window lasts 250 ms, so a change must follow each shift within three ticks of 100 ms.
#[test]
fn the_monitor_proposes_changes_soon_after_a_shift_and_none_otherwise() {
    const TICK: u64 = 100_000;
    let mut monitor = LoadMonitor::default();
    let mut map = ExpertMap::round_robin(SHAPE);
    let mut totals = vec![0_u64; 6 * 64];
    let mut changes = Vec::new();
    for tick in 0..90_u64 {
        let shift = usize::try_from(tick / 30).expect("small");
        for (index, total) in totals.iter_mut().enumerate() {
            *total += u64::from(hot_choices(shift, index / 64, index % 64));
        }
        monitor.observe(TimePoint(tick * TICK), totals.clone());
        if let Some(proposal) = monitor.propose(&map, 4) {
            assert!(proposal.skew_after < proposal.skew_before);
            map = map.successor(&proposal.weight_copies);
            changes.push(tick);
        }
    }
    for shift in [0, 30, 60] {
        let first = changes.iter().find(|tick| **tick >= shift);
        assert!(first.is_some_and(|tick| *tick <= shift + 3), "{changes:?}");
        let settled = shift + 12..shift + 30;
        assert!(
            !changes.iter().any(|tick| settled.contains(tick)),
            "{changes:?}"
        );
    }
}

#[test]
fn totals_that_restart_from_zero_are_not_counted_as_load() {
    let mut monitor = LoadMonitor::default();
    let map = ExpertMap::round_robin(SHAPE);
    monitor.observe(TimePoint(0), vec![1_000_000; 384]);
    monitor.observe(TimePoint(100_000), vec![5; 384]);
    assert!(monitor.propose(&map, 4).is_none());
    monitor.observe(TimePoint(200_000), vec![9; 12]);
    assert!(
        monitor.propose(&map, 4).is_none(),
        "counts of another shape"
    );
}
