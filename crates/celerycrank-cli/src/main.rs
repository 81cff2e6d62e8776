//! The celerycrank binary: both process roles and the operators' commands.

mod keys;
mod operator;
mod role;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// First steps, shown at the end of the help text.
const GETTING_STARTED: &str = "\
Getting started: copy a directory of examples/, edit its lists, then
  celerycrank check && celerycrank apply --note 'first start'
To change something: edit the lists, then
  celerycrank diff; celerycrank apply --note 'why'
To take something out of service:
  celerycrank stop announce vm:vm-17 --reason 'new image'

Each command's --help has more examples; the operators' manual is in docs/operators/.";

/// Load balancer for expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(version, after_help = GETTING_STARTED)]
struct ProcessArgs {
    #[command(subcommand)]
    command: ProcessCommand,
    /// Output format of the operators' commands.
    #[arg(long, global = true, value_enum, default_value_t)]
    format: operator::ReportFormat,
}

#[derive(Debug, Subcommand)]
enum ProcessCommand {
    /// Run an entry, which accepts callers' requests and forwards them to agents.
    Entry(role::RoleArgs),
    /// Run an agent, through which all requests reach its local backend server.
    Agent(role::RoleArgs),
    /// Run an entry that sends requests directly to backend servers.
    DirectEntry(role::DirectArgs),
    /// Run an agent next to a model engine to which entries connect directly.
    RankAgent(role::DirectArgs),
    /// Generate a certificate authority and process keys for a trial deployment.
    Keys(keys::KeysArgs),
    /// Check lists, settings and configuration records, and compare them with the version in force.
    Check(operator::check::CheckArgs),
    /// Show what applying the lists would change.
    Diff(operator::diff::DiffArgs),
    /// Apply the lists in the directory.
    Apply(operator::apply::ApplyArgs),
    /// Show the lists in force.
    Show(operator::show::ShowArgs),
    /// Write the lists in force to files.
    Export(operator::show::ExportArgs),
    /// Show the latest changes to the lists.
    History(operator::history::HistoryArgs),
    /// Announce, withdraw and list planned stops.
    Stop(operator::stop::StopArgs),
    /// Show the status of an entry or agent.
    Status(operator::status::StatusArgs),
    /// Show the lines of one request in collected logs.
    Explain(operator::explain::ExplainArgs),
    /// Work with callers' API keys.
    Key(operator::key::KeyArgs),
}

fn main() -> ExitCode {
    let ProcessArgs { command, format } = ProcessArgs::parse();
    match command {
        ProcessCommand::Entry(args) => exit_code(role::run_entry(&args)),
        ProcessCommand::Agent(args) => exit_code(role::run_agent(&args)),
        ProcessCommand::DirectEntry(args) => exit_code(role::run_direct_entry(&args)),
        ProcessCommand::RankAgent(args) => exit_code(role::run_rank_agent(&args)),
        ProcessCommand::Keys(args) => exit_code(keys::make_keys(&args)),
        ProcessCommand::Check(args) => {
            operator::run(args.format(format), operator::check::check(&args))
        }
        ProcessCommand::Diff(args) => operator::run(format, operator::diff::diff(&args)),
        ProcessCommand::Apply(args) => operator::run(format, operator::apply::apply(&args)),
        ProcessCommand::Show(args) => operator::run(format, operator::show::show(&args)),
        ProcessCommand::Export(args) => operator::run(format, operator::show::export(&args)),
        ProcessCommand::History(args) => operator::run(format, operator::history::history(&args)),
        ProcessCommand::Stop(args) => operator::run(format, operator::stop::stop(&args)),
        ProcessCommand::Status(args) => operator::run(format, operator::status::status(&args)),
        ProcessCommand::Explain(args) => {
            operator::finish(format, operator::explain::explain(&args))
        }
        ProcessCommand::Key(args) => operator::finish(format, operator::key::key(&args)),
    }
}

fn exit_code(result: Result<(), Box<dyn std::error::Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("celerycrank: {error}");
            ExitCode::FAILURE
        }
    }
}
