//! `celerycrank history`: the last changes of the lists.

use std::fmt::Write;

use celerycrank_config::ChangeRecord;
use serde_json::json;

use crate::operator::{
    CommandError, CommandReport, EXIT_HELP, diff::format_changes, directory::DirectoryArgs,
    service::PlatformHandle, time::UtcTime,
};

/// Shows who changed what and when, the last change first.
#[derive(Debug, clap::Args)]
#[command(after_help = EXIT_HELP)]
pub(crate) struct HistoryArgs {
    #[command(flatten)]
    directory: DirectoryArgs,
    /// Most changes to show.
    #[arg(long, default_value_t = 10)]
    limit: usize,
}

/// Shows the last changes.
pub(crate) async fn history(args: &HistoryArgs) -> Result<CommandReport, CommandError> {
    let platform = PlatformHandle::new(&args.directory.read_platform()?);
    let Some(stored) = platform.read_configuration().await? else {
        let text = "nothing was ever applied\n";
        return Ok(CommandReport::done(text, &json!({ "changes": [] })));
    };
    let last = stored.value.changes.iter().rev().take(args.limit);
    let notes = last.collect::<Vec<_>>();
    let text = notes
        .iter()
        .map(|note| format_change_record(note))
        .collect::<String>();
    Ok(CommandReport::done(text, &json!({ "changes": notes })))
}

/// One change with what it changed.
pub(crate) fn format_change_record(note: &ChangeRecord) -> String {
    let at = UtcTime(note.at);
    let mut text = format!("revision {} by {} at {at}", note.revision, note.author);
    if !note.note.is_empty() {
        text.push_str(": ");
        text.push_str(&note.note);
    }
    text.push('\n');
    text.push_str(&format_changes(&note.changes));
    if note.more > 0 {
        writeln!(text, "  and {} more", note.more).expect("writing to a text cannot fail");
    }
    text
}
