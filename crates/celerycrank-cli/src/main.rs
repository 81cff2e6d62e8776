//! The celerycrank binary: both process roles and the operators' commands.

mod keys;
mod role;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Load balancer for expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(version)]
struct ProcessArgs {
    #[command(subcommand)]
    command: ProcessCommand,
}

#[derive(Debug, Subcommand)]
enum ProcessCommand {
    /// Run an entry: accept callers and hand their requests to agents.
    Entry(role::RoleArgs),
    /// Run an agent: the only way to the backend server beside it.
    Agent(role::RoleArgs),
    /// Make an authority and process keys for a trial deployment.
    Keys(keys::KeysArgs),
}

fn main() -> ExitCode {
    let result = match ProcessArgs::parse().command {
        ProcessCommand::Entry(args) => role::run_entry(&args),
        ProcessCommand::Agent(args) => role::run_agent(&args),
        ProcessCommand::Keys(args) => keys::make_keys(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("celerycrank: {fault}");
            ExitCode::FAILURE
        }
    }
}
