//! Deadlines told in the clock of the process that keeps them.

use celerycrank_types::TimePoint;

/// A reading of a peer's monotonic clock, and when it was `received_at`.
///
/// A deadline that travels as a remaining span grows while the message waits in a socket
/// of a frozen process. Told in the receiver's own clock, it does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerClock {
    /// What the peer's clock showed when it sent the reading.
    peer: TimePoint,
    /// When the reading was `received_at`, on this process's clock.
    received_at: TimePoint,
}

impl PeerClock {
    /// Notes a reading of the peer's clock.
    #[must_use]
    pub const fn new(peer: TimePoint, received_at: TimePoint) -> Self {
        Self { peer, received_at }
    }

    /// The deadline in the peer's clock: never later than `deadline` is on this one's.
    #[must_use]
    pub fn deadline(self, deadline: TimePoint) -> TimePoint {
        self.peer + deadline.since(self.received_at)
    }
}
