//! `celerycrank diff`: what applying the lists would change.

use celerycrank_config::{CustomerList, ListChange, PlanList, diff_lists};
use celerycrank_types::Revision;
use serde_json::json;

use crate::operator::{
    CommandError, CommandReport, EXIT_HELP,
    directory::{DirectoryArgs, ListPair},
    report::ExitStatus,
    service::{PlatformHandle, StoredRecord},
};

const EXAMPLES: &str = "\
Examples:
  celerycrank diff                    what `celerycrank apply` would change
  celerycrank diff --format json      the same for scripts; exit code 1 if anything";

/// Shows the semantic changes that applying the lists in the directory would make.
#[derive(Debug, clap::Args)]
#[command(after_help = format!("{EXAMPLES}\n\n{EXIT_HELP}"))]
pub(crate) struct DiffArgs {
    #[command(flatten)]
    directory: DirectoryArgs,
}

/// Compares the lists with the configuration in force.
pub(crate) async fn diff(args: &DiffArgs) -> Result<CommandReport, CommandError> {
    let lists = args.directory.read_valid_lists()?;
    let platform = PlatformHandle::new(&args.directory.read_platform()?);
    let current = platform.read_configuration().await?;
    let revision = current
        .as_ref()
        .map_or(Revision(0), |record| record.value.revision);
    let changes = changes_from(current.as_ref(), &lists);
    let json = json!({ "revision": revision, "changes": changes });
    if changes.is_empty() {
        let text = format!("no differences from revision {revision}\n");
        return Ok(CommandReport::done(text, &json));
    }
    let text = format!("against revision {revision}:\n{}", format_changes(&changes));
    Ok(CommandReport::new(ExitStatus::Found, text, &json))
}

/// The changes that the lists would make to the configuration in force.
pub(crate) fn changes_from(
    current: Option<&StoredRecord<celerycrank_config::ConfigurationRecord>>,
    lists: &ListPair,
) -> Vec<ListChange> {
    let new = (&lists.customers, &lists.plans);
    match current {
        Some(record) => diff_lists((&record.value.customers, &record.value.plans), new),
        None => diff_lists((&CustomerList::default(), &PlanList::default()), new),
    }
}

/// Formats each change as an indented line.
pub(crate) fn format_changes(changes: &[ListChange]) -> String {
    let lines = changes.iter().map(|change| format!("  {change}\n"));
    lines.collect()
}
