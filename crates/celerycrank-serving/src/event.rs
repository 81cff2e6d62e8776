//! Parses a stream of events, so that only complete events are forwarded, each exactly once.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An error in a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum EventError {
    /// event {found} was received after event {last}
    OutOfOrder {
        /// The number of the previous event.
        last: u64,
        /// The number of this event.
        found: u64,
    },
    /// an event exceeds 1MiB
    TooLarge,
}

impl std::error::Error for EventError {}

/// Splits a stream into complete events and checks their numbers.
///
/// Invariant: the numbers of the events that were returned are consecutive.
#[derive(Debug, Default)]
pub struct EventReader {
    /// The beginning of an event that is not yet complete.
    partial: BytesMut,
    /// The number of the last event that was returned.
    last: Option<u64>,
    /// Whether an event was returned.
    has_events: bool,
}

impl EventReader {
    /// Creates a reader for a stream that continues after the event `last`, or that starts at the
    /// beginning if there is none.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Creates a reader for a stream that has ended.
    #[must_use]
    pub fn finished() -> Self {
        Self {
            has_events: true,
            ..Self::default()
        }
    }

    /// Returns the number of the last complete event.
    #[must_use]
    pub const fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Whether at least one event was returned.
    #[must_use]
    pub const fn has_events(&self) -> bool {
        self.has_events
    }

    /// Whether the received data ends at an event boundary.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }

    /// Adds data from the stream and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is missing, duplicated or too large. No event of `data` counts
    /// as returned then.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        let mut searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let (mut start, mut last) = (0, self.last);
        while let Some(end) = event_end(&self.partial, searched.max(start)) {
            last = check_event(&self.partial[start..end], last)?;
            start = end;
            searched = end;
        }
        if self.partial.len() - start > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        self.last = last;
        self.has_events |= start > 0;
        if self.has_events {
            start += empty_lines(&self.partial[start..]);
        }
        Ok(self.partial.split_to(start).freeze())
    }
}

/// Checks that an event follows the one with the number `last`; returns the number of the last
/// event now.
fn check_event(event: &[u8], last: Option<u64>) -> Result<Option<u64>, EventError> {
    match (last, event_number(event)) {
        (Some(last), Some(found)) if found != last + 1 => {
            Err(EventError::OutOfOrder { last, found })
        }
        (_, Some(found)) => Ok(Some(found)),
        (last, None) => Ok(last),
    }
}

/// Returns the length of the empty lines at the start.
fn empty_lines(bytes: &[u8]) -> usize {
    let mut rest = bytes;
    while let Some(after) = rest
        .strip_prefix(b"\n")
        .or_else(|| rest.strip_prefix(b"\r\n"))
    {
        rest = after;
    }
    bytes.len() - rest.len()
}

/// Returns the end of the first event at or after `from`, which is behind its empty line.
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

/// Returns the number in the `id` field of an event.
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}
