//! Measurements kept in the repository, never shipped.

mod capacity;
mod groups;
mod path;
mod requests;
mod routing;
mod shares;

use clap::{Parser, Subcommand};

/// Measurements of celerycrank; each prints its table and its seed.
#[derive(Debug, Parser)]
struct BenchArgs {
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Requests through entry and agent against the stand-in reached directly.
    Path(path::PathArgs),
    /// Each account's part of the served tokens against its share.
    Shares(shares::SharesArgs),
    /// Routing policies on one seeded trace.
    Routing(routing::RoutingArgs),
    /// Long random runs of the request logic with faults.
    Requests(requests::RequestsArgs),
    /// Placement policies of lock-step groups, and long runs of the switch.
    Groups(groups::GroupsArgs),
    /// Slopes behind docs/CAPACITY.md.
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
