//! `celerycrank show` and `celerycrank export`: the lists in force.

use celerycrank_config::{ConfigurationRecord, format_json};
use serde_json::json;

use crate::operator::{
    CommandError, CommandReport, EXIT_HELP,
    directory::{DirectoryArgs, ListPair},
    report::ExitStatus,
    service::PlatformHandle,
    time::UtcTime,
};

/// Shows both lists in force.
#[derive(Debug, clap::Args)]
#[command(after_help = EXIT_HELP)]
pub(crate) struct ShowArgs {
    #[command(flatten)]
    directory: DirectoryArgs,
}

/// Writes both lists in force to files, with the revision at which they were read.
#[derive(Debug, clap::Args)]
#[command(after_help = EXIT_HELP)]
pub(crate) struct ExportArgs {
    #[command(flatten)]
    directory: DirectoryArgs,
    /// Directory with platform.json, if different.
    #[arg(long)]
    platform_dir: Option<std::path::PathBuf>,
    /// Replaces lists that already exist in the directory.
    #[arg(long)]
    force: bool,
}

/// Shows the lists.
pub(crate) async fn show(args: &ShowArgs) -> Result<CommandReport, CommandError> {
    let platform = PlatformHandle::new(&args.directory.read_platform()?);
    let Some(stored) = platform.read_configuration().await? else {
        return Ok(report_nothing_applied());
    };
    let record = stored.value;
    let text = format!(
        "revision {} by {} at {}\ncustomer list: {}plan list: {}",
        record.revision,
        record.author,
        UtcTime(record.at),
        format_json(&record.customers),
        format_json(&record.plans),
    );
    let json = json!({
        "revision": record.revision, "author": record.author, "note": record.note,
        "at": record.at, "customers": record.customers, "plans": record.plans,
    });
    Ok(CommandReport::done(text, &json))
}

/// Writes the lists.
pub(crate) async fn export(args: &ExportArgs) -> Result<CommandReport, CommandError> {
    let settings = match &args.platform_dir {
        Some(dir) => DirectoryArgs::at(dir.clone()).read_platform()?,
        None => args.directory.read_platform()?,
    };
    let platform = PlatformHandle::new(&settings);
    let Some(stored) = platform.read_configuration().await? else {
        return Ok(report_nothing_applied());
    };
    let ConfigurationRecord {
        revision,
        customers,
        plans,
        ..
    } = stored.value;
    let dir = args.directory.path().display();
    if args.directory.has_lists() && !args.force {
        let text = format!("{dir} already has lists; --force replaces them\n");
        let json = json!({ "error": "the directory has lists already" });
        return Ok(CommandReport::new(ExitStatus::NeedsForce, text, &json));
    }
    let lists = ListPair { customers, plans };
    args.directory.write_lists(&lists, revision)?;
    let text = format!("revision {revision} written to {dir}\n");
    Ok(CommandReport::done(text, &json!({ "revision": revision })))
}

fn report_nothing_applied() -> CommandReport {
    let text = "no lists have been applied yet\n";
    CommandReport::done(text, &json!({ "revision": 0 }))
}
