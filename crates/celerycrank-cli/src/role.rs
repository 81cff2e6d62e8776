//! The `entry` and `agent` commands.

use std::{error::Error, fs, path::PathBuf};

use celerycrank_agent::AgentProcess;
use celerycrank_config::{AgentSettings, EntrySettings};
use celerycrank_entry::EntryProcess;
use celerycrank_process::DeploymentSource;
use clap::ValueEnum;
use serde::de::DeserializeOwned;
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
    let settings = read_settings::<EntrySettings>(args)?;
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
    let settings = read_settings::<AgentSettings>(args)?;
    let source = find_source(args, settings.platform.clone());
    actix_rt::System::new().block_on(async {
        let process = AgentProcess::start(settings, &source).await?;
        process.run().await?;
        Ok(())
    })
}

fn read_settings<T: DeserializeOwned>(args: &RoleArgs) -> Result<T, Box<dyn Error>> {
    let text = fs::read(&args.settings)?;
    Ok(serde_json::from_slice(&text)?)
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
