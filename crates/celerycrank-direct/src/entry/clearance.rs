//! Records in the key-value service which prompt parts were answered after the crashes at which they
//! were present.
//!
//! A process that starts reads the reports of crashes of the last minutes. Without these records it
//! could not distinguish the parts that have been answered since from those that nobody could answer.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use celerycrank_client::{KeyValueError, KeyValueRecord};
use celerycrank_serving::{ClearanceRecord, PartClearance};
use rand::Rng;

use super::{quarantine::write_leased, state::EntryState};

/// The prefix of the keys of clearances.
pub(super) const CLEARANCE_PREFIX: &str = "celerycrank/cleared/";

/// The shortest time in which an entry collects clearances before it writes them.
const MIN_COLLECTION_DELAY: Duration = Duration::from_millis(200);

/// The longest time of that kind. Entries see answers to a common part at the same time, and those
/// that read the record of the first one need not write theirs.
const MAX_COLLECTION_DELAY: Duration = Duration::from_millis(1_500);

/// Initial delay before clearances that could not be written are written again.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Upper bound of this delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Reads the clearances of all entries.
pub(super) async fn read_clearances(state: &EntryState) -> Result<(), KeyValueError> {
    let records = state.store.range(CLEARANCE_PREFIX).await?.records;
    let parts = records.iter().map(|record| apply_record(state, record));
    let parts = parts.sum::<usize>();
    tracing::info!(records = records.len(), parts, "clearances read");
    Ok(())
}

/// Applies clearances that were written just now.
pub(super) fn apply_new_clearances(state: &EntryState, record: &KeyValueRecord) {
    let parts = apply_record(state, record);
    tracing::info!(key = %record.key, parts, "clearances read");
}

/// Applies the clearances in a record; returns their number.
fn apply_record(state: &EntryState, record: &KeyValueRecord) -> usize {
    match ClearanceRecord::decode(&record.value) {
        Ok(cleared) => {
            for clearance in cleared.clearances() {
                state.apply_clearance(clearance);
            }
            cleared.clearances().len()
        }
        Err(error) => {
            tracing::warn!(key = %record.key, fault = %error, "clearances are ignored");
            0
        }
    }
}

/// Writes the clearances of this entry for the others, and for processes that start later.
pub(super) async fn write_clearances(state: Rc<EntryState>) {
    loop {
        state.clearance_noted.notified().await;
        sleep(collection_delay(&state)).await;
        write_pending(&state).await;
    }
}

/// Writes all clearances that are pending.
async fn write_pending(state: &EntryState) {
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        let clearances = state.quarantine.borrow_mut().take_pending();
        if clearances.is_empty() {
            return;
        }
        let record = ClearanceRecord::new(clearances);
        if let Err(error) = write_record(state, &record).await {
            state.metrics.store_errors.inc();
            tracing::warn!(fault = %error, "clearances not written yet");
            let clearances = record.into_clearances();
            state.quarantine.borrow_mut().restore_pending(clearances);
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

async fn write_record(state: &EntryState, record: &ClearanceRecord) -> Result<(), KeyValueError> {
    let number = state.random.borrow_mut().random::<u64>();
    let entry = &state.settings().entry;
    // Entries that start again must not write under the keys of their previous incarnations.
    let key = format!("{CLEARANCE_PREFIX}{entry}/{number:016x}");
    write_leased(state, &key, Bytes::from(record.encode())).await
}

fn collection_delay(state: &EntryState) -> Duration {
    let mut random = state.random.borrow_mut();
    random.random_range(MIN_COLLECTION_DELAY..MAX_COLLECTION_DELAY)
}

impl EntryState {
    /// Records that an answer has followed the crashes at which a part was present.
    fn apply_clearance(&self, clearance: &PartClearance) {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.note_clearance(clearance) {
            self.count_quarantined(quarantine.len());
            let PartClearance { service, part, .. } = clearance;
            tracing::info!(%service, %part, "prompt part is no longer refused; another entry has seen an answer to it");
        }
    }
}
