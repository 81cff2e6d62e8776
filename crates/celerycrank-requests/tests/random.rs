//! Random runs of entries, agents, backend servers and the key-value service with faults.
//!
//! `celerycrank-bench requests --trace --seed N` prints the trace of a failing seed.

use std::panic;

use celerycrank_requests::model::{RunReport, run_seed};

/// Number of runs in this test; `celerycrank-bench requests` performs longer series.
const RUNS: u64 = 5_000;

#[test]
fn keeps_its_invariants_under_faults() {
    let mut total = RunReport::default();
    for seed in 0..RUNS {
        let report = panic::catch_unwind(|| run_seed(seed));
        match report {
            Ok(report) => total.add(&report),
            Err(panic) => {
                println!("seed {seed} violates an invariant");
                panic::resume_unwind(panic);
            }
        }
    }
    println!("{total:?}");
    for (name, count) in [
        ("answered", total.answered),
        ("not run", total.not_run),
        ("unknown", total.unknown),
        ("dropped", total.dropped),
        ("retried", total.retried),
        ("resumed", total.resumed),
    ] {
        assert!(count > RUNS / 10, "only {count} requests were {name}");
    }
}
