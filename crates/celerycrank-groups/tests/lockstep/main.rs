//! Switches of a group whose engines carry out orders late, under every kind of fault.
//!
//! A pass that begins with two maps stops the run. Long runs: set `LOCKSTEP_RUNS` and
//! `LOCKSTEP_SEED`; `LOCKSTEP_TRACE` prints what happens.

mod engine;
mod world;

use celerycrank_groups::MapShape;
use world::{Faults, Outcome, World};

const SHAPE: MapShape = MapShape {
    layers: 1,
    experts: 8,
    ranks: 4,
    slots: 4,
};

/// Seconds of one run; the last 25 are free of faults.
const RUN_SECONDS: u64 = 60;

fn setting(name: &str, usual: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn run_all(faults: Faults, check: impl Fn(u64, &Outcome)) -> Outcome {
    let first = setting("LOCKSTEP_SEED", 1);
    let mut sum = Outcome::default();
    for seed in first..first + setting("LOCKSTEP_RUNS", 60) {
        let outcome = World::new(seed, SHAPE, RUN_SECONDS, faults).run();
        check(seed, &outcome);
        sum.switches += outcome.switches;
        sum.rolled_back += outcome.rolled_back;
        sum.held += outcome.held;
        sum.final_switches += outcome.final_switches;
        sum.longest_hold = sum.longest_hold.max(outcome.longest_hold);
    }
    println!("{faults:?}: {sum:?}");
    sum
}

fn recovers(seed: u64, outcome: &Outcome) {
    assert!(
        outcome.final_switches > 0,
        "seed {seed}: no switch after the faults: {outcome:?}"
    );
}

#[test]
fn calm_groups_switch_without_a_hold() {
    let sum = run_all(Faults::default(), recovers);
    let runs = setting("LOCKSTEP_RUNS", 60);
    assert_eq!(sum.rolled_back, 0, "{sum:?}");
    // A thousandth of the time is the most that ordinary switches may hold a group.
    assert!(sum.held < runs * RUN_SECONDS * 1_000, "{sum:?}");
}

#[test]
fn orders_that_come_late_never_mix_maps() {
    let faults = Faults {
        late_orders: 0.3,
        unanswered_orders: 0.1,
        ..Faults::default()
    };
    run_all(faults, recovers);
}

#[test]
fn killed_and_frozen_agents_never_mix_maps() {
    let faults = Faults {
        kills: 0.1,
        freezes: 0.05,
        lost: 0.05,
        duplicated: 0.05,
        ..Faults::default()
    };
    run_all(faults, recovers);
}

#[test]
fn agents_that_stand_still_while_orders_come_late_never_mix_maps() {
    let faults = Faults {
        late_orders: 0.2,
        unanswered_orders: 0.1,
        lost: 0.05,
        duplicated: 0.05,
        kills: 0.05,
        frozen_senders: 0.2,
        ..Faults::default()
    };
    run_all(faults, recovers);
}

#[test]
fn everything_at_once_never_mixes_maps() {
    let faults = Faults {
        late_orders: 0.2,
        unanswered_orders: 0.1,
        lost: 0.1,
        duplicated: 0.1,
        kills: 0.05,
        reformations: 0.05,
        freezes: 0.05,
        idle: 0.2,
        frozen_senders: 0.1,
    };
    run_all(faults, recovers);
}
