//! Questions for changes that wait for a limited time.

use celerycrank_platform::{PollAnswer, poll_call, read_poll};
use celerycrank_types::TimeSpan;

use crate::{
    CallKind, KeyValueClient, KeyValueError, KeyValueProtocol, ModRevision, WatchEvent,
    WatchTarget, platform::store_error,
};

/// Status under which a history that is gone is reported.
const COMPACTED_STATUS: u16 = 410;

/// The changes under a prefix behind a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeBatch {
    /// The changes, oldest first; none if nothing changed while the question waited.
    pub events: Vec<WatchEvent>,
    /// The revision to go on from.
    pub revision: ModRevision,
}

impl KeyValueClient {
    /// Waits for changes under a prefix behind a revision, for at most this long.
    ///
    /// # Errors
    ///
    /// Fails with status 410 if the service no longer has those changes; the caller then
    /// reads the prefix again.
    pub async fn poll_changes(
        &self,
        prefix: &str,
        behind: ModRevision,
        wait: TimeSpan,
    ) -> Result<ChangeBatch, KeyValueError> {
        match self.form() {
            KeyValueProtocol::Gateway => self.poll_gateway(prefix, behind, wait).await,
            KeyValueProtocol::Platform => self.poll_platform(prefix, behind, wait).await,
        }
    }

    async fn poll_gateway(
        &self,
        prefix: &str,
        behind: ModRevision,
        wait: TimeSpan,
    ) -> Result<ChangeBatch, KeyValueError> {
        let target = WatchTarget::Prefix(prefix.into());
        let mut watch = self.watch(&target, behind.next()).await?;
        let event = watch.next_within(wait).await?;
        Ok(ChangeBatch {
            revision: event.as_ref().map_or(behind, WatchEvent::revision),
            events: event.into_iter().collect(),
        })
    }

    pub(crate) async fn poll_platform(
        &self,
        prefix: &str,
        behind: ModRevision,
        wait: TimeSpan,
    ) -> Result<ChangeBatch, KeyValueError> {
        let call = poll_call(prefix, behind, wait);
        let timeout = self.timeout() + wait.as_duration();
        let (status, body) = self.exchange(CallKind::Watch, &call, timeout).await?;
        match read_poll(status, &body).map_err(store_error)? {
            PollAnswer::Changes(events, revision) => Ok(ChangeBatch { events, revision }),
            PollAnswer::Compacted => Err(KeyValueError::Refused {
                status: COMPACTED_STATUS,
                message: "the history is gone".into(),
            }),
        }
    }
}
