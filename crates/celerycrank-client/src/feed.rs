//! Follows one record: reads it, watches it from there, and starts over after any error.

use std::sync::Arc;

use crate::{
    KeyValueClient, KeyValueError, KeyValueRecord, KeyValueWatch, ModRevision, WatchEvent,
    WatchTarget,
};

/// Follows one key of the key-value service.
///
/// Costs the service one read, one open watch and one event per change. Intermediate values may
/// be skipped if they change faster than they are read, but never the latest one.
#[derive(Debug)]
pub struct RecordFeed {
    client: KeyValueClient,
    key: Arc<str>,
    state: FeedState,
}

#[derive(Debug)]
enum FeedState {
    /// The key must be read first.
    Unread,
    /// The key was read at this revision of the service; the watch starts after it.
    Read(ModRevision),
    /// A watch is open.
    Watching(Box<KeyValueWatch>),
}

impl RecordFeed {
    /// Creates a feed that starts with a read of the key.
    #[must_use]
    pub fn new(client: KeyValueClient, key: impl Into<Arc<str>>) -> Self {
        Self {
            client,
            key: key.into(),
            state: FeedState::Unread,
        }
    }

    /// Waits for the next value of the record; `None` if the key does not exist.
    ///
    /// The first call returns the current value, later ones wait for a change.
    ///
    /// # Errors
    ///
    /// Fails if the read or the watch fails. The next call starts over with a read, so that no
    /// change is missed. The caller should wait before it, with jitter, so that processes do not
    /// all retry at the same time.
    pub async fn next(&mut self) -> Result<Option<KeyValueRecord>, KeyValueError> {
        let result = self.advance().await;
        if result.is_err() {
            self.state = FeedState::Unread;
        }
        result
    }

    async fn advance(&mut self) -> Result<Option<KeyValueRecord>, KeyValueError> {
        loop {
            match &mut self.state {
                FeedState::Unread => {
                    let (record, revision) = self.client.get_at(&self.key).await?;
                    self.state = FeedState::Read(revision);
                    return Ok(record);
                }
                FeedState::Read(revision) => {
                    let target = WatchTarget::Key(Arc::clone(&self.key));
                    let watch = self.client.watch(&target, revision.next()).await?;
                    self.state = FeedState::Watching(Box::new(watch));
                }
                FeedState::Watching(watch) => {
                    return Ok(match watch.next().await? {
                        WatchEvent::Put(record) => Some(record),
                        WatchEvent::Deleted { .. } => None,
                    });
                }
            }
        }
    }
}
