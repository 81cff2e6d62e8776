//! Follows the configuration and the backend servers in the store.

use std::rc::Rc;

use actix_rt::time::sleep;
use celerycrank_client::{KeyValueFault, KeyValueRecord, ModRevision, WatchEvent};
use celerycrank_platform::{
    CONFIGURATION_KEY, ENTRY_PREFIX, backend_of_key, read_configuration, read_entry,
};
use celerycrank_serving::{BackendEntry, EntryChange};
use celerycrank_types::TimeSpan;
use rand::Rng;

use super::state::EntryState;

/// How long a question for changes of the configuration waits; its answer proves that there
/// were none, without which keys are soon refused.
const CONFIGURATION_WAIT: TimeSpan = TimeSpan::from_millis(1_500);

/// How long a question for changes of the backend servers waits.
const BACKEND_WAIT: TimeSpan = TimeSpan::from_millis(2_500);

/// Wait before the first repetition of a call that failed.
const FIRST_PAUSE: TimeSpan = TimeSpan::from_millis(100);

/// Longest such wait; also how late the store's return may be noticed.
const LONGEST_PAUSE: TimeSpan = TimeSpan::from_millis(500);

/// Wait before the record is looked for again while none was ever written.
const ABSENT_PAUSE: TimeSpan = TimeSpan::from_millis(300);

/// Waits between calls that fail one after the other.
struct CallBackoff {
    name: &'static str,
    pause: TimeSpan,
    is_lost: bool,
}

impl CallBackoff {
    const fn new(name: &'static str) -> Self {
        Self {
            name,
            pause: FIRST_PAUSE,
            is_lost: false,
        }
    }

    fn succeed(&mut self) {
        if self.is_lost {
            tracing::info!(dependency = self.name, "store regained");
        }
        self.is_lost = false;
        self.pause = FIRST_PAUSE;
    }

    /// Waits before the next call, longer each time, so that a store that comes back is not
    /// met by every process at once.
    async fn fail(&mut self, state: &EntryState, fault: &KeyValueFault) {
        state.metrics.store_faults.inc();
        if !self.is_lost {
            tracing::warn!(dependency = self.name, %fault, "store lost");
        }
        self.is_lost = true;
        let jitter = state.random.borrow_mut().random_range(0.5..1.0);
        sleep(self.pause.as_duration().mul_f64(jitter)).await;
        self.pause = TimeSpan((self.pause.0 * 2).min(LONGEST_PAUSE.0));
    }
}

/// Keeps the configuration in force the newest one.
pub(crate) async fn follow_configuration(state: Rc<EntryState>) {
    let mut backoff = CallBackoff::new("configuration");
    loop {
        if let Err(fault) = read_and_follow(&state, &mut backoff).await {
            backoff.fail(&state, &fault).await;
        }
    }
}

/// Reads the record, then takes its changes until a call fails.
async fn read_and_follow(
    state: &EntryState,
    backoff: &mut CallBackoff,
) -> Result<(), KeyValueFault> {
    let asked_at = state.clock.now();
    let (record, mut behind) = state.client.get_at(CONFIGURATION_KEY).await?;
    backoff.succeed();
    let Some(record) = record else {
        sleep(ABSENT_PAUSE.as_duration()).await;
        return Ok(());
    };
    if !adopt_record(state, &record) {
        sleep(ABSENT_PAUSE.as_duration()).await;
        return Ok(());
    }
    state.confirm(asked_at);
    loop {
        let asked_at = state.clock.now();
        let poll = state
            .client
            .poll_changes(CONFIGURATION_KEY, behind, CONFIGURATION_WAIT);
        let batch = poll.await?;
        backoff.succeed();
        behind = batch.revision;
        if !batch.events.iter().all(|event| take_change(state, event)) {
            return Ok(());
        }
        state.confirm(asked_at);
    }
}

/// Takes one change of the record; says whether the configuration in force is the newest.
fn take_change(state: &EntryState, event: &WatchEvent) -> bool {
    match event {
        WatchEvent::Put(record) if *record.key == *CONFIGURATION_KEY => adopt_record(state, record),
        WatchEvent::Put(_) | WatchEvent::Deleted { .. } => true,
    }
}

/// Puts a record in force; says whether it can be read.
fn adopt_record(state: &EntryState, record: &KeyValueRecord) -> bool {
    let (configuration, faults) = match read_configuration(&record.value) {
        Ok(read) => read,
        Err(fault) => {
            tracing::error!(%fault, revision = %record.revision, "configuration refused");
            return false;
        }
    };
    let revision = configuration.revision;
    if !state.adopt(&configuration) {
        return true;
    }
    for fault in &faults {
        tracing::warn!(%fault, %revision, "part of the configuration left out");
    }
    let routes = configuration.routes.len();
    let accounts = configuration.accounts.len();
    tracing::info!(%revision, routes, accounts, store_revision = %record.revision, "configuration in force");
    true
}

/// Keeps the table of backend servers as the store has it.
pub(crate) async fn follow_backends(state: Rc<EntryState>) {
    let mut backoff = CallBackoff::new("backend servers");
    loop {
        if let Err(fault) = list_and_follow(&state, &mut backoff).await {
            backoff.fail(&state, &fault).await;
        }
    }
}

async fn list_and_follow(
    state: &EntryState,
    backoff: &mut CallBackoff,
) -> Result<(), KeyValueFault> {
    let snapshot = state.client.range(ENTRY_PREFIX).await?;
    backoff.succeed();
    let entries = snapshot.records.iter().filter_map(decode_entry).collect();
    let now = state.clock.now();
    state.backends.borrow_mut().replace(entries, now);
    state.knows_backends.set(true);
    let mut behind: ModRevision = snapshot.revision;
    loop {
        let poll = state
            .client
            .poll_changes(ENTRY_PREFIX, behind, BACKEND_WAIT);
        let batch = poll.await?;
        backoff.succeed();
        behind = batch.revision;
        let now = state.clock.now();
        let mut backends = state.backends.borrow_mut();
        for change in batch.events.iter().filter_map(read_change) {
            tell_change(&change);
            backends.apply(change, now);
        }
        backends.forget_lapsed(now);
    }
}

fn decode_entry(record: &KeyValueRecord) -> Option<BackendEntry> {
    match read_entry(&record.key, &record.value) {
        Ok(entry) => Some(entry),
        Err(fault) => {
            tracing::warn!(key = %record.key, %fault, "entry names no backend server");
            None
        }
    }
}

fn read_change(event: &WatchEvent) -> Option<EntryChange> {
    match event {
        WatchEvent::Put(record) => match decode_entry(record) {
            Some(entry) => Some(EntryChange::Written(entry)),
            // What can no longer be read is not to be used any more.
            None => Some(EntryChange::Removed(backend_of_key(&record.key).ok()?)),
        },
        WatchEvent::Deleted { key, .. } => Some(EntryChange::Removed(backend_of_key(key).ok()?)),
    }
}

fn tell_change(change: &EntryChange) {
    match change {
        EntryChange::Written(entry) => {
            tracing::info!(backend = %entry.backend, service = %entry.service, address = %entry.address, state = ?entry.state, "backend server written");
        }
        EntryChange::Removed(backend) => tracing::info!(%backend, "backend server removed"),
    }
}
