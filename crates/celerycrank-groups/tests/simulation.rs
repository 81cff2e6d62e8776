//! Randomized simulations of the protocols with injected faults and fixed seeds.

use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use celerycrank_groups::simulation::{Simulation, SimulationPlan, SimulationReport};
use celerycrank_types::TimeSpan;

fn merged(plans: impl Iterator<Item = SimulationPlan>) -> SimulationReport {
    let mut total = SimulationReport::default();
    plans.for_each(|plan| total.merge(&Simulation::run(plan)));
    total
}

#[test]
fn no_waits_without_faults() {
    let plans = (1..=4).map(|seed| SimulationPlan::builder().seed(seed).build());
    let total = merged(plans);
    assert!(total.commits > 60, "{total:?}");
    assert_eq!((total.waits, total.overdue), (0, 0), "{total:?}");
    assert_eq!((total.formations, total.writes), (4, 4), "{total:?}");
}

/// Seeds for `arbtest`; the lower 32 bits are the length of the random input.
const SEEDS: [u64; 96] = {
    let mut seeds = [0x400; 96];
    let mut index = 0;
    while index < seeds.len() {
        seeds[index] |= (index as u64 + 1) << 32;
        index += 1;
    }
    seeds
};

/// A simulation with all kinds of faults, at random rates and group sizes.
fn faulty_plan(u: &mut Unstructured<'_>) -> arbitrary::Result<SimulationPlan> {
    Ok(SimulationPlan::builder()
        .seed(u.arbitrary()?)
        .members(u.int_in_range(2..=6)?)
        .fault_interval(TimeSpan::from_millis(u.int_in_range(500..=20_000)?))
        .attempt_interval(TimeSpan::from_millis(u.int_in_range(100..=4_000)?))
        .loss(u.int_in_range(0..=200)?)
        .double(u.int_in_range(0..=200)?)
        .late(u.int_in_range(0..=100)?)
        .late_order(u.int_in_range(0..=100)?)
        .load_fault(u.int_in_range(0..=50)?)
        .answer_loss(u.int_in_range(0..=300)?)
        .second_lead(u.int_in_range(0..=500)?)
        .build())
}

#[test]
fn one_map_per_step_under_faults() {
    for seed in SEEDS {
        arbtest(|u| {
            let report = Simulation::run(faulty_plan(u)?);
            assert!(report.formations > 0);
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against two maps in one step with concurrent leaders, frequent attempts, and late and
/// duplicated messages.
#[test]
fn one_map_per_step_with_two_leaders() {
    for seed in 1..=60 {
        let plan = SimulationPlan::builder()
            .seed(seed)
            .members(3)
            .duration(TimeSpan::from_secs(30))
            .attempt_interval(TimeSpan::from_millis(50))
            .late(150)
            .double(150)
            .second_lead(500)
            .build();
        let report = Simulation::run(plan);
        assert!(report.commits > 0, "{report:?}");
    }
}

/// Guards against two maps in one step when agents restart while orders of the previous
/// incarnation are in flight to an engine that executes them.
#[test]
fn one_map_per_step_with_late_orders() {
    for seed in 1..=60 {
        let plan = SimulationPlan::builder()
            .seed(seed)
            .members(2)
            .fault_interval(TimeSpan::from_millis(1_500))
            .calm(true)
            .attempt_interval(TimeSpan::from_millis(50))
            .late_order(500)
            .build();
        let report = Simulation::run(plan);
        assert!(report.formations > 1, "{report:?}");
    }
}

/// Guards against two records for one incarnation when all members try to form the group while
/// the key-value service is slow and answers are lost.
#[test]
fn one_record_per_incarnation_with_late_answers() {
    for seed in 1..=60 {
        let plan = SimulationPlan::builder()
            .seed(seed)
            .members(3)
            .fault_interval(TimeSpan::from_millis(700))
            .calm(true)
            .late(400)
            .answer_loss(200)
            .build();
        let report = Simulation::run(plan);
        assert!(report.formations > 1, "{report:?}");
    }
}
