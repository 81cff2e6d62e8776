//! The celerycrank binary: both process roles and the operators' commands.

mod keys;
mod operator;
mod role;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Where to begin, for whoever asks for help.
const GETTING_STARTED: &str = "\
To begin: copy a directory of examples/, edit its lists, then
  celerycrank check && celerycrank apply --note 'first start'
To change something: edit the lists, then
  celerycrank diff; celerycrank apply --note 'why'
To take something out of service:
  celerycrank stop announce vm:vm-17 --reason 'new image'

Each command's --help has more examples; pages for operators are in docs/operators/.";

/// Load balancer for expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(version, after_help = GETTING_STARTED)]
struct ProcessArgs {
    #[command(subcommand)]
    command: ProcessCommand,
    /// Form of the output of operators' commands.
    #[arg(long, global = true, value_enum, default_value_t)]
    format: operator::ReportFormat,
}

#[derive(Debug, Subcommand)]
enum ProcessCommand {
    /// Run an entry: accept callers and hand their requests to agents.
    Entry(role::RoleArgs),
    /// Run an agent: the only way to the backend server beside it.
    Agent(role::RoleArgs),
    /// Run an entry that sends requests straight to backend servers.
    DirectEntry(role::DirectArgs),
    /// Run an agent beside a model engine that entries reach by themselves.
    RankAgent(role::DirectArgs),
    /// Make an authority and process keys for a trial deployment.
    Keys(keys::KeysArgs),
    /// Name every fault of the lists and settings.
    Check(operator::check::CheckArgs),
    /// Show what applying the lists would change.
    Diff(operator::diff::DiffArgs),
    /// Put the lists in force.
    Apply(operator::apply::ApplyArgs),
    /// Show the lists in force.
    Show(operator::show::ShowArgs),
    /// Write the lists in force as files.
    Export(operator::show::ExportArgs),
    /// Show the last changes of the lists.
    History(operator::history::HistoryArgs),
    /// Announce, withdraw and list planned stops.
    Stop(operator::stop::StopArgs),
    /// Show what an entry or agent says of itself.
    Status(operator::status::StatusArgs),
    /// Show what collected logs say of one request.
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
        ProcessCommand::Check(args) => operator::finish(format, operator::check::check(&args)),
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
