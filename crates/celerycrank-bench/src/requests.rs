//! Long randomized runs of the request logic, and the claim ledger at the design size.

mod claims;

use std::{ops::Range, panic, process, thread};

use celerycrank_requests::model::{RunReport, run_seed, trace_seed};
use celerycrank_types::TimeSpan;

/// Arguments of the `requests` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct RequestsArgs {
    /// Seed of the first run; each further run uses the next seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs.
    #[arg(long, default_value_t = 10_000)]
    runs: u64,
    /// Number of threads that share the runs.
    #[arg(long, default_value_t = 2)]
    threads: u32,
    /// Print the full trace of the first seed.
    #[arg(long)]
    trace: bool,
    /// Measure group commit at the design size instead.
    #[arg(long)]
    claims: bool,
    /// Simulated duration of the claim measurement.
    #[arg(long, default_value = "30s")]
    span: TimeSpan,
    /// Keyed calls per second in the claim measurement; the default is that of the design size.
    #[arg(long, default_value_t = 450)]
    rate: u32,
}

/// Runs the selected measurement and prints its results.
pub(crate) fn run(args: &RequestsArgs) {
    if args.claims {
        claims::run(args.seed, args.span, args.rate);
    } else if args.trace {
        trace(args.seed);
    } else {
        run_many(args);
    }
}

/// Prints the trace of one seed, up to the first violated invariant.
fn trace(seed: u64) {
    let report = trace_seed(seed, &mut |line| println!("{line}"));
    println!("{report:#?}");
}

fn run_many(args: &RequestsArgs) {
    let (first, runs, threads) = (args.seed, args.runs, args.threads.max(1));
    println!("seeds {first}..{}", first + runs);
    let workers = (0..threads).map(|worker| {
        let seeds = first + u64::from(worker)..first + runs;
        thread::spawn(move || run_stride(seeds, threads as usize))
    });
    let workers = workers.collect::<Vec<_>>();
    let mut total = RunReport::default();
    for worker in workers {
        total.add(
            &worker
                .join()
                .expect("run failures are caught in the worker"),
        );
    }
    println!("{runs} runs, no invariant broken\n{total:#?}");
}

/// Runs every `threads`-th seed of the range, starting with the first.
fn run_stride(seeds: Range<u64>, threads: usize) -> RunReport {
    let mut total = RunReport::default();
    for seed in seeds.step_by(threads) {
        let Ok(report) = panic::catch_unwind(|| run_seed(seed)) else {
            println!("seed {seed} violates an invariant; replay it with:");
            println!("celerycrank-bench requests --trace --seed {seed}");
            process::exit(1);
        };
        total.add(&report);
    }
    total
}
