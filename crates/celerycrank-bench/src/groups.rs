//! Placement policies of lock-step groups, and long randomized runs of the switch protocol.

mod decision;
mod placement;
mod plot;
mod replay;
mod spread;
mod switch;
mod trace;

use clap::Subcommand;

/// Arguments of the `groups` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct GroupsArgs {
    #[command(subcommand)]
    command: GroupsCommand,
}

#[derive(Debug, Subcommand)]
enum GroupsCommand {
    /// Skew and cost of each strategy for updating the expert map, on seeded traces.
    Placement(placement::PlacementArgs),
    /// Duration of one placement decision.
    Decision(decision::DecisionArgs),
    /// Processor time of one plan that spreads hot experts over a large group.
    Spread(spread::SpreadArgs),
    /// Long randomized runs of the switch protocol with injected faults.
    Switch(switch::SwitchArgs),
}

/// Runs the selected benchmark and prints its results.
pub(crate) fn run(args: &GroupsArgs) {
    match &args.command {
        GroupsCommand::Placement(args) => placement::run(args),
        GroupsCommand::Decision(args) => decision::run(args),
        GroupsCommand::Spread(args) => spread::run(args),
        GroupsCommand::Switch(args) => switch::run(args),
    }
}
