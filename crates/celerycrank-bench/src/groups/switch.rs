//! Long randomized runs of the switch protocol.

use std::panic::catch_unwind;

use celerycrank_groups::simulation::{Simulation, SimulationPlan, SimulationReport};
use celerycrank_types::TimeSpan;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Arguments of the `groups switch` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct SwitchArgs {
    /// Seed of the first run; each further run uses the next seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs.
    #[arg(long, default_value_t = 100)]
    runs: u64,
    /// Inject no faults, to measure normal operation.
    #[arg(long)]
    quiet: bool,
    /// Inject only occasional agent restarts and VM replacements.
    #[arg(long, conflicts_with = "quiet")]
    calm: bool,
    /// Number of agents in the group; chosen from the seed if omitted.
    #[arg(long)]
    members: Option<usize>,
}

/// Performs the runs and prints the sum of their counters as JSON.
///
/// If a run violates the invariant, prints its seed and exits with an error.
pub(crate) fn run(args: &SwitchArgs) {
    let mut total = SimulationReport::default();
    for seed in args.seed..args.seed + args.runs {
        let plan = plan(args, seed);
        let outcome = catch_unwind(|| Simulation::run(plan.clone()));
        let Ok(report) = outcome else {
            eprintln!(
                "run failed; replay it with `groups switch --runs 1 --seed {seed}`: {plan:?}"
            );
            std::process::exit(1);
        };
        total.merge(&report);
    }
    let text = serde_json::to_string_pretty(&total).expect("a report can be serialized as JSON");
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
