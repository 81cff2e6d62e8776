//! Random runs of the protocol with faults, at fixed seeds.

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
fn nobody_waits_where_nothing_fails() {
    let plans = (1..=4).map(|seed| SimulationPlan::builder().seed(seed).build());
    let total = merged(plans);
    assert!(total.commits > 60, "{total:?}");
    assert_eq!((total.waits, total.overdue), (0, 0), "{total:?}");
    assert_eq!((total.formations, total.writes), (4, 4), "{total:?}");
}

/// Seeds of the random runs; the lower half is the length of the random input.
const SEEDS: [u64; 96] = {
    let mut seeds = [0x400; 96];
    let mut index = 0;
    while index < seeds.len() {
        seeds[index] |= (index as u64 + 1) << 32;
        index += 1;
    }
    seeds
};

/// A trial with every kind of fault, at rates and sizes drawn at random.
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
fn one_map_a_step_under_faults() {
    for seed in SEEDS {
        arbtest(|u| {
            let report = Simulation::run(faulty_plan(u)?);
            assert!(report.formations > 0);
            Ok(())
        })
        .seed(seed);
    }
}

/// Two leads at every attempt, a new one as soon as the last has ended, and late messages.
#[test]
fn one_map_a_step_with_two_leads() {
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

/// Agents that restart while their orders are still under way to engines that obey them.
#[test]
fn one_map_a_step_with_late_orders() {
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

/// Members that all want to form the group while the key-value service is slow.
#[test]
fn one_record_an_incarnation_with_late_answers() {
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
