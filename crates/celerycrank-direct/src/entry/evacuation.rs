//! Applies the evacuations of failure domains in the key-value service.

use celerycrank_client::{KeyValueError, ModRevision, WatchEvent};
use celerycrank_platform::{EVACUATION_PREFIX, parse_evacuation_key};
use celerycrank_serving::EvacuationChange;
use celerycrank_types::DomainId;

use super::state::EntryState;

/// Reads all evacuations, which replace those known so far; returns the revision of the read.
pub(super) async fn read_evacuations(state: &EntryState) -> Result<ModRevision, KeyValueError> {
    let snapshot = state.store.range(EVACUATION_PREFIX).await?;
    let domains = snapshot.records.iter();
    let domains = domains.filter_map(|record| decode_key(state, &record.key));
    let domains = domains.collect();
    let now = state.clock.now();
    let change = state.backends.borrow_mut().replace_evacuated(domains, now);
    note_change(state, &change);
    Ok(snapshot.revision)
}

/// Applies the beginning or end of an evacuation.
pub(super) fn apply_evacuation(state: &EntryState, event: &WatchEvent) {
    let Some(domain) = decode_key(state, event.key()) else {
        return;
    };
    let change = {
        let mut backends = state.backends.borrow_mut();
        match event {
            WatchEvent::Put(_) => backends.begin_evacuation(domain),
            WatchEvent::Deleted { .. } => backends.end_evacuation(&domain, state.clock.now()),
        }
    };
    note_change(state, &change);
    log_unknown_domains(state, &change.begun);
}

/// Logs evacuated failure domains in which no backend server is registered; the names may be wrong.
pub(super) fn log_unknown_domains<'domain>(
    state: &EntryState,
    domains: impl IntoIterator<Item = &'domain DomainId>,
) {
    let backends = state.backends.borrow();
    for domain in domains {
        if !backends.iter().any(|it| it.registration.domain == *domain) {
            state.metrics.evacuation.evacuation_errors.inc();
            tracing::warn!(%domain, "no backend server is in the evacuated failure domain");
        }
    }
}

fn decode_key(state: &EntryState, key: &str) -> Option<DomainId> {
    match parse_evacuation_key(key) {
        Ok(domain) => Some(domain),
        Err(error) => {
            state.metrics.evacuation.evacuation_errors.inc();
            tracing::warn!(fault = %error, "evacuation is ignored");
            None
        }
    }
}

fn note_change(state: &EntryState, change: &EvacuationChange) {
    for domain in &change.begun {
        tracing::warn!(%domain, "failure domain evacuated");
    }
    for domain in &change.ended {
        tracing::info!(%domain, "failure domain no longer evacuated");
    }
    for domain in &change.ignored {
        state.metrics.evacuation.evacuation_errors.inc();
        tracing::error!(%domain, "evacuation is ignored; too many failure domains are evacuated");
    }
    let count = state.backends.borrow().evacuated_domains().count();
    let count = i64::try_from(count).unwrap_or(i64::MAX);
    state.metrics.evacuation.evacuated_domains.set(count);
}
