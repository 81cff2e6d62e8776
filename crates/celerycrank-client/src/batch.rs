//! Questions for changes that wait for a limited time.

use celerycrank_platform::{BatchAnswer, batch_call, read_batch};
use celerycrank_types::TimeSpan;

use crate::{
    CallKind, KeyValueClient, KeyValueFault, ModRevision, WatchEvent, WatchTarget, WireForm,
    exchange::store_fault,
};

/// Status under which a history that is gone is reported.
const HISTORY_GONE_STATUS: u16 = 410;

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
    ) -> Result<ChangeBatch, KeyValueFault> {
        match self.form() {
            WireForm::Gateway => self.poll_stream(prefix, behind, wait).await,
            WireForm::Platform => self.poll_exchanged(prefix, behind, wait).await,
        }
    }

    async fn poll_stream(
        &self,
        prefix: &str,
        behind: ModRevision,
        wait: TimeSpan,
    ) -> Result<ChangeBatch, KeyValueFault> {
        let target = WatchTarget::Prefix(prefix.into());
        let mut watch = self.watch(&target, behind.next()).await?;
        let event = watch.next_within(wait).await?;
        Ok(ChangeBatch {
            revision: event.as_ref().map_or(behind, WatchEvent::revision),
            events: event.into_iter().collect(),
        })
    }

    pub(crate) async fn poll_exchanged(
        &self,
        prefix: &str,
        behind: ModRevision,
        wait: TimeSpan,
    ) -> Result<ChangeBatch, KeyValueFault> {
        let call = batch_call(prefix, behind, wait);
        let timeout = self.timeout() + wait.as_duration();
        let (status, body) = self.exchange(CallKind::Watch, &call, timeout).await?;
        match read_batch(status, &body).map_err(store_fault)? {
            BatchAnswer::Changes(events, revision) => Ok(ChangeBatch { events, revision }),
            BatchAnswer::HistoryGone => Err(KeyValueFault::Refused {
                status: HISTORY_GONE_STATUS,
                message: "the history is gone".into(),
            }),
        }
    }
}
