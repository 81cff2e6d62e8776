//! Served tokens of each account compared with its share, and goodput under overload.

mod fleet;
mod message;
mod scenario;
mod tally;

use self::{
    fleet::Fleet,
    scenario::{Scenario, SharePolicy},
};

/// Loads of the overload measurement, in percent of the capacity.
const OVERLOADS: [u32; 3] = [100, 150, 300];

/// Arguments of the `shares` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct SharesArgs {
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of workers.
    #[arg(long, default_value_t = 16)]
    workers: usize,
    /// Number of entries.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    /// Number of accounts.
    #[arg(long, default_value_t = 10)]
    accounts: usize,
    /// Simulated duration of a run, in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Measure goodput under overload instead.
    #[arg(long)]
    overload: bool,
}

/// Runs the selected measurement and prints its table.
pub(crate) fn run(args: &SharesArgs) {
    if args.overload {
        compare_overload(args);
    } else {
        compare_shares(args);
    }
}

fn compare_shares(args: &SharesArgs) {
    println!(
        "| policy | worst account 10 s | worst account 1 s | Jain 10 s | Jain 1 s | idle under \
         demand | recovery s | attempts | control B/s a node, mean and busiest |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for policy in [
        SharePolicy::Shares,
        SharePolicy::Fifo,
        SharePolicy::StaticSplit,
    ] {
        let scenario = Scenario::contention(args.accounts, args.entries, args.seconds);
        let result = Fleet::new(scenario, policy, args.workers, args.seed).simulate();
        println!(
            "| {} | {:.3} | {:.3} | {:.4} | {:.4} | {:.2}% | {} | {:.3} | {:.0}, {:.0} |",
            policy.name(),
            result.worst_long,
            result.worst_short,
            result.jain_long,
            result.jain_short,
            result.idle * 100.0,
            result.recovery,
            result.attempts,
            result.control_mean,
            result.control_busiest,
        );
    }
}

fn compare_overload(args: &SharesArgs) {
    println!("| load | policy | useful work | high p99 ms | most waiting | refused late |");
    println!("|---|---|---|---|---|---|");
    for load in OVERLOADS {
        for policy in [
            SharePolicy::Shares,
            SharePolicy::Fifo,
            SharePolicy::Unrefused,
        ] {
            let scenario = Scenario::overload(args.accounts, args.entries, args.seconds, load);
            let result = Fleet::new(scenario, policy, args.workers, args.seed).simulate();
            println!(
                "| {load}% | {} | {:.3} | {} | {} | {:.2}% |",
                policy.name(),
                result.useful,
                result.high_p99,
                result.most_waiting,
                result.refused_late * 100.0,
            );
        }
    }
}
