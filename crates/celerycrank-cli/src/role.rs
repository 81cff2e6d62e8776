//! The commands that run a process role.

use std::{
    error::Error,
    fs,
    path::{Path, PathBuf},
};

use celerycrank_agent::AgentProcess;
use celerycrank_config::{
    ValidationError, check_agent, check_direct_entry, check_entry, check_rank_agent,
};
use celerycrank_direct::{DirectEntryProcess, RankAgentProcess};
use celerycrank_entry::EntryProcess;
use celerycrank_process::{DeploymentSource, LogBuffer};
use clap::ValueEnum;
use tracing_subscriber::EnvFilter;

/// Arguments of a process role.
#[derive(Debug, clap::Args)]
pub(crate) struct RoleArgs {
    /// Settings of the process (JSON).
    #[arg(long)]
    settings: PathBuf,
    /// Take both lists and the agents from this file in place of the platform's services.
    #[arg(long = "static")]
    deployment: Option<PathBuf>,
    /// Form of the log lines, which go to the standard error stream.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
}

/// Arguments of a process that stands straight before backend servers.
#[derive(Debug, clap::Args)]
pub(crate) struct DirectArgs {
    /// Settings of the process (JSON).
    #[arg(long, env = "CELERYCRANK_CONFIG")]
    settings: PathBuf,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum LogFormat {
    /// For people.
    Text,
    /// For collectors.
    Json,
}

/// Runs an entry until it is told to stop.
pub(crate) fn run_entry(args: &RoleArgs) -> Result<(), Box<dyn Error>> {
    start_log(args.log);
    let settings = read_settings(&args.settings, check_entry)?;
    let source = select_source(args, settings.platform.clone());
    actix_rt::System::new().block_on(async {
        let process = EntryProcess::start(settings, &source).await?;
        process.run().await?;
        Ok(())
    })
}

/// Runs an agent until it is told to stop.
pub(crate) fn run_agent(args: &RoleArgs) -> Result<(), Box<dyn Error>> {
    start_log(args.log);
    let settings = read_settings(&args.settings, check_agent)?;
    let source = select_source(args, settings.platform.clone());
    actix_rt::System::new().block_on(async {
        let process = AgentProcess::start(settings, &source).await?;
        process.run().await?;
        Ok(())
    })
}

/// Runs an entry that sends requests straight to backend servers, until it is told to stop.
pub(crate) fn run_direct_entry(args: &DirectArgs) -> Result<(), Box<dyn Error>> {
    let log = start_buffered_log();
    let path = args.settings.clone();
    let read = move || read_settings(&path, check_direct_entry);
    let settings = read()?;
    let result = actix_rt::System::new().block_on(async {
        let process = DirectEntryProcess::start(settings).await?;
        process.run(read).await
    });
    log.flush_lines();
    Ok(result?)
}

/// Runs an agent beside a model engine, until it is told to stop.
pub(crate) fn run_rank_agent(args: &DirectArgs) -> Result<(), Box<dyn Error>> {
    let log = start_buffered_log();
    let settings = read_settings(&args.settings, check_rank_agent)?;
    let result = actix_rt::System::new().block_on(async {
        let process = RankAgentProcess::start(settings).await?;
        process.run().await
    });
    log.flush_lines();
    Ok(result?)
}

fn read_settings<T>(
    path: &Path,
    check: impl FnOnce(&str) -> Result<T, Vec<ValidationError>>,
) -> Result<T, Box<dyn Error>> {
    let name = path.display();
    let text = fs::read_to_string(path).map_err(|e| format!("cannot read {name}: {e}"))?;
    check(&text).map_err(|errors| {
        let lines = errors.iter().map(|error| format!("\n  {error}"));
        format!("{name} has faults:{}", lines.collect::<String>()).into()
    })
}

fn select_source(
    args: &RoleArgs,
    platform: celerycrank_config::PlatformSettings,
) -> DeploymentSource {
    match &args.deployment {
        Some(path) => DeploymentSource::Static(path.clone()),
        None => DeploymentSource::Platform(platform),
    }
}

fn start_log(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

/// Starts structured logs on standard output, which never wait for their reader.
fn start_buffered_log() -> LogBuffer {
    let log = LogBuffer::start();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(log.clone())
        .init();
    log
}
