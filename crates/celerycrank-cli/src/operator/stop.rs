//! `celerycrank stop`: announces, withdraws and lists planned stops.

use std::{fmt::Write, sync::Arc};

use celerycrank_client::{Expected, KeyValueError, SwapOutcome, VmOffer, VmRecord, VmState};
use celerycrank_membership::{
    MemberTable, MemberTimings, PlannedStop, StopImpact, StopTarget, StopsRecord, VmDescriptor,
    VmRole,
};
use celerycrank_types::{TimePoint, TimeSpan};
use clap::Subcommand;
use serde_json::json;

use crate::operator::{
    CommandError, CommandReport, EXIT_HELP,
    apply::AuthorArgs,
    directory::DirectoryArgs,
    report::ExitStatus,
    service::{MAX_WRITE_ATTEMPTS, PlatformHandle, back_off},
    time::{StopTime, UtcTime},
};

const EXAMPLES: &str = "\
Targets: backend:NAME, vm:ID, entry:NAME, group:NAME, domain:NAME

Examples:
  celerycrank stop announce vm:vm-17 --reason 'new image'
  celerycrank stop announce domain:borba --at +30m --reason 'power works'
  celerycrank stop withdraw domain:borba
  celerycrank stop list

An announced target gets no new requests; requests in flight are completed.";

/// Announces, withdraws and lists planned stops.
#[derive(Debug, clap::Args)]
#[command(after_help = format!("{EXAMPLES}\n\n{EXIT_HELP}"))]
pub(crate) struct StopArgs {
    #[command(subcommand)]
    command: StopCommand,
}

#[derive(Debug, Subcommand)]
enum StopCommand {
    /// Announces a stop; warns if too little capacity would remain.
    Announce {
        /// Target to stop.
        target: StopTarget,
        /// Start of the stop: `now`, `+10m` or `2026-12-04T22:00:00Z`.
        #[arg(long, default_value = "now")]
        at: StopTime,
        /// Reason, shown in the list of stops.
        #[arg(long, default_value = "")]
        reason: Arc<str>,
        /// Announces the stop even if too little capacity would remain.
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        author: AuthorArgs,
        #[command(flatten)]
        directory: DirectoryArgs,
    },
    /// Withdraws the stop of a target.
    Withdraw {
        /// Target whose stop is withdrawn.
        target: StopTarget,
        #[command(flatten)]
        directory: DirectoryArgs,
    },
    /// Lists the announced stops.
    List {
        #[command(flatten)]
        directory: DirectoryArgs,
    },
}

/// An idempotent edit of the record of stops.
enum StopEdit {
    Announce(PlannedStop),
    Withdraw(StopTarget),
}

impl StopEdit {
    fn apply(&self, record: &mut StopsRecord) {
        match self {
            Self::Announce(stop) => record.announce(stop.clone()),
            Self::Withdraw(target) => {
                record.withdraw(target);
            }
        }
    }

    fn is_applied(&self, record: &StopsRecord) -> bool {
        match self {
            Self::Announce(stop) => record.stops.contains(stop),
            Self::Withdraw(target) => record.stops.iter().all(|stop| stop.target != *target),
        }
    }
}

/// Runs one of the subcommands.
pub(crate) async fn stop(args: &StopArgs) -> Result<CommandReport, CommandError> {
    match &args.command {
        StopCommand::Announce {
            target,
            at,
            reason,
            force,
            author,
            directory,
        } => {
            let platform = PlatformHandle::new(&directory.read_platform()?);
            let stop = PlannedStop {
                target: target.clone(),
                at: at.seconds(UtcTime::now().0),
                reason: Arc::clone(reason),
                author: author.name()?,
            };
            announce(&platform, stop, *force).await
        }
        StopCommand::Withdraw { target, directory } => {
            let platform = PlatformHandle::new(&directory.read_platform()?);
            let text = format!("no stop of {target} is announced\n");
            edit(&platform, &StopEdit::Withdraw(target.clone()), text).await
        }
        StopCommand::List { directory } => {
            list(&PlatformHandle::new(&directory.read_platform()?)).await
        }
    }
}

async fn announce(
    platform: &PlatformHandle,
    stop: PlannedStop,
    force: bool,
) -> Result<CommandReport, CommandError> {
    if !force && let Some(warning) = check_impact(platform, &stop.target).await? {
        return Ok(warning);
    }
    let text = format!("announced: {}", format_stop(&stop));
    edit(platform, &StopEdit::Announce(stop), text).await
}

/// Computes from the VM list what would remain in service with this stop and the announced ones.
///
/// Returns a warning if that is too little or if the VM list does not have the target.
async fn check_impact(
    platform: &PlatformHandle,
    target: &StopTarget,
) -> Result<Option<CommandReport>, CommandError> {
    let fetched = platform.vm_list.fetch().await;
    let table = member_table(&fetched.map_err(CommandError::VmList)?);
    let stops = platform.read_stops().await?;
    let announced = stops.map(|stored| stored.value.stops).unwrap_or_default();
    let mut targets = announced
        .into_iter()
        .map(|stop| stop.target)
        .collect::<Vec<_>>();
    targets.push(target.clone());
    let known = matches!(target, StopTarget::Vm(_) | StopTarget::Domain(_));
    if known
        && !table
            .descriptors()
            .any(|descriptor| target.covers(descriptor))
    {
        let text = format!("no VM in the VM list matches {target}; --force announces it anyway\n");
        let json = json!({ "error": "no such target", "target": target.to_string() });
        return Ok(Some(CommandReport::new(
            ExitStatus::NeedsForce,
            text,
            &json,
        )));
    }
    let impact = StopImpact::of(&table, &targets);
    Ok((!impact.shortfalls.is_empty()).then(|| report_shortfall(target, &impact)))
}

fn report_shortfall(target: &StopTarget, impact: &StopImpact) -> CommandReport {
    let mut text =
        format!("not announced: with {target} stopped, too little capacity would remain:\n");
    for shortfall in &impact.shortfalls {
        let role = match &shortfall.role {
            VmRole::Entry => "entries".to_owned(),
            VmRole::Engine(model) => format!("model {model}"),
            VmRole::Service(service) => format!("service {service}"),
        };
        let (live, remaining) = (shortfall.live, shortfall.remaining);
        writeln!(text, "  {role}: {remaining} of {live} VMs")
            .expect("writing to a string cannot fail");
    }
    text.push_str("--force announces it anyway\n");
    CommandReport::new(ExitStatus::NeedsForce, text, impact)
}

fn member_table(records: &[VmRecord]) -> MemberTable {
    let descriptors = records.iter().map(|record| {
        let role = match &record.offers {
            VmOffer::Model(model) => VmRole::Engine(model.clone()),
            VmOffer::Service(service) => VmRole::Service(service.clone()),
            VmOffer::Entry => VmRole::Entry,
        };
        let descriptor = VmDescriptor {
            vm: record.vm.clone(),
            domain: record.domain.clone(),
            address: record.address,
            role,
            backend: None,
            group: None,
        };
        (descriptor, record.state == VmState::Leaving)
    });
    let timings = MemberTimings {
        ramp: TimeSpan::ZERO,
        ..MemberTimings::default()
    };
    let mut table = MemberTable::new(timings);
    table.on_list(&descriptors.collect::<Vec<_>>(), TimePoint::default());
    table
}

/// Edits the record; starts over if another operator changes it in the meantime.
async fn edit(
    platform: &PlatformHandle,
    edit: &StopEdit,
    text: String,
) -> Result<CommandReport, CommandError> {
    let key = platform.stops_key();
    let mut unresolved = None::<KeyValueError>;
    for attempt in 0..MAX_WRITE_ATTEMPTS {
        let (mut record, expected) = match platform.read_stops().await {
            Ok(Some(stored)) => (stored.value, stored.expected),
            Ok(None) => (StopsRecord::default(), Expected::Absent),
            Err(error) if unresolved.is_none() => return Err(error),
            Err(_) => {
                back_off(attempt).await;
                continue;
            }
        };
        if edit.is_applied(&record) {
            return Ok(CommandReport::done(text, &record));
        }
        edit.apply(&mut record);
        record.revision += 1;
        match platform.swap(&key, expected, &record).await {
            Ok(SwapOutcome::Written(_)) => return Ok(CommandReport::done(text, &record)),
            Ok(SwapOutcome::Conflict(_)) => {}
            Err(error) if error.proves_no_effect() && unresolved.is_none() => {
                return Err(CommandError::Service(error));
            }
            Err(error) => unresolved = Some(error),
        }
        back_off(attempt).await;
    }
    Ok(report_edit_failure(unresolved))
}

/// Reports an edit that failed on every attempt, because other operators changed the record
/// each time or because answers were lost.
fn report_edit_failure(unresolved: Option<KeyValueError>) -> CommandReport {
    let Some(error) = unresolved else {
        let text =
            "nothing was changed: other operators are editing the stops; run the command again\n";
        let json = json!({ "error": "others edit the stops" });
        return CommandReport::new(ExitStatus::Conflict, text, &json);
    };
    CommandReport::unknown_outcome(&error)
}

async fn list(platform: &PlatformHandle) -> Result<CommandReport, CommandError> {
    let stored = platform.read_stops().await?;
    let record = stored.map(|stored| stored.value).unwrap_or_default();
    let mut text = record.stops.iter().map(format_stop).collect::<String>();
    if text.is_empty() {
        text.push_str("no stops are announced\n");
    }
    Ok(CommandReport::done(text, &record))
}

fn format_stop(stop: &PlannedStop) -> String {
    let mut text = format!(
        "{} from {} by {}",
        stop.target,
        UtcTime(stop.at),
        stop.author
    );
    if !stop.reason.is_empty() {
        text.push_str(": ");
        text.push_str(&stop.reason);
    }
    text.push('\n');
    text
}
