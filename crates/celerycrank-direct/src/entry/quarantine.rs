//! Shares crashes of backend servers between entries, through the key-value service.
//!
//! Each report is a record of its own, so that entries need not agree on anything: each of them
//! decides for itself from all reports. The records have leases and disappear by themselves;
//! processes that start meanwhile read them before they send requests.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use actix_rt::time::sleep;
use bytes::Bytes;
use celerycrank_client::{Expected, KeyValueError, KeyValueRecord, SwapOutcome};
use celerycrank_serving::{
    BackendIncarnation, CrashReport, FinishedAnswer, PresentPrompt, PromptQuery, RefusedPart,
};
use celerycrank_types::{EntryId, ModRevision, TimePoint, TimeSpan};
use tokio::sync::Notify;

use super::state::EntryState;

/// The prefix of the keys of crash reports.
pub(super) const CRASH_PREFIX: &str = "celerycrank/crashes/";

/// How long a record stays for processes that start.
const RECORD_TTL: TimeSpan = TimeSpan::from_secs(600);

/// Delay before a report that could not be written is written again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The shortest interval at which finished answers are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which a finished answer is held back while its backend server is checked.
const MAX_ANSWER_DELAY: TimeSpan = TimeSpan::from_secs(1);

/// Maximum number of reports that wait to be written.
const MAX_WAITING_REPORTS: usize = 64;

impl EntryState {
    /// Records that an answer to a prompt has begun.
    pub(super) fn note_begun(&self, query: &PromptQuery<'_>) {
        if query.parts.is_empty() {
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.note_begun(query, self.clock.now());
    }

    /// Records that a backend server has sent the end of an answer, which is held back until it has
    /// outlived it.
    pub(super) fn note_finished(&self, answer: FinishedAnswer) {
        if answer.is_whole {
            self.note_whole(&answer);
        }
        if self.finished_answers.borrow_mut().note(answer) {
            self.answer_noted.notify_one();
        }
    }

    fn note_whole(&self, answer: &FinishedAnswer) {
        let query = answer_query(answer);
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.note_whole(&query) {
            self.count_quarantined(quarantine.len());
            tracing::info!(
                service = %query.service,
                parts = ?query.parts,
                "prompt part is no longer refused; a prompt with it was answered"
            );
        }
    }

    /// Counts a finished answer, unless its backend server may have crashed since.
    fn count_answer(&self, answer: FinishedAnswer) {
        let is_counted = self.quarantine.borrow().is_outlived(&answer_query(&answer));
        if !is_counted && self.may_have_crashed(&answer) {
            self.finished_answers.borrow_mut().note(answer);
        } else if answer.is_whole {
            self.note_outlived(&answer);
        }
    }

    /// Whether the backend server of a finished answer may have crashed right after it.
    fn may_have_crashed(&self, answer: &FinishedAnswer) -> bool {
        let age = self.clock.now().since(answer.at);
        let is_checked = self.crash_checks.holds(&answer.backend);
        age < MAX_ANSWER_DELAY && (is_checked || self.suspect_ended(&answer.backend))
    }

    fn note_outlived(&self, answer: &FinishedAnswer) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.note_outlived(&answer_query(answer), answer.at);
        if quarantine.has_pending() {
            self.clearance_noted.notify_one();
        }
    }

    /// Records that a backend server crashed while it held a prompt.
    pub(super) fn note_crash(&self, crashed: &BackendIncarnation, prompt: &PresentPrompt<'_>) {
        let now = self.clock.now();
        let mut collector = self.crashes.borrow_mut();
        if collector.note(crashed, prompt, now) {
            self.crash_noted.notify_one();
        }
    }

    /// Decides about the parts that a report names; `recorded` is the revision of its record, if it was
    /// read from one.
    fn apply_report(&self, report: CrashReport, recorded: Option<ModRevision>) {
        let service = report.crashed.service.clone();
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let change = quarantine.note_crash(report, recorded, now, &mut *self.random.borrow_mut());
        self.count_quarantined(quarantine.len());
        for refused in &change.added {
            let RefusedPart {
                part,
                crashes,
                is_known,
            } = refused;
            tracing::warn!(%service, %part, crashes, is_known, "prompt part is refused; it crashes backend servers");
        }
        for part in &change.superseded {
            tracing::warn!(%service, %part, "prompt part is no longer refused; another one explains the crashes");
        }
        for part in &change.evicted {
            tracing::warn!(%part, "prompt part is no longer refused; too many are");
        }
    }

    pub(super) fn count_quarantined(&self, parts: usize) {
        let parts = i64::try_from(parts).unwrap_or(i64::MAX);
        self.metrics.quarantined_parts.set(parts);
    }
}

fn answer_query(answer: &FinishedAnswer) -> PromptQuery<'_> {
    PromptQuery {
        service: &answer.backend.service,
        parts: &answer.parts,
    }
}

/// Reads the reports of all entries, after their clearances.
pub(super) async fn read_crash_reports(state: &EntryState) -> Result<(), KeyValueError> {
    let mut records = state.store.range(CRASH_PREFIX).await?.records;
    records.sort_by_key(|record| record.revision);
    // After an outage of the key-value service, most of the reports are known.
    let is_start = !state.has_read_backends.get();
    for record in &records {
        if is_start {
            log_report(record, ReportSource::Start);
        }
        apply_report_record(state, record);
    }
    tracing::info!(reports = records.len(), is_start, "crash reports read");
    Ok(())
}

/// Applies a report that was written just now.
pub(super) fn apply_new_report(state: &EntryState, record: &KeyValueRecord) {
    log_report(record, ReportSource::Change);
    apply_report_record(state, record);
}

/// How an entry gets a report from the key-value service.
#[derive(Debug, Clone, Copy)]
enum ReportSource {
    /// With all others, at the start of the process.
    Start,
    /// As a change.
    Change,
}

fn log_report(record: &KeyValueRecord, source: ReportSource) {
    let KeyValueRecord { key, revision, .. } = record;
    tracing::info!(%key, store_revision = %revision, ?source, "crash report read");
}

fn apply_report_record(state: &EntryState, record: &KeyValueRecord) {
    match CrashReport::decode(&record.value) {
        Ok(report) => state.apply_report(report, Some(record.revision)),
        Err(error) => {
            tracing::warn!(key = %record.key, fault = %error, "crash report is ignored");
        }
    }
}

/// A report that waits to be written.
#[derive(Debug)]
struct WaitingReport {
    key: String,
    report: CrashReport,
    seen_at: TimePoint,
}

/// The reports of this entry that are not written yet, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ReportQueue {
    reports: RefCell<VecDeque<WaitingReport>>,
    added: Notify,
    /// Number of reports so far, which distinguishes their keys.
    count: Cell<u64>,
}

impl ReportQueue {
    fn push(&self, entry: &EntryId, report: CrashReport, seen_at: TimePoint) {
        self.count.set(self.count.get() + 1);
        let key = report_key(entry, &report.crashed, self.count.get());
        let mut reports = self.reports.borrow_mut();
        if reports.len() == MAX_WAITING_REPORTS {
            reports.pop_front();
            tracing::warn!("crash report dropped; too many wait to be written");
        }
        reports.push_back(WaitingReport {
            key,
            report,
            seen_at,
        });
        self.added.notify_one();
    }

    /// Removes the first report that is of use, or waits for it.
    async fn pop(&self, state: &EntryState) -> WaitingReport {
        loop {
            let first = self.reports.borrow_mut().pop_front();
            match first {
                Some(it) if state.clock.now().since(it.seen_at) < RECORD_TTL => return it,
                Some(it) => tracing::warn!(key = %it.key, "crash report dropped; it is too old"),
                None => self.added.notified().await,
            }
        }
    }
}

/// Counts finished answers once their backend servers have outlived them.
pub(super) async fn count_answers(state: Rc<EntryState>) {
    loop {
        let due_at = state.finished_answers.borrow().due_at();
        let Some(due_at) = due_at else {
            state.answer_noted.notified().await;
            continue;
        };
        let wait = state.clock.until(due_at).as_duration();
        sleep(wait.max(COUNT_INTERVAL)).await;
        let now = state.clock.now();
        let outlived = state.finished_answers.borrow_mut().take_outlived(now);
        for answer in outlived {
            state.count_answer(answer);
        }
    }
}

/// Decides about crashes that this entry sees, and queues its reports.
pub(super) async fn collect_crashes(state: Rc<EntryState>) {
    loop {
        let due_at = state.crashes.borrow().due_at();
        let Some(due_at) = due_at else {
            state.crash_noted.notified().await;
            continue;
        };
        sleep(state.clock.until(due_at).as_duration()).await;
        let reports = state.crashes.borrow_mut().take();
        if reports.is_empty() {
            tracing::info!("crashes are not reported; the prompts have no part in common");
        }
        let seen_at = state.clock.now();
        let entry = &state.settings().entry;
        for mut report in reports {
            state.quarantine.borrow().describe_parts(&mut report);
            state.apply_report(report.clone(), None);
            state.crash_reports.push(entry, report, seen_at);
        }
    }
}

/// Writes the reports of this entry for the others.
pub(super) async fn write_reports(state: Rc<EntryState>) {
    loop {
        let first = state.crash_reports.pop(&state).await;
        while let Err(error) = write_report(&state, &first).await {
            state.metrics.store_errors.inc();
            tracing::warn!(key = %first.key, fault = %error, "crash report not written yet");
            if state.clock.now().since(first.seen_at) >= RECORD_TTL {
                tracing::warn!(key = %first.key, "crash report dropped; it is too old");
                break;
            }
            sleep(REPORT_RETRY_DELAY).await;
        }
    }
}

fn report_key(entry: &EntryId, crashed: &BackendIncarnation, number: u64) -> String {
    let BackendIncarnation {
        backend,
        incarnation,
        ..
    } = crashed;
    format!("{CRASH_PREFIX}{backend}/{incarnation}/{entry}/{number}")
}

async fn write_report(state: &EntryState, waiting: &WaitingReport) -> Result<(), KeyValueError> {
    let value = Bytes::from(waiting.report.encode());
    write_leased(state, &waiting.key, value).await
}

/// Writes a record that stays for processes that start in the next minutes.
pub(super) async fn write_leased(
    state: &EntryState,
    key: &str,
    value: Bytes,
) -> Result<(), KeyValueError> {
    let lease = state.store.grant_lease(RECORD_TTL).await?;
    let written = state
        .store
        .compare_and_swap_leased(key, Expected::Absent, value, lease.id);
    match written.await? {
        SwapOutcome::Written(_) => {}
        // An earlier call was carried out, although its answer was lost.
        SwapOutcome::Conflict(_) => tracing::info!(%key, "record is there already"),
    }
    Ok(())
}
