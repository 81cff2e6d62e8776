//! Long random runs of the switch protocol.

use std::panic::catch_unwind;

use celerycrank_groups::simulation::{Simulation, SimulationPlan, SimulationReport};
use celerycrank_types::TimeSpan;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Arguments of the long run.
#[derive(Debug, clap::Args)]
pub(crate) struct SwitchArgs {
    /// Seed of the first run; each further run takes the next.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many runs to make.
    #[arg(long, default_value_t = 100)]
    runs: u64,
    /// Let nothing fail: shows the ordinary case.
    #[arg(long)]
    quiet: bool,
    /// Let agents restart and VMs be replaced now and then, and nothing else fail.
    #[arg(long, conflicts_with = "quiet")]
    calm: bool,
    /// Agents in the group; drawn from the seed if absent.
    #[arg(long)]
    members: Option<usize>,
}

/// Makes the runs and prints their counts as JSON.
///
/// A run that breaks the invariant stops the process after its seed was printed.
pub(crate) fn run(args: &SwitchArgs) {
    let mut total = SimulationReport::default();
    for seed in args.seed..args.seed + args.runs {
        let plan = plan(args, seed);
        let outcome = catch_unwind(|| Simulation::run(plan.clone()));
        let Ok(report) = outcome else {
            eprintln!("failed; replay with `groups switch --runs 1 --seed {seed}`: {plan:?}");
            std::process::exit(1);
        };
        total.merge(&report);
    }
    let text = serde_json::to_string_pretty(&total).expect("a report is plain data");
    println!("{text}");
}

fn plan(args: &SwitchArgs, seed: u64) -> SimulationPlan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let members = args.members.unwrap_or_else(|| rng.random_range(2..=8));
    let plan = SimulationPlan::builder().seed(seed).members(members);
    if args.quiet {
        return plan.build();
    }
    if args.calm {
        return plan
            .fault_interval(TimeSpan::from_secs(20))
            .calm(true)
            .build();
    }
    plan.fault_interval(TimeSpan::from_millis(rng.random_range(500..=20_000)))
        .attempt_interval(TimeSpan::from_millis(rng.random_range(100..=4_000)))
        .loss(rng.random_range(0..=200))
        .double(rng.random_range(0..=200))
        .late(rng.random_range(0..=100))
        .late_order(rng.random_range(0..=300))
        .load_fault(rng.random_range(0..=50))
        .answer_loss(rng.random_range(0..=300))
        .second_lead(rng.random_range(0..=500))
        .build()
}
