//! Watches the key-value service for changes of the configuration and of the backend servers.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_client::{KeyValueError, KeyValueRecord, ModRevision, ReadPrefixes, WatchEvent};
use celerycrank_platform::{
    CONFIGURATION_KEY, EVACUATION_PREFIX, REGISTRATION_PREFIX, parse_registration_key,
    read_configuration, read_registration,
};
use celerycrank_serving::{BackendRegistration, KeyRequirement, RegistrationChange};
use celerycrank_types::TimeSpan;

use super::{
    admission::wake_all_waiting,
    backoff::StoreBackoff,
    clearance::{CLEARANCE_PREFIX, apply_new_clearances, read_clearances},
    evacuation::{apply_evacuation, log_unknown_domains, read_evacuations},
    quarantine::{CRASH_PREFIX, apply_new_report, read_crash_reports},
    state::EntryState,
};

/// How long a poll for changes waits at the key-value service. Its answer proves that the
/// configuration is still the newest; without this proof, requests with keys are soon refused.
const LONG_POLL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_500);

/// Delay after changes, so that changes that follow immediately arrive in a single answer.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Prefix of every key: a single poll covers the configuration and the backend servers.
const ALL_KEYS: &str = "";

/// Keeps the configuration in force and the table of backend servers in sync with the
/// key-value service.
pub(crate) async fn watch_store(state: Rc<EntryState>) {
    let mut backoff = StoreBackoff::new();
    loop {
        if let Err(error) = load_and_watch(&state, &mut backoff).await {
            backoff.wait_after_error(&state, &error).await;
        }
    }
}

/// Reads everything, then applies changes until a call fails.
async fn load_and_watch(
    state: &EntryState,
    backoff: &mut StoreBackoff,
) -> Result<(), KeyValueError> {
    let asked_at = state.clock.now();
    let (record, mut revision) = state.store.get_at(CONFIGURATION_KEY).await?;
    let mut is_newest = record.is_some_and(|record| adopt_record(state, &record));
    if is_newest {
        state.confirm(asked_at);
    }
    // Read first, so that crashes that answers have followed never count as evidence.
    read_clearances(state).await?;
    read_crash_reports(state).await?;
    // Read first, so that no backend server is used before it is known whether it may be.
    let mut read = ReadPrefixes::default();
    read.note(EVACUATION_PREFIX, read_evacuations(state).await?);
    read.note(REGISTRATION_PREFIX, read_backends(state).await?);
    wake_all_waiting(state);
    backoff.record_success();
    loop {
        let asked_at = state.clock.now();
        let poll = state
            .store
            .poll_changes(ALL_KEYS, revision, LONG_POLL_TIMEOUT);
        let batch = poll.await?;
        backoff.record_success();
        revision = batch.revision;
        for event in batch.events.iter().filter(|it| !read.include(it)) {
            apply_event(state, event, &mut is_newest);
        }
        state.backends.borrow_mut().prune_removed(state.clock.now());
        wake_all_waiting(state);
        if is_newest {
            state.confirm(asked_at);
        }
        if !batch.events.is_empty() {
            sleep(BATCH_DELAY).await;
        }
    }
}

/// Reads all registrations, which replace those known so far; returns the revision of the read.
async fn read_backends(state: &EntryState) -> Result<ModRevision, KeyValueError> {
    let snapshot = state.store.range(REGISTRATION_PREFIX).await?;
    let mut records = snapshot.records;
    // Of two records with the same address, the one written last is the one in use there.
    records.sort_by_key(|record| record.revision);
    let registrations = records
        .iter()
        .filter_map(|it| decode_registration(state, it))
        .collect();
    let now = state.clock.now();
    state.backends.borrow_mut().replace(registrations, now);
    state.crash_checks.note_fates();
    state.has_read_backends.set(true);
    let backends = state.backends.borrow();
    log_unknown_domains(state, backends.evacuated_domains());
    Ok(snapshot.revision)
}

/// Applies one change; `is_newest` tracks whether the configuration in force is the newest.
fn apply_event(state: &EntryState, event: &WatchEvent, is_newest: &mut bool) {
    let key = event.key();
    if key == CONFIGURATION_KEY {
        *is_newest = match event {
            WatchEvent::Put(record) => adopt_record(state, record),
            WatchEvent::Deleted { .. } => {
                tracing::error!("configuration deleted; the previous one cannot be confirmed");
                false
            }
        };
    } else if key.starts_with(EVACUATION_PREFIX) {
        apply_evacuation(state, event);
    } else if key.starts_with(CRASH_PREFIX) {
        // A report that is removed has only outlived its use for processes that start.
        if let WatchEvent::Put(record) = event {
            apply_new_report(state, record);
        }
    } else if key.starts_with(CLEARANCE_PREFIX) {
        if let WatchEvent::Put(record) = event {
            apply_new_clearances(state, record);
        }
    } else if key.starts_with(REGISTRATION_PREFIX)
        && let Some(change) = decode_change(state, event)
    {
        log_change(&change);
        if let RegistrationChange::Written(it) = &change
            && it.warm_up_remaining > TimeSpan::ZERO
        {
            state.limits.ask_soon();
        }
        let now = state.clock.now();
        state.backends.borrow_mut().apply(change, now);
        state.crash_checks.note_fates();
    }
}

/// Puts the configuration of a record in force if it is newer; returns whether the record can be
/// read.
fn adopt_record(state: &EntryState, record: &KeyValueRecord) -> bool {
    let (configuration, errors) = match read_configuration(&record.value) {
        Ok(read) => read,
        Err(error) => {
            state.metrics.configuration_errors.inc();
            tracing::error!(fault = %error, revision = %record.revision, "configuration rejected");
            return false;
        }
    };
    let revision = configuration.revision;
    if !state.adopt(&configuration) {
        return true;
    }
    for error in &errors {
        state.metrics.configuration_errors.inc();
        tracing::warn!(fault = %error, %revision, "part of the configuration cannot be read");
    }
    let routes = configuration.routes.len();
    let accounts = configuration.keys.accounts().len();
    let requires_key = configuration.keys != KeyRequirement::NotRequired;
    let contended_services = state.in_force().map_or(0, |it| it.admissions.len());
    tracing::info!(%revision, routes, accounts, requires_key, contended_services, store_revision = %record.revision, "configuration in force");
    true
}

fn decode_registration(state: &EntryState, record: &KeyValueRecord) -> Option<BackendRegistration> {
    match read_registration(&record.key, &record.value) {
        Ok((registration, error)) => {
            if let Some(error) = error {
                state.metrics.evacuation.cold_errors.inc();
                let backend = &registration.backend;
                tracing::info!(%backend, fault = %error, "cold time of a backend server is ignored");
            }
            Some(registration)
        }
        Err(error) => {
            tracing::warn!(key = %record.key, fault = %error, "entry names no backend server");
            None
        }
    }
}

fn decode_change(state: &EntryState, event: &WatchEvent) -> Option<RegistrationChange> {
    match event {
        WatchEvent::Put(record) => match decode_registration(state, record) {
            Some(registration) => Some(RegistrationChange::Written(registration)),
            // A backend server whose record can no longer be read must not be used.
            None => Some(RegistrationChange::Removed(
                parse_registration_key(&record.key).ok()?,
            )),
        },
        WatchEvent::Deleted { key, .. } => Some(RegistrationChange::Removed(
            parse_registration_key(key).ok()?,
        )),
    }
}

fn log_change(change: &RegistrationChange) {
    match change {
        RegistrationChange::Written(registration) => {
            tracing::info!(backend = %registration.backend, service = %registration.service, address = %registration.address, state = ?registration.state, cold_remaining = %registration.warm_up_remaining, "backend server written");
        }
        RegistrationChange::Removed(backend) => tracing::info!(%backend, "backend server removed"),
    }
}
