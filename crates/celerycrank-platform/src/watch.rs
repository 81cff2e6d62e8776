//! Watches: streamed answers that tell of changes as they happen.

use std::{collections::VecDeque, sync::Arc};

use actix_rt::time::timeout;
use awc::ClientResponse;
use bytes::Bytes;

use crate::{
    AnswerFault, CallKind, KeyValueClient, KeyValueFault, KeyValueRecord, ModRevision, SendFault,
    gateway::{
        EventKind, GatewayEvent, NumberText, StreamLine, WatchCreate, WatchRequest, WatchResponse,
        prefix_end,
    },
    line::{LineFault, LineStream},
};

/// Status under which a watch that the service cancelled is reported.
const CANCELLED_STATUS: u16 = 410;

/// What is watched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchTarget {
    /// One key.
    Key(Arc<str>),
    /// Every key with this prefix.
    Prefix(Arc<str>),
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KeyValueRecord),
    /// The key was deleted, or its lease ended.
    Deleted {
        /// The key.
        key: Arc<str>,
        /// When it was deleted.
        revision: ModRevision,
    },
}

impl WatchEvent {
    /// The revision of the change.
    #[must_use]
    pub const fn revision(&self) -> ModRevision {
        match self {
            Self::Put(record) => record.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// A watch that waits for changes; dropping it ends it.
#[derive(Debug)]
pub struct KeyValueWatch {
    client: KeyValueClient,
    lines: LineStream,
    events: VecDeque<WatchEvent>,
}

impl KeyValueClient {
    /// Watches a key or prefix for changes at `from` and later.
    ///
    /// # Errors
    ///
    /// Fails if no address accepts the watch.
    pub async fn watch(
        &self,
        target: &WatchTarget,
        from: ModRevision,
    ) -> Result<KeyValueWatch, KeyValueFault> {
        let request = watch_request(target, from);
        let mut last = KeyValueFault::NotSent(SendFault::NoAddress);
        for address in self.addresses() {
            match self.send(address, CallKind::Watch, &request).await {
                Ok(response) => return Ok(KeyValueWatch::new(self.clone(), response)),
                Err(fault) => last = fault,
            }
            self.counters().count_failed(CallKind::Watch);
        }
        Err(last)
    }
}

impl KeyValueWatch {
    fn new(client: KeyValueClient, response: ClientResponse) -> Self {
        client.counters().open_watch();
        Self {
            client,
            lines: LineStream::new(response),
            events: VecDeque::new(),
        }
    }

    /// Waits for the next change.
    ///
    /// # Errors
    ///
    /// Fails once the watch has ended. The caller reads the key again and watches from
    /// there, since changes may have been missed.
    pub async fn next(&mut self) -> Result<WatchEvent, KeyValueFault> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let line = self.read_line().await?;
            self.accept(&line)?;
        }
    }

    /// Waits for the next change for at most this long; `None` if nothing changed.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::next`] does.
    pub async fn next_within(
        &mut self,
        span: celerycrank_types::TimeSpan,
    ) -> Result<Option<WatchEvent>, KeyValueFault> {
        match timeout(span.as_duration(), self.next()).await {
            Ok(event) => event.map(Some),
            Err(_) => Ok(None),
        }
    }

    async fn read_line(&mut self) -> Result<Bytes, KeyValueFault> {
        self.lines.next().await.map_err(|fault| match fault {
            LineFault::Lost(message) => KeyValueFault::Unknown(AnswerFault::Lost(message)),
            LineFault::Ended => KeyValueFault::Unknown(AnswerFault::WatchEnded),
            LineFault::TooLong => malformed("a line of a watch exceeds the limit"),
        })
    }

    fn accept(&mut self, line: &[u8]) -> Result<(), KeyValueFault> {
        let parsed = serde_json::from_slice::<StreamLine<WatchResponse>>(line);
        let response = parsed.map_err(|e| malformed(&e.to_string()))?.result;
        if response.canceled {
            return Err(KeyValueFault::Refused {
                status: CANCELLED_STATUS,
                message: response.cancel_reason.unwrap_or_else(|| "cancelled".into()),
            });
        }
        self.events
            .extend(response.events.into_iter().map(read_event));
        Ok(())
    }
}

impl Drop for KeyValueWatch {
    fn drop(&mut self) {
        self.client.counters().close_watch();
    }
}

fn watch_request(target: &WatchTarget, from: ModRevision) -> WatchRequest {
    let (key, range_end) = match target {
        WatchTarget::Key(key) => (key, None),
        WatchTarget::Prefix(prefix) => (prefix, Some(prefix_end(prefix))),
    };
    WatchRequest {
        create_request: WatchCreate {
            key: (&**key).into(),
            range_end,
            start_revision: NumberText(from.0),
        },
    }
}

fn read_event(event: GatewayEvent) -> WatchEvent {
    let record = event.kv.into_record();
    match event.kind {
        EventKind::Put => WatchEvent::Put(record),
        EventKind::Delete => WatchEvent::Deleted {
            key: record.key,
            revision: record.revision,
        },
    }
}

fn malformed(message: &str) -> KeyValueFault {
    KeyValueFault::Unknown(AnswerFault::Malformed(message.into()))
}
