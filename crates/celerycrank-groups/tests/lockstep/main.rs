//! Switches of a group whose engines execute orders late, under every kind of fault.
//!
//! A run fails if a pass begins with two different maps. `LOCKSTEP_RUNS` and `LOCKSTEP_SEED`
//! set the number of runs and the first seed, `LOCKSTEP_LARGE_RUNS` the number of runs of a large
//! group; `LOCKSTEP_TRACE` prints the events.

mod engine;
mod world;

use celerycrank_groups::MapShape;
use world::{FAULT_FREE_SECONDS, Faults, Outcome, World};

const SHAPE: MapShape = MapShape {
    layers: 1,
    experts: 8,
    ranks: 4,
    slots: 4,
};

/// Seconds of one run, with the last part that is free of faults.
const RUN_SECONDS: u64 = 60;

/// A group of more ranks than one machine word has bits.
const LARGE_SHAPE: MapShape = MapShape {
    layers: 2,
    experts: 192,
    ranks: 96,
    slots: 3,
};

/// Seconds of a run of a large group before its last part, which is free of faults.
const LARGE_RUN_SECONDS: u64 = 12;

fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
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

fn check_recovery(seed: u64, outcome: &Outcome) {
    assert!(
        outcome.final_switches > 0,
        "seed {seed}: no switch after the end of the faults: {outcome:?}"
    );
}

#[test]
fn groups_without_faults_switch_with_almost_no_hold() {
    let sum = run_all(Faults::default(), check_recovery);
    let runs = setting("LOCKSTEP_RUNS", 60);
    assert_eq!(sum.rolled_back, 0, "{sum:?}");
    // Switches without faults may hold a group for at most a thousandth of the time.
    assert!(sum.held < runs * RUN_SECONDS * 1_000, "{sum:?}");
}

#[test]
fn delayed_orders_never_mix_maps() {
    let faults = Faults {
        late_orders: 0.3,
        unanswered_orders: 0.1,
        ..Faults::default()
    };
    run_all(faults, check_recovery);
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
    run_all(faults, check_recovery);
}

#[test]
fn frozen_agents_and_delayed_orders_never_mix_maps() {
    let faults = Faults {
        late_orders: 0.2,
        unanswered_orders: 0.1,
        lost: 0.05,
        duplicated: 0.05,
        kills: 0.05,
        frozen_senders: 0.2,
        ..Faults::default()
    };
    run_all(faults, check_recovery);
}

#[test]
fn all_faults_combined_never_mix_maps() {
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
        ..Faults::default()
    };
    run_all(faults, check_recovery);
}

/// Runs a large group, and checks that it switches again once the faults have ended.
fn run_large(seed: u64, faults: Faults) -> Outcome {
    let seconds = LARGE_RUN_SECONDS + FAULT_FREE_SECONDS;
    let outcome = World::new(seed, LARGE_SHAPE, seconds, faults).run();
    println!("seed {seed}: {outcome:?}");
    check_recovery(seed, &outcome);
    outcome
}

/// All ranks are armed before the group reaches the step of the switch, although one agent has to
/// send to 95 others one after the other.
#[test]
fn a_group_of_96_ranks_switches_with_almost_no_hold() {
    let faults = Faults {
        send_time: 1_000,
        ..Faults::default()
    };
    let outcome = run_large(1, faults);
    assert_eq!(outcome.rolled_back, 0, "{outcome:?}");
    // As in small groups, at most a thousandth of the time.
    let seconds = LARGE_RUN_SECONDS + FAULT_FREE_SECONDS;
    assert!(outcome.held < seconds * 1_000, "{outcome:?}");
}

/// In a large group, some rank answers late in nearly every attempt.
#[test]
fn single_late_answers_do_not_end_every_attempt_of_a_group_of_96_ranks() {
    let faults = Faults {
        unanswered_orders: 0.02,
        lost: 0.02,
        duplicated: 0.02,
        ..Faults::default()
    };
    let outcome = run_large(2, faults);
    let before_recovery = outcome.switches - outcome.fault_free_switches;
    assert!(before_recovery >= 3, "{outcome:?}");
}

/// All agents lose what they know while a map other than the initial one is active: no rank can
/// derive the next map from it.
#[test]
fn a_group_of_96_ranks_switches_again_soon_after_all_its_agents_were_killed() {
    const KILLED_AT_SECONDS: u64 = 5;
    let faults = Faults {
        all_killed_at: KILLED_AT_SECONDS * 1_000_000,
        send_time: 300,
        ..Faults::default()
    };
    // The group has 5 s to switch again.
    let seconds = KILLED_AT_SECONDS + 5;
    let outcome = World::new(4, LARGE_SHAPE, seconds, faults).run();
    assert!(outcome.switches_before_kill > 0, "{outcome:?}");
    let after = outcome.switches - outcome.switches_before_kill;
    assert!(after > 0, "{outcome:?}");
    assert_eq!(outcome.rolled_back, 0, "{outcome:?}");
}

#[test]
fn faults_never_mix_maps_in_a_group_of_96_ranks() {
    let faults = Faults {
        late_orders: 0.05,
        unanswered_orders: 0.05,
        lost: 0.05,
        duplicated: 0.05,
        kills: 0.005,
        reformations: 0.05,
        freezes: 0.002,
        idle: 0.1,
        frozen_senders: 0.1,
        send_time: 300,
        ..Faults::default()
    };
    let first = setting("LOCKSTEP_SEED", 1);
    for seed in first..first + setting("LOCKSTEP_LARGE_RUNS", 3) {
        run_large(seed, faults);
    }
}
