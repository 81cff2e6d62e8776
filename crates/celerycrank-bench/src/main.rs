//! Benchmarks and simulations for development; not part of a release.

mod capacity;
mod groups;
mod path;
mod requests;
mod routing;
mod shares;

use clap::{Parser, Subcommand};

/// Benchmarks and simulations of celerycrank; each prints its results and its seed.
#[derive(Debug, Parser)]
struct BenchArgs {
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Overhead of the request path through entry and agent over direct requests to a stand-in.
    Path(path::PathArgs),
    /// Served tokens of each account compared with its share.
    Shares(shares::SharesArgs),
    /// Comparison of routing policies on a seeded trace.
    Routing(routing::RoutingArgs),
    /// Long randomized runs of the request logic with injected faults.
    Requests(requests::RequestsArgs),
    /// Placement policies of lock-step groups, and long randomized runs of the switch protocol.
    Groups(groups::GroupsArgs),
    /// Cost of each mechanism by size, for docs/CAPACITY.md.
    Capacity(capacity::CapacityArgs),
}

fn main() {
    match BenchArgs::parse().command {
        BenchCommand::Path(args) => path::run(&args),
        BenchCommand::Shares(args) => shares::run(&args),
        BenchCommand::Routing(args) => routing::run(&args),
        BenchCommand::Requests(args) => requests::run(&args),
        BenchCommand::Groups(args) => groups::run(&args),
        BenchCommand::Capacity(args) => capacity::run(&args),
    }
}
