//! Converts deadlines to the clock of the process that enforces them.

use celerycrank_types::TimePoint;

/// A reading of a peer's monotonic clock, with the local time at which it was received.
///
/// A deadline sent as remaining time is extended while the message sits in the socket of a
/// frozen process. A deadline expressed in the receiver's own clock is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerClock {
    /// The peer's clock when it sent the reading.
    peer: TimePoint,
    /// When the reading arrived, on the local clock.
    received_at: TimePoint,
}

impl PeerClock {
    /// Creates a clock from a reading that arrived at `received_at`.
    #[must_use]
    pub const fn new(peer: TimePoint, received_at: TimePoint) -> Self {
        Self { peer, received_at }
    }

    /// Converts a local deadline to the peer's clock; the result is never later than `deadline`.
    #[must_use]
    pub fn deadline(self, deadline: TimePoint) -> TimePoint {
        self.peer + deadline.since(self.received_at)
    }
}
