//! Commands that run a process role.

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
    /// Settings file of the process (JSON).
    #[arg(long)]
    settings: PathBuf,
    /// Read both lists and the agents from this file instead of the platform's services.
    #[arg(long = "static")]
    deployment: Option<PathBuf>,
    /// Format of the log lines, which are written to standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
}

/// Arguments of a direct entry or a rank agent.
#[derive(Debug, clap::Args)]
pub(crate) struct DirectArgs {
    /// Settings file of the process (JSON).
    #[arg(long, env = "CELERYCRANK_CONFIG")]
    settings: PathBuf,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line, for log collectors.
    Json,
}

/// Runs an entry until it shuts down.
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

/// Runs an agent until it shuts down.
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

/// Runs an entry that sends requests directly to backend servers, until it shuts down.
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

/// Runs an agent next to a model engine, until it shuts down.
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
        format!("{name} has errors:{}", lines.collect::<String>()).into()
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

/// Starts JSON logs on standard output, which are buffered and never block.
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
