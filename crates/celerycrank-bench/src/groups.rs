//! Placement policies of lock-step groups, and long runs of the switch protocol.

mod switch;

use clap::Subcommand;

/// Arguments of the measurement.
#[derive(Debug, clap::Args)]
pub(crate) struct GroupsArgs {
    #[command(subcommand)]
    command: GroupsCommand,
}

#[derive(Debug, Subcommand)]
enum GroupsCommand {
    /// Long random runs of the switch protocol with faults.
    Switch(switch::SwitchArgs),
}

/// Runs the measurement and prints its table.
pub(crate) fn run(args: &GroupsArgs) {
    match &args.command {
        GroupsCommand::Switch(args) => switch::run(args),
    }
}
