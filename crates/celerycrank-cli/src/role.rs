//! The `entry` and `agent` commands.

use std::{error::Error, fs, path::PathBuf};

use celerycrank_agent::AgentProcess;
use celerycrank_config::{CheckFault, check_agent, check_entry};
use celerycrank_entry::EntryProcess;
use celerycrank_process::DeploymentSource;
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
    #[arg(long, value_enum, default_value_t = LogForm::Text)]
    log: LogForm,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum LogForm {
    /// For people.
    Text,
    /// For collectors.
    Json,
}

/// Runs an entry until it is told to stop.
pub(crate) fn run_entry(args: &RoleArgs) -> Result<(), Box<dyn Error>> {
    start_log(args.log);
    let settings = read_settings(args, check_entry)?;
    let source = find_source(args, settings.platform.clone());
    actix_rt::System::new().block_on(async {
        let process = EntryProcess::start(settings, &source).await?;
        process.run().await?;
        Ok(())
    })
}

/// Runs an agent until it is told to stop.
pub(crate) fn run_agent(args: &RoleArgs) -> Result<(), Box<dyn Error>> {
    start_log(args.log);
    let settings = read_settings(args, check_agent)?;
    let source = find_source(args, settings.platform.clone());
    actix_rt::System::new().block_on(async {
        let process = AgentProcess::start(settings, &source).await?;
        process.run().await?;
        Ok(())
    })
}

fn read_settings<T>(
    args: &RoleArgs,
    check: impl FnOnce(&str) -> Result<T, Vec<CheckFault>>,
) -> Result<T, Box<dyn Error>> {
    let path = args.settings.display();
    let text =
        fs::read_to_string(&args.settings).map_err(|e| format!("cannot read {path}: {e}"))?;
    check(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("\n  {fault}"));
        format!("{path} has faults:{}", lines.collect::<String>()).into()
    })
}

fn find_source(
    args: &RoleArgs,
    platform: celerycrank_config::PlatformSettings,
) -> DeploymentSource {
    match &args.deployment {
        Some(path) => DeploymentSource::Static(path.clone()),
        None => DeploymentSource::Platform(platform),
    }
}

fn start_log(form: LogForm) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match form {
        LogForm::Text => builder.init(),
        LogForm::Json => builder.json().init(),
    }
}
