//! Follows one record: a read, then a watch from there, and again after any fault.

use std::sync::Arc;

use crate::{
    KeyValueClient, KeyValueError, KeyValueRecord, KeyValueWatch, ModRevision, WatchEvent,
    WatchTarget,
};

/// Follows one key of the key-value service.
///
/// Costs the service one read and one waiting watch, and one event a change. Values may
/// be skipped when they change faster than they are read; the last one never is.
#[derive(Debug)]
pub struct RecordFeed {
    client: KeyValueClient,
    key: Arc<str>,
    state: FeedState,
}

#[derive(Debug)]
enum FeedState {
    /// The key must be read.
    Unread,
    /// The key was read at this revision of the service; a watch goes on behind it.
    Read(ModRevision),
    /// A watch waits for the next change.
    Watching(Box<KeyValueWatch>),
}

impl RecordFeed {
    /// Creates a feed that begins with a read of the key.
    #[must_use]
    pub fn new(client: KeyValueClient, key: impl Into<Arc<str>>) -> Self {
        Self {
            client,
            key: key.into(),
            state: FeedState::Unread,
        }
    }

    /// Waits for the next value of the record; `None` while the key does not exist.
    ///
    /// The first value comes at once, later ones when the key changes.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be used. The next call starts over with a read, so
    /// that no change is missed; the caller waits a while before it, with jitter, lest
    /// every process come back at the same moment.
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
