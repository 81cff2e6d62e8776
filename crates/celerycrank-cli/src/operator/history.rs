//! `celerycrank history`: the latest changes to the lists.

use std::fmt::Write;

use celerycrank_config::ChangeRecord;
use serde_json::json;

use crate::operator::{
    CommandError, CommandReport, EXIT_HELP, diff::format_changes, directory::DirectoryArgs,
    service::PlatformHandle, time::UtcTime,
};

/// Shows who changed what and when, the latest change first.
#[derive(Debug, clap::Args)]
#[command(after_help = EXIT_HELP)]
pub(crate) struct HistoryArgs {
    #[command(flatten)]
    directory: DirectoryArgs,
    /// Maximum number of changes to show.
    #[arg(long, default_value_t = 10)]
    limit: usize,
}

/// Shows the latest changes.
pub(crate) async fn history(args: &HistoryArgs) -> Result<CommandReport, CommandError> {
    let platform = PlatformHandle::new(&args.directory.read_platform()?);
    let Some(stored) = platform.read_configuration().await? else {
        let text = "no lists have been applied yet\n";
        return Ok(CommandReport::done(text, &json!({ "changes": [] })));
    };
    let latest = stored.value.changes.iter().rev().take(args.limit);
    let changes = latest.collect::<Vec<_>>();
    let text = changes
        .iter()
        .map(|change| format_change_record(change))
        .collect::<String>();
    Ok(CommandReport::done(text, &json!({ "changes": changes })))
}

/// Formats a change record and the list changes in it.
pub(crate) fn format_change_record(record: &ChangeRecord) -> String {
    let at = UtcTime(record.at);
    let mut text = format!("revision {} by {} at {at}", record.revision, record.author);
    if !record.note.is_empty() {
        text.push_str(": ");
        text.push_str(&record.note);
    }
    text.push('\n');
    text.push_str(&format_changes(&record.changes));
    if record.more > 0 {
        writeln!(text, "  and {} more", record.more).expect("writing to a string cannot fail");
    }
    text
}
