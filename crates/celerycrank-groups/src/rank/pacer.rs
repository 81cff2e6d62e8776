//! Spreads datagrams to many agents over the time that the link needs for them.

use celerycrank_types::{LinkRate, TimePoint, TimeSpan};

/// The fraction of the link's bandwidth that datagrams may use, in percent; the rest is for the
/// callers' bytes and for what the headers of packets add.
const USED_PERCENT: u64 = 80;

/// The number of bytes that may be sent at once after a pause: a short message to every rank of a
/// group, and less than what the queues before the link hold.
const BURST_BYTES: u64 = 16 << 10;

/// The bytes that the headers of a packet add to a datagram.
const PACKET_OVERHEAD: u64 = 28;

/// Decides when the next datagram may be sent.
///
/// Datagrams that exceed what the queues before a link hold are lost, all of those of a burst
/// beyond the first few.
#[derive(Debug, Clone)]
pub struct LinkPacer {
    /// Bytes per second.
    rate: u64,
    /// The number of bytes that may be sent at `updated_at`.
    ///
    /// Invariant: at most [`BURST_BYTES`].
    available: u64,
    updated_at: TimePoint,
}

impl LinkPacer {
    /// Creates a pacer for a link that has been idle.
    #[must_use]
    pub const fn new(link: LinkRate, now: TimePoint) -> Self {
        let rate = link.bytes_per_second() / 100 * USED_PERCENT;
        Self {
            // Every link carries some bytes a second.
            rate: if rate == 0 { 1 } else { rate },
            available: BURST_BYTES,
            updated_at: now,
        }
    }

    /// Takes the bytes of a datagram if it may be sent now; else returns after which time to ask
    /// again.
    ///
    /// # Errors
    ///
    /// Fails with the time to wait.
    pub fn take(&mut self, datagram_bytes: usize, now: TimePoint) -> Result<(), TimeSpan> {
        self.refill(now);
        // A datagram above the limit is sent when the whole burst is available.
        let bytes = (datagram_bytes as u64 + PACKET_OVERHEAD).min(BURST_BYTES);
        if self.available >= bytes {
            self.available -= bytes;
            return Ok(());
        }
        let missing = bytes - self.available;
        Err(TimeSpan((missing * 1_000_000).div_ceil(self.rate)))
    }

    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.updated_at);
        let earned = elapsed.0.saturating_mul(self.rate) / 1_000_000;
        if earned > 0 {
            self.available = self.available.saturating_add(earned).min(BURST_BYTES);
            self.updated_at = now;
        }
    }
}
