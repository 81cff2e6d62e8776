//! Reads the configuration and the planned stops from the key-value service.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_rt::time::{sleep, timeout};
use celerycrank_client::{KeyValueClient, KeyValueError, KeyValueRecord, RecordFeed};
use celerycrank_config::ConfigurationRecord;
use celerycrank_membership::StopsRecord;
use futures_util::future::join;
use rand::Rng;

use crate::state::SyncState;

/// Maximum wait for a watch event; the record is then read again, since the watch may lag.
const REREAD_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a process that need not read the service checks whether it must.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Initial backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff after failed calls. Each backoff is jittered to prevent a stampede on the
/// service.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Reads the configuration and the planned stops until the process has a configuration, and
/// watches them while it is a watcher.
pub async fn sync_key_value_records(
    state: Rc<SyncState>,
    client: KeyValueClient,
    prefix: Arc<str>,
) {
    let configuration = ConfigurationRecord::key(&prefix);
    let configuration = sync_record(&state, &client, configuration, apply_configuration);
    let stops = sync_record(&state, &client, StopsRecord::key(&prefix), apply_stops);
    join(configuration, stops).await;
}

/// Applies one value of a record to the state.
type ApplyRecord = fn(&SyncState, &KeyValueRecord);

async fn sync_record(state: &SyncState, client: &KeyValueClient, key: String, apply: ApplyRecord) {
    let key = Arc::<str>::from(key);
    let mut backoff = MIN_BACKOFF;
    loop {
        if !state.reads_service() {
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        if read_and_watch_record(state, client, &key, apply)
            .await
            .is_ok()
        {
            backoff = MIN_BACKOFF;
            continue;
        }
        state.counters.service_errors.inc();
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn read_and_watch_record(
    state: &SyncState,
    client: &KeyValueClient,
    key: &Arc<str>,
    apply: ApplyRecord,
) -> Result<(), KeyValueError> {
    let mut feed = RecordFeed::new(client.clone(), Arc::clone(key));
    loop {
        match timeout(REREAD_INTERVAL, feed.next()).await {
            Ok(Ok(Some(record))) => apply(state, &record),
            Ok(Ok(None)) => {}
            Ok(Err(error)) => return Err(error),
            Err(_) => read_record(state, client, key, apply).await?,
        }
        if !state.is_watcher() {
            sleep(IDLE_INTERVAL).await;
            return Ok(());
        }
    }
}

async fn read_record(
    state: &SyncState,
    client: &KeyValueClient,
    key: &str,
    apply: ApplyRecord,
) -> Result<(), KeyValueError> {
    if let Some(record) = client.get(key).await? {
        apply(state, &record);
    }
    Ok(())
}

fn apply_configuration(state: &SyncState, record: &KeyValueRecord) {
    match serde_json::from_slice::<ConfigurationRecord>(&record.value) {
        Ok(record) => state.on_stored_configuration(&Arc::new(record.configuration())),
        Err(_) => state.counters.malformed.inc(),
    }
}

fn apply_stops(state: &SyncState, record: &KeyValueRecord) {
    match serde_json::from_slice::<StopsRecord>(&record.value) {
        Ok(stops) => state.on_stops(stops),
        Err(_) => state.counters.malformed.inc(),
    }
}
