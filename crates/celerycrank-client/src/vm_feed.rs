//! Follows the VM list: reads it once, then watches it for changes.

use std::{collections::BTreeMap, sync::Arc};

use serde::Deserialize;

use crate::{
    VmListClient, VmListError, VmRecord,
    line::{LineError, LineStream},
    vm::{EndpointSlice, malformed, read_slices},
};

/// Status of a watch whose start revision is no longer available.
const GONE_STATUS: u16 = 410;

/// Follows the VM list by the watch protocol of Kubernetes.
///
/// The complete list is transferred once, and again after a watch has failed; otherwise only
/// changes are transferred.
#[derive(Debug)]
pub struct VmListFeed {
    client: VmListClient,
    /// Invariant: the list as of the last read and the events since.
    slices: BTreeMap<Arc<str>, EndpointSlice>,
    watch: Option<LineStream>,
}

/// One event of a watch.
#[derive(Debug, Deserialize)]
struct SliceEvent {
    #[serde(rename = "type")]
    kind: EventKind,
    /// A slice, or a status object for an error.
    object: serde_json::Value,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    Added,
    Modified,
    Deleted,
    Bookmark,
    Error,
}

impl VmListFeed {
    /// Creates a feed that starts with a read of the complete list.
    #[must_use]
    pub const fn new(client: VmListClient) -> Self {
        Self {
            client,
            slices: BTreeMap::new(),
            watch: None,
        }
    }

    /// Waits for the next change and returns the complete list after it.
    ///
    /// # Errors
    ///
    /// Fails if the read or the watch fails. The next call reads the complete list again; the
    /// caller should wait before it.
    pub async fn next(&mut self) -> Result<Vec<VmRecord>, VmListError> {
        let watch = match self.watch.take() {
            None => self.read().await,
            Some(watch) => self.take_event(watch).await,
        };
        self.watch = Some(watch?);
        read_slices(self.slices.values())
    }

    async fn read(&mut self) -> Result<LineStream, VmListError> {
        let list = self.client.fetch_list().await?;
        let version = list.metadata.resource_version;
        let slices = list
            .items
            .into_iter()
            .map(|slice| (Arc::clone(&slice.metadata.name), slice));
        self.slices = slices.collect();
        self.client.watch(&version).await
    }

    async fn take_event(&mut self, mut watch: LineStream) -> Result<LineStream, VmListError> {
        let line = watch.next().await.map_err(|error| match error {
            LineError::Lost(message) => VmListError::Unreachable(message),
            LineError::Ended => VmListError::Unreachable("the watch ended".into()),
            LineError::TooLong => malformed("an event exceeds the limit"),
        })?;
        let event = serde_json::from_slice::<SliceEvent>(&line);
        let event = event.map_err(|error| malformed(&error.to_string()))?;
        match event.kind {
            EventKind::Added | EventKind::Modified => {
                let slice = read_slice(event.object)?;
                self.slices.insert(Arc::clone(&slice.metadata.name), slice);
            }
            EventKind::Deleted => {
                self.slices.remove(&read_slice(event.object)?.metadata.name);
            }
            EventKind::Bookmark => {}
            EventKind::Error => return Err(VmListError::Status(GONE_STATUS)),
        }
        Ok(watch)
    }
}

fn read_slice(object: serde_json::Value) -> Result<EndpointSlice, VmListError> {
    serde_json::from_value(object).map_err(|error| malformed(&error.to_string()))
}
