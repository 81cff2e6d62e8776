//! Runs a single stand-in as a process.

use std::{io, net::SocketAddr, path::PathBuf};

use celerycrank_standin::{
    EngineOptions, EngineStandin, KeyValueStandin, LedgerStandin, RankGroupOptions,
    RankGroupStandin, VmListStandin,
};
use celerycrank_types::{ModelId, TimeSpan};
use clap::{Parser, Subcommand};

/// Stand-ins for the platform and backend servers.
#[derive(Debug, Parser)]
#[command(name = "celerycrank-standin")]
struct StandinArguments {
    /// Address to listen on; with port 0 the system chooses the port.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// File to which the address is written once the stand-in listens.
    #[arg(long, global = true)]
    ready_file: Option<PathBuf>,
    #[command(subcommand)]
    role: StandinRole,
}

/// The service to stand in for.
#[derive(Debug, Subcommand)]
enum StandinRole {
    /// The key-value service.
    KeyValue,
    /// The VM list.
    VmList,
    /// A model engine.
    Engine {
        /// The model to serve.
        #[arg(long)]
        model: ModelId,
        /// Maximum number of requests in a batch.
        #[arg(long, default_value_t = 16)]
        batch: usize,
        /// Time per token with a single request in the batch.
        #[arg(long, default_value = "5ms")]
        token_time: TimeSpan,
        /// Time that each additional request in the batch adds per token.
        #[arg(long, default_value = "250us")]
        crowding: TimeSpan,
        /// Prefill time per token that is not cached.
        #[arg(long, default_value = "100us")]
        prefill: TimeSpan,
        /// How long a stream without a reader can be resumed before it is cancelled.
        #[arg(long, default_value = "0s")]
        resume_window: TimeSpan,
        /// Refuse orders with a stale fencing number.
        #[arg(long)]
        fencing: bool,
    },
    /// A plain service that records every call it executes.
    Ledger,
    /// The engines of a lock-step group and their weight store.
    RankGroup {
        /// Number of agents that drive the group's ranks.
        #[arg(long)]
        members: usize,
        /// Duration of a step when all ranks are equally loaded.
        #[arg(long, default_value = "30ms")]
        step_time: TimeSpan,
        /// Time for the weight store to deliver one expert.
        #[arg(long, default_value = "10ms")]
        expert_time: TimeSpan,
        /// Refuse orders with a stale fencing number.
        #[arg(long)]
        fencing: bool,
    },
}

#[actix_rt::main]
async fn main() -> io::Result<()> {
    let arguments = StandinArguments::parse();
    match &arguments.role {
        StandinRole::KeyValue => {
            let standin = KeyValueStandin::start(arguments.listen).await?;
            run_until_signal(&arguments, standin.address()).await
        }
        StandinRole::VmList => {
            let standin = VmListStandin::start(arguments.listen).await?;
            run_until_signal(&arguments, standin.address()).await
        }
        StandinRole::Ledger => {
            let standin = LedgerStandin::start(arguments.listen).await?;
            run_until_signal(&arguments, standin.address()).await
        }
        StandinRole::RankGroup {
            members,
            step_time,
            expert_time,
            fencing,
        } => {
            let options = RankGroupOptions::builder()
                .members(*members)
                .step_time(*step_time)
                .expert_time(*expert_time)
                .fencing(*fencing)
                .build();
            let standin = RankGroupStandin::start(arguments.listen, options).await?;
            run_until_signal(&arguments, standin.address()).await
        }
        StandinRole::Engine {
            model,
            batch,
            token_time,
            crowding,
            prefill,
            resume_window,
            fencing,
        } => {
            let options = EngineOptions::builder()
                .model(model.clone())
                .batch(*batch)
                .token_time(*token_time)
                .extra_request_time(*crowding)
                .prefill(*prefill)
                .resume_window(*resume_window)
                .fencing(*fencing)
                .build();
            let standin = EngineStandin::start(arguments.listen, options).await?;
            run_until_signal(&arguments, standin.address()).await
        }
    }
}

/// Prints the address, writes the ready file and waits for a signal to stop.
async fn run_until_signal(arguments: &StandinArguments, address: SocketAddr) -> io::Result<()> {
    println!("listening on {address}");
    if let Some(path) = &arguments.ready_file {
        write_atomically(path, &address.to_string())?;
    }
    let mut stop = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = stop.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => interrupted,
    }
}

/// Writes a file atomically, so that no reader sees partial contents.
fn write_atomically(path: &PathBuf, text: &str) -> io::Result<()> {
    let partial = path.with_extension("partial");
    std::fs::write(&partial, text)?;
    std::fs::rename(&partial, path)
}
