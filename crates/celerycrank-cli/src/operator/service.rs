//! Access of the commands to the records in the key-value service.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycrank_client::{
    Expected, KeyValueClient, KeyValueError, KeyValueRecord, SwapOutcome, VmListClient,
};
use celerycrank_config::{ConfigurationRecord, PlatformSettings};
use celerycrank_membership::StopsRecord;
use serde::{Serialize, de::DeserializeOwned};

use crate::operator::CommandError;

/// Maximum number of attempts of a write that meets a conflict or whose answer is lost.
pub(crate) const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Pause after the first of these attempts; it doubles with each further one.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Clients of the platform's services of one deployment.
pub(crate) struct PlatformHandle {
    pub(crate) client: KeyValueClient,
    pub(crate) vm_list: VmListClient,
    prefix: Arc<str>,
}

/// A record with the state that a swap of it must expect.
#[derive(Debug, Clone)]
pub(crate) struct StoredRecord<T> {
    pub(crate) value: T,
    pub(crate) expected: Expected,
}

impl PlatformHandle {
    pub(crate) fn new(settings: &PlatformSettings) -> Self {
        Self {
            client: KeyValueClient::new(&settings.key_value, settings.timeout),
            vm_list: VmListClient::new(Arc::clone(&settings.vm_list), settings.timeout),
            prefix: Arc::clone(&settings.prefix),
        }
    }

    pub(crate) fn configuration_key(&self) -> String {
        ConfigurationRecord::key(&self.prefix)
    }

    pub(crate) fn stops_key(&self) -> String {
        StopsRecord::key(&self.prefix)
    }

    /// Reads the configuration; `None` if none was applied yet.
    pub(crate) async fn read_configuration(
        &self,
    ) -> Result<Option<StoredRecord<ConfigurationRecord>>, CommandError> {
        self.read(&self.configuration_key()).await
    }

    /// Reads the planned stops; `None` if none was announced yet.
    pub(crate) async fn read_stops(
        &self,
    ) -> Result<Option<StoredRecord<StopsRecord>>, CommandError> {
        self.read(&self.stops_key()).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<StoredRecord<T>>, CommandError> {
        let found = self.client.get(key).await;
        let record = found.map_err(|error| CommandError::from_read_error(&error))?;
        record.as_ref().map(decode).transpose()
    }

    /// Writes a record unless it has been changed by someone else.
    pub(crate) async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: &impl Serialize,
    ) -> Result<SwapOutcome, KeyValueError> {
        let bytes = serde_json::to_vec(value).expect("records serialize to JSON");
        let swap = self
            .client
            .compare_and_swap(key, expected, Bytes::from(bytes));
        swap.await
    }
}

/// Waits before the next attempt of a write.
pub(crate) async fn back_off(attempt: u32) {
    actix_rt::time::sleep(FIRST_RETRY_PAUSE * 2_u32.pow(attempt)).await;
}

/// Decodes a stored record.
pub(crate) fn decode<T: DeserializeOwned>(
    record: &KeyValueRecord,
) -> Result<StoredRecord<T>, CommandError> {
    let malformed = |e: serde_json::Error| {
        CommandError::MalformedRecord(Arc::clone(&record.key), e.to_string().into())
    };
    Ok(StoredRecord {
        value: serde_json::from_slice(&record.value).map_err(malformed)?,
        expected: Expected::At(record.revision),
    })
}
