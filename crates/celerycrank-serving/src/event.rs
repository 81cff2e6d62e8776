//! Reads a stream of events: only whole ones are passed on, and each only once.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why events cannot be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum EventError {
    /// event {found} follows event {last}
    OutOfOrder {
        /// The number of the event before.
        last: u64,
        /// The number of this event.
        found: u64,
    },
    /// an event exceeds 1MiB
    TooLarge,
}

impl std::error::Error for EventError {}

/// Cuts a stream into whole events and checks their numbers.
///
/// Invariant: the numbers of the events that were given out are consecutive.
#[derive(Debug, Default)]
pub struct EventReader {
    partial: BytesMut,
    last: Option<u64>,
}

impl EventReader {
    /// A reader of a stream that goes on behind an event.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last,
        }
    }

    /// A reader of a stream that has ended.
    #[must_use]
    pub fn finished() -> Self {
        Self::default()
    }

    /// The number of the last event that was given out.
    #[must_use]
    pub const fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Whether the stream stands behind a whole event.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }

    /// Takes bytes of the stream and gives out the events that are whole now.
    ///
    /// # Errors
    ///
    /// Fails if an event is missing, comes twice or is too large.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        let mut searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let mut start = 0;
        while let Some(end) = event_end(&self.partial, searched.max(start)) {
            self.check_event(start, end)?;
            start = end;
            searched = end;
        }
        if self.partial.len() - start > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        Ok(self.partial.split_to(start).freeze())
    }

    fn check_event(&mut self, start: usize, end: usize) -> Result<(), EventError> {
        let Some(found) = event_number(&self.partial[start..end]) else {
            return Ok(());
        };
        if let Some(last) = self.last
            && found != last + 1
        {
            return Err(EventError::OutOfOrder { last, found });
        }
        self.last = Some(found);
        Ok(())
    }
}

/// Where the first event from here on ends: behind its empty line.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let line_feeds = rest.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    for (at, _) in line_feeds {
        let behind = &rest[at + 1..];
        if behind.first() == Some(&b'\n') {
            return Some(from + at + 2);
        }
        if behind.starts_with(b"\r\n") {
            return Some(from + at + 3);
        }
    }
    None
}

fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}
