//! Tests of the part of the places that less urgent requests may use.

use celerycrank_serving::LoadCeiling;
use celerycrank_types::{TimePoint, TimeSpan};

const TARGET: TimeSpan = TimeSpan::from_millis(400);

/// Number of first events or gaps that are recorded at once.
const SAMPLES: u64 = 120;

/// Records the same first event or gap each 100 ms; returns the part after each.
fn parts(ceiling: &mut LoadCeiling, start: u64, (is_gap, millis): (bool, u64)) -> Vec<f64> {
    let parts = (start..start + SAMPLES).map(|number| {
        let now = TimePoint(number * 100_000);
        let span = TimeSpan::from_millis(millis);
        if is_gap {
            ceiling.observe_gap(span, TARGET, now);
        } else {
            ceiling.observe_first_event(span, TARGET, now);
        }
        ceiling.part()
    });
    parts.collect()
}

// Guards against a ceiling that stays high while callers wait too long, that leaves less urgent
// requests next to nothing, or that does not recover.
#[test]
fn the_ceiling_falls_to_its_minimum_while_latencies_are_long_and_rises_again() {
    // Gaps that are not clearly below the target are long: some streams have gaps of twice the mean.
    for is_gap in [false, true] {
        let mut ceiling = LoadCeiling::default();
        let falling = parts(&mut ceiling, 1, (is_gap, 450));
        assert!(falling.is_sorted_by(|one, next| one >= next));
        assert!((falling[119] - 0.5).abs() < 1e-9, "{}", falling[119]);
        let rising = parts(&mut ceiling, 121, (is_gap, 100));
        // The moving average needs some samples to fall below the limit.
        let rising = &rising[30..];
        assert!(rising.is_sorted());
        assert!((rising[89] - 1.0).abs() < 1e-9, "{}", rising[89]);
    }
}

// Guards against a group that restarts, whose streams pause, and that is then sent less afterwards.
#[test]
fn a_stall_is_no_gap() {
    let mut ceiling = LoadCeiling::default();
    let stalls = parts(&mut ceiling, 1, (true, 2_000));
    assert!(stalls.iter().all(|part| *part >= 1.0));
}

// Guards against a ceiling that falls by a step for each of many streams, before it shows an effect.
#[test]
fn the_ceiling_changes_once_in_an_interval() {
    let mut ceiling = LoadCeiling::default();
    let now = TimePoint(1_000_000);
    for _ in 0..100 {
        ceiling.observe_first_event(TARGET, TARGET, now);
    }
    assert!(ceiling.part() >= 0.96 - 1e-9);
}
