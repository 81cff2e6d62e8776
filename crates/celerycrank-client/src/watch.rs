//! Watches: streams of changes.

use std::{collections::VecDeque, sync::Arc};

use actix_rt::time::timeout;
use bytes::Bytes;
use celerycrank_types::TimeSpan;

use crate::{
    AnswerError, KeyValueClient, KeyValueError, KeyValueOperation, KeyValueProtocol, ModRevision,
    SendError, WatchEvent,
    gateway::{
        EventKind, GatewayEvent, IntegerString, StreamLine, WatchCreate, WatchRequest,
        WatchResponse, prefix_end,
    },
    line::{LineError, LineStream},
};

/// Status with which a watch that the service cancelled is reported.
const CANCELLED_STATUS: u16 = 410;

/// What is watched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchTarget {
    /// One key.
    Key(Arc<str>),
    /// Every key with this prefix.
    Prefix(Arc<str>),
}

/// Maximum wait of one long poll, in the protocol that has no streaming watches.
const POLL_WAIT: TimeSpan = TimeSpan::from_secs(10);

/// An open watch; dropping it closes it.
#[derive(Debug)]
pub struct KeyValueWatch {
    client: KeyValueClient,
    source: WatchSource,
    events: VecDeque<WatchEvent>,
}

/// The source of the changes.
#[derive(Debug)]
enum WatchSource {
    /// A streaming response.
    Lines(LineStream),
    /// Long polls, each for the changes after the last answer.
    Polls {
        target: WatchTarget,
        after: ModRevision,
    },
}

impl WatchTarget {
    /// The prefix to poll. For a single key it is the key itself; changes of other keys with that
    /// prefix are filtered out.
    fn poll_prefix(&self) -> &str {
        match self {
            Self::Key(name) | Self::Prefix(name) => name,
        }
    }

    fn matches(&self, event: &WatchEvent) -> bool {
        let key = match event {
            WatchEvent::Put(record) => &record.key,
            WatchEvent::Deleted { key, .. } => key,
        };
        match self {
            Self::Key(name) => key == name,
            Self::Prefix(_) => true,
        }
    }
}

impl KeyValueClient {
    /// Watches a key or prefix for changes at revision `from` and later.
    ///
    /// # Errors
    ///
    /// Fails if no address accepts the watch.
    pub async fn watch(
        &self,
        target: &WatchTarget,
        from: ModRevision,
    ) -> Result<KeyValueWatch, KeyValueError> {
        if self.protocol() == KeyValueProtocol::Platform {
            let after = ModRevision(from.0.saturating_sub(1));
            let target = target.clone();
            return Ok(KeyValueWatch::new(
                self.clone(),
                WatchSource::Polls { target, after },
            ));
        }
        let request = watch_request(target, from);
        let mut last = KeyValueError::NotSent(SendError::NoAddress);
        for address in self.addresses() {
            match self.send(address, KeyValueOperation::Watch, &request).await {
                Ok(response) => {
                    let source = WatchSource::Lines(LineStream::new(response));
                    return Ok(KeyValueWatch::new(self.clone(), source));
                }
                Err(error) => last = error,
            }
            self.counters().count_failed(KeyValueOperation::Watch);
        }
        Err(last)
    }
}

impl KeyValueWatch {
    fn new(client: KeyValueClient, source: WatchSource) -> Self {
        client.counters().open_watch();
        Self {
            client,
            source,
            events: VecDeque::new(),
        }
    }

    /// Waits for the next change.
    ///
    /// # Errors
    ///
    /// Fails once the watch has ended. Changes may have been missed then, so read the key again
    /// and start a new watch after the revision of that read.
    pub async fn next(&mut self) -> Result<WatchEvent, KeyValueError> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            match &mut self.source {
                WatchSource::Lines(lines) => {
                    let line = read_line(lines).await?;
                    self.accept_line(&line)?;
                }
                WatchSource::Polls { target, after } => {
                    let batch = self
                        .client
                        .poll_platform(target.poll_prefix(), *after, POLL_WAIT)
                        .await?;
                    *after = batch.revision;
                    let matching = batch.events.into_iter().filter(|it| target.matches(it));
                    self.events.extend(matching);
                }
            }
        }
    }

    /// Waits for the next change for at most this time; returns `None` on timeout.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next`].
    pub async fn next_within(
        &mut self,
        span: TimeSpan,
    ) -> Result<Option<WatchEvent>, KeyValueError> {
        match timeout(span.as_duration(), self.next()).await {
            Ok(event) => event.map(Some),
            Err(_) => Ok(None),
        }
    }

    fn accept_line(&mut self, line: &[u8]) -> Result<(), KeyValueError> {
        let parsed = serde_json::from_slice::<StreamLine<WatchResponse>>(line);
        let response = parsed.map_err(|e| malformed(&e.to_string()))?.result;
        if response.canceled {
            return Err(KeyValueError::Refused {
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

async fn read_line(lines: &mut LineStream) -> Result<Bytes, KeyValueError> {
    lines.next().await.map_err(|error| match error {
        LineError::Lost(message) => KeyValueError::Unknown(AnswerError::Lost(message)),
        LineError::Ended => KeyValueError::Unknown(AnswerError::WatchEnded),
        LineError::TooLong => malformed("a line of a watch exceeds the limit"),
    })
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
            start_revision: IntegerString(from.0),
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

fn malformed(message: &str) -> KeyValueError {
    KeyValueError::Unknown(AnswerError::Malformed(message.into()))
}
