//! Snapshots of the messages and orders in complete simulation runs.

use std::fmt::Write;

use celerycrank_groups::simulation::{Simulation, SimulationPlan};
use celerycrank_types::TimeSpan;

/// The outputs of the agents with their times, one per line.
fn session(plan: SimulationPlan) -> String {
    let mut text = String::new();
    for line in Simulation::record(plan) {
        writeln!(text, "{line}").expect("writing to a string succeeds");
    }
    text
}

#[test]
fn a_group_forms_and_switches() {
    let plan = SimulationPlan::builder()
        .seed(7)
        .members(2)
        .duration(TimeSpan::from_secs(3))
        .attempt_interval(TimeSpan::from_millis(400));
    insta::assert_snapshot!(session(plan.build()));
}

#[test]
fn a_load_that_fails_ends_the_attempt() {
    let plan = SimulationPlan::builder()
        .seed(8)
        .members(2)
        .duration(TimeSpan::from_secs(3))
        .attempt_interval(TimeSpan::from_millis(400))
        .load_fault(1_000);
    insta::assert_snapshot!(session(plan.build()));
}
