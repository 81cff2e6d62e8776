//! Placement policies of lock-step groups, and long runs of the switch protocol.

mod decision;
mod placement;
mod plot;
mod replay;
mod switch;
mod trace;

use clap::Subcommand;

/// Arguments of the measurement.
#[derive(Debug, clap::Args)]
pub(crate) struct GroupsArgs {
    #[command(subcommand)]
    command: GroupsCommand,
}

#[derive(Debug, Subcommand)]
enum GroupsCommand {
    /// Skew against cost of each way to keep the map, on seeded traces.
    Placement(placement::PlacementArgs),
    /// Time of one placement decision.
    Decision(decision::DecisionArgs),
    /// Long random runs of the switch protocol with faults.
    Switch(switch::SwitchArgs),
}

/// Runs the measurement and prints its table.
pub(crate) fn run(args: &GroupsArgs) {
    match &args.command {
        GroupsCommand::Placement(args) => placement::run(args),
        GroupsCommand::Decision(args) => decision::run(args),
        GroupsCommand::Switch(args) => switch::run(args),
    }
}
