//! Golden files of whole sessions of the switch.

use std::fmt::Write;

use celerycrank_groups::simulation::{Simulation, SimulationPlan};
use celerycrank_types::TimeSpan;

/// A short session as text: each message and order with its time.
fn session(plan: SimulationPlan) -> String {
    let mut text = String::new();
    for line in Simulation::record(plan) {
        writeln!(text, "{line}").expect("text can be written");
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
