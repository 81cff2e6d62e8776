//! `celerycrank apply`: applies the lists, unless another operator has changed them.

use std::sync::Arc;

use celerycrank_client::{Expected, KeyValueError, KeyValueRecord, SendError, SwapOutcome};
use celerycrank_config::{ChangeRecord, ConfigurationRecord, ListChange};
use celerycrank_types::Revision;
use serde_json::json;

use crate::operator::{
    CommandError, CommandReport, EXIT_HELP,
    diff::{changes_from, format_changes},
    directory::{DirectoryArgs, ListPair},
    history::format_change_record,
    report::ExitStatus,
    service::{MAX_WRITE_ATTEMPTS, PlatformHandle, StoredRecord, back_off, decode},
    time::UtcTime,
};

const EXAMPLES: &str = "\
The lists are applied only if nobody has changed them since the revision in
revision.json, which `export` and `apply` write. Otherwise the command shows who
changed what, and neither their change nor yours is lost.

Examples:
  celerycrank apply --note 'night shift gets the larger plan'
  celerycrank apply --dir co-op --author ana";

/// Applies both lists, unless another operator has changed them in the meantime.
#[derive(Debug, clap::Args)]
#[command(after_help = format!("{EXAMPLES}\n\n{EXIT_HELP}"))]
pub(crate) struct ApplyArgs {
    #[command(flatten)]
    directory: DirectoryArgs,
    #[command(flatten)]
    author: AuthorArgs,
    /// Reason for the change, shown in the history.
    #[arg(long, default_value = "")]
    note: Arc<str>,
    /// Writes the lists as the revision after the edited one, if the service has lost its record.
    #[arg(long)]
    restore: bool,
}

/// Arguments that name the author of a change.
#[derive(Debug, clap::Args)]
pub(crate) struct AuthorArgs {
    /// Author of the change; defaults to $USER.
    #[arg(long)]
    author: Option<Arc<str>>,
}

impl AuthorArgs {
    pub(crate) fn name(&self) -> Result<Arc<str>, CommandError> {
        let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
        let author = self.author.clone().or_else(|| user().map(Arc::from));
        author.ok_or(CommandError::NoAuthor)
    }
}

/// What to do with the lists, given the record in force.
enum ApplyDecision {
    /// The lists are in force already.
    InForce(Revision),
    /// Another operator has changed them.
    Conflict(Box<ConfigurationRecord>),
    /// The service has no lists, although the edited ones were read from it.
    Missing,
    /// The record must be written.
    Write {
        expected: Expected,
        record: Box<ConfigurationRecord>,
        changes: Vec<ListChange>,
    },
}

/// Author, reason and time of a write, and the nonce that identifies it.
struct WriteMetadata {
    author: Arc<str>,
    note: Arc<str>,
    nonce: Arc<str>,
    at: u64,
}

/// Outcome of a write.
enum WriteOutcome {
    Written,
    Conflict(Box<ConfigurationRecord>),
    Missing,
    Unknown(KeyValueError),
}

/// Applies the lists of the directory.
pub(crate) async fn apply(args: &ApplyArgs) -> Result<CommandReport, CommandError> {
    let lists = args.directory.read_valid_lists()?;
    let base = args.directory.read_revision()?;
    let platform = PlatformHandle::new(&args.directory.read_platform()?);
    let metadata = WriteMetadata {
        author: args.author.name()?,
        note: Arc::clone(&args.note),
        nonce: format!("{:032x}", rand::random::<u128>()).into(),
        at: UtcTime::now().0,
    };
    let current = platform.read_configuration().await?;
    match decide(current, base, args.restore, &lists, &metadata) {
        ApplyDecision::InForce(revision) => {
            args.directory.write_revision(revision)?;
            let text = format!("the lists are in force already, as revision {revision}\n");
            Ok(CommandReport::done(
                text,
                &json!({ "revision": revision, "changes": [] }),
            ))
        }
        ApplyDecision::Conflict(record) => Ok(report_conflict(&record, base)),
        ApplyDecision::Missing => Ok(report_missing(&platform, base)),
        ApplyDecision::Write {
            expected,
            record,
            changes,
        } => match write(&platform, expected, &record).await? {
            WriteOutcome::Written => {
                args.directory.write_revision(record.revision)?;
                Ok(report_written(&record, &changes))
            }
            WriteOutcome::Conflict(record) => Ok(report_conflict(&record, base)),
            WriteOutcome::Missing => Ok(report_missing(&platform, base)),
            WriteOutcome::Unknown(error) => Ok(CommandReport::unknown_outcome(&error)),
        },
    }
}

fn decide(
    current: Option<StoredRecord<ConfigurationRecord>>,
    base: Revision,
    restore: bool,
    lists: &ListPair,
    metadata: &WriteMetadata,
) -> ApplyDecision {
    let changes = changes_from(current.as_ref(), lists);
    let (expected, revision, history) = match current {
        Some(stored) if changes.is_empty() => {
            return ApplyDecision::InForce(stored.value.revision);
        }
        Some(stored) if stored.value.revision != base => {
            return ApplyDecision::Conflict(Box::new(stored.value));
        }
        Some(stored) => (stored.expected, stored.value.revision, stored.value.changes),
        // Revision 1 would be older than the one that the processes have.
        None if base > Revision(0) && !restore => return ApplyDecision::Missing,
        None => (Expected::Absent, base, Vec::new()),
    };
    let mut record = ConfigurationRecord {
        revision: revision.next(),
        nonce: Arc::clone(&metadata.nonce),
        author: Arc::clone(&metadata.author),
        note: Arc::clone(&metadata.note),
        at: metadata.at,
        customers: lists.customers.clone(),
        plans: lists.plans.clone(),
        changes: history,
    };
    record.append_change(changes.clone());
    ApplyDecision::Write {
        expected,
        record: Box::new(record),
        changes,
    }
}

/// Writes the record. If an answer is lost, the nonce shows whether the write was made.
///
/// The same write is sent again rather than only read back: whichever copy arrives first changes
/// the key, so that a delayed copy cannot take effect any more.
async fn write(
    platform: &PlatformHandle,
    expected: Expected,
    record: &ConfigurationRecord,
) -> Result<WriteOutcome, CommandError> {
    let key = platform.configuration_key();
    let mut unresolved = None;
    for attempt in 0..MAX_WRITE_ATTEMPTS {
        let error = match platform.swap(&key, expected, record).await {
            Ok(SwapOutcome::Written(_)) => return Ok(WriteOutcome::Written),
            Ok(SwapOutcome::Conflict(found)) => {
                return resolve_conflict(record, found.as_ref(), unresolved);
            }
            Err(error) => error,
        };
        match error {
            KeyValueError::NotSent(SendError::ValueTooLarge(_)) => {
                return Err(CommandError::TooLarge(error));
            }
            // That this attempt had no effect says nothing about an earlier unresolved one.
            _ if error.proves_no_effect() && unresolved.is_none() => {
                return Err(CommandError::Service(error));
            }
            _ => unresolved = Some(error),
        }
        back_off(attempt).await;
    }
    let error = unresolved.expect("every attempt that is retried stores its error");
    Ok(WriteOutcome::Unknown(error))
}

/// Determines whether the conflicting record is the one just written or is based on it.
fn resolve_conflict(
    record: &ConfigurationRecord,
    found: Option<&KeyValueRecord>,
    unresolved: Option<KeyValueError>,
) -> Result<WriteOutcome, CommandError> {
    let stored = found.map(decode::<ConfigurationRecord>).transpose();
    let current = match (stored, unresolved) {
        (Ok(Some(stored)), _) => stored.value,
        // An earlier attempt may have been written and its record then lost or damaged.
        (_, Some(error)) => return Ok(WriteOutcome::Unknown(error)),
        (Ok(None), None) => return Ok(WriteOutcome::Missing),
        (Err(error), None) => return Err(error),
    };
    let is_own = |change: &ChangeRecord| change.nonce == record.nonce;
    if current.changes.iter().any(is_own) {
        return Ok(WriteOutcome::Written);
    }
    Ok(WriteOutcome::Conflict(Box::new(current)))
}

fn report_written(record: &ConfigurationRecord, changes: &[ListChange]) -> CommandReport {
    let text = format!(
        "revision {} accepted:\n{}",
        record.revision,
        format_changes(changes)
    );
    let json = json!({ "revision": record.revision, "changes": changes });
    CommandReport::done(text, &json)
}

fn report_conflict(record: &ConfigurationRecord, base: Revision) -> CommandReport {
    let since = record
        .changes
        .iter()
        .filter(|change| change.revision > base);
    let changes = since.collect::<Vec<_>>();
    let mut text = format!(
        "nothing was changed: you edited revision {base}, and revision {} is in force\n",
        record.revision
    );
    text.extend(changes.iter().map(|change| format_change_record(change)));
    let first = changes.first().map(|change| change.revision);
    if first.is_none_or(|first| first > base.next()) {
        text.push_str("older changes are no longer kept in the record\n");
    }
    text.push_str(
        "your files are unchanged; to continue:\n  \
         celerycrank export --dir theirs --platform-dir .    the lists in force, next to yours\n  \
         make your edits in theirs/, copy platform.json there, then\n  \
         celerycrank diff --dir theirs && celerycrank apply --dir theirs\n",
    );
    let json = json!({ "edited": base, "in_force": record.revision, "since": changes });
    CommandReport::new(ExitStatus::Conflict, text, &json)
}

fn report_missing(platform: &PlatformHandle, base: Revision) -> CommandReport {
    let key = platform.configuration_key();
    let text = format!(
        "nothing was changed: you edited revision {base}, but there is no record {key}\n\
         check the prefix in platform.json; if the service has lost its record:\n  \
         celerycrank apply --restore     writes your lists as revision {}\n",
        base.next()
    );
    let json = json!({ "edited": base, "in_force": null, "key": key });
    CommandReport::new(ExitStatus::Conflict, text, &json)
}
