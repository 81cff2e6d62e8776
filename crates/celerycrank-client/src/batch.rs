//! Long polls for changes.

use celerycrank_platform::{PollAnswer, poll_call, read_poll};
use celerycrank_types::TimeSpan;

use crate::{
    KeyValueClient, KeyValueError, KeyValueOperation, KeyValueProtocol, ModRevision, WatchEvent,
    WatchTarget, platform::store_error,
};

/// Status with which a compacted history is reported.
const COMPACTED_STATUS: u16 = 410;

/// The changes under a prefix after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeBatch {
    /// The changes, oldest first; empty if the poll timed out without any.
    pub events: Vec<WatchEvent>,
    /// The revision from which to continue.
    pub revision: ModRevision,
}

/// Prefixes whose records were read after the revision from which changes are polled.
///
/// A poll returns the changes in between too. Applied after the records, they would for a moment bring
/// back an earlier state, such as the deletion of a key that was written again since.
#[derive(Debug, Clone, Default)]
pub struct ReadPrefixes(Vec<(&'static str, ModRevision)>);

impl ReadPrefixes {
    /// Records the revision at which the records under a prefix were read.
    pub fn note(&mut self, prefix: &'static str, revision: ModRevision) {
        self.0.push((prefix, revision));
    }

    /// Whether the records that were read include a change.
    #[must_use]
    pub fn include(&self, event: &WatchEvent) -> bool {
        let mut read = self.0.iter();
        read.any(|(prefix, revision)| {
            event.key().starts_with(prefix) && event.revision() <= *revision
        })
    }
}

impl KeyValueClient {
    /// Waits for changes under a prefix after a revision, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails with status 410 if the history since that revision was compacted; the caller must
    /// then read the prefix again.
    pub async fn poll_changes(
        &self,
        prefix: &str,
        after: ModRevision,
        wait: TimeSpan,
    ) -> Result<ChangeBatch, KeyValueError> {
        match self.protocol() {
            KeyValueProtocol::Gateway => self.poll_gateway(prefix, after, wait).await,
            KeyValueProtocol::Platform => self.poll_platform(prefix, after, wait).await,
        }
    }

    async fn poll_gateway(
        &self,
        prefix: &str,
        after: ModRevision,
        wait: TimeSpan,
    ) -> Result<ChangeBatch, KeyValueError> {
        let target = WatchTarget::Prefix(prefix.into());
        let mut watch = self.watch(&target, after.next()).await?;
        let event = watch.next_within(wait).await?;
        Ok(ChangeBatch {
            revision: event.as_ref().map_or(after, WatchEvent::revision),
            events: event.into_iter().collect(),
        })
    }

    pub(crate) async fn poll_platform(
        &self,
        prefix: &str,
        after: ModRevision,
        wait: TimeSpan,
    ) -> Result<ChangeBatch, KeyValueError> {
        let call = poll_call(prefix, after, wait);
        let timeout = self.timeout() + wait.as_duration();
        let (status, body) = self
            .exchange(KeyValueOperation::Watch, &call, timeout)
            .await?;
        match read_poll(status, &body).map_err(store_error)? {
            PollAnswer::Changes(events, revision) => Ok(ChangeBatch { events, revision }),
            PollAnswer::Compacted => Err(KeyValueError::Refused {
                status: COMPACTED_STATUS,
                message: "the history was compacted".into(),
            }),
        }
    }
}
