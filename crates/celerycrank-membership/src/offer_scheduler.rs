//! Schedules a watcher's offers of its revision to the peers of a failure domain.

use celerycrank_types::{TimePoint, TimeSpan, VmId};

use crate::WATCHERS_PER_DOMAIN;

/// Intervals at which a watcher offers its revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferTimings {
    /// Length of a round, in which each watcher offers its revision to every peer once.
    pub round: TimeSpan,
    /// Length of the one shorter round that follows a new revision.
    pub fast_round: TimeSpan,
}

impl Default for OfferTimings {
    fn default() -> Self {
        Self {
            round: TimeSpan::from_secs(3),
            fast_round: TimeSpan::from_secs(1),
        }
    }
}

/// The offers of one watcher to the peers of one failure domain.
///
/// The watchers of a domain start their rounds a third of a round apart, so that each peer
/// gets an offer every third of a round. On a new revision, the watcher at position `p` sends
/// offers to every third peer immediately, starting with the `p`-th. The rounds reach the remaining
/// peers even if the other watchers are lost.
#[derive(Debug)]
pub struct OfferScheduler {
    timings: OfferTimings,
    position: usize,
    /// Invariant: sorted, so that all watchers agree on the index of each peer.
    peers: Vec<VmId>,
    /// Index of the next peer in the current round.
    next: usize,
    last_offer: TimePoint,
    /// Number of peers still to be offered a new revision at the rate of the fast round.
    fast_offers_left: usize,
}

impl OfferScheduler {
    /// Creates a scheduler for the watcher at this position among the watchers of its domain.
    #[must_use]
    pub fn new(timings: OfferTimings, position: usize, now: TimePoint) -> Self {
        Self {
            timings,
            position,
            peers: Vec::new(),
            next: 0,
            last_offer: now,
            fast_offers_left: 0,
        }
    }

    /// The position of the watcher among the watchers of the domain, from 0.
    #[must_use]
    pub const fn position(&self) -> usize {
        self.position
    }

    /// Sets the peers of the domain, in any order.
    pub fn set_peers(&mut self, mut peers: Vec<VmId>) {
        peers.sort_unstable();
        peers.dedup();
        if self.peers.is_empty() {
            self.next = peers.len() * self.position / WATCHERS_PER_DOMAIN;
        }
        self.peers = peers;
    }

    /// Starts a fast round and returns the peers to offer the new revision to immediately.
    pub fn on_new_revision(&mut self) -> impl Iterator<Item = &VmId> {
        self.fast_offers_left = self.peers.len();
        self.peers
            .iter()
            .skip(self.position % WATCHERS_PER_DOMAIN)
            .step_by(WATCHERS_PER_DOMAIN)
    }

    /// The peers whose offers in the current round are due by `now`.
    pub fn on_tick(&mut self, now: TimePoint) -> Vec<VmId> {
        let Some(count) = u64::try_from(self.peers.len())
            .ok()
            .filter(|count| *count > 0)
        else {
            self.last_offer = now;
            return Vec::new();
        };
        let round = if self.fast_offers_left > 0 {
            self.timings.fast_round
        } else {
            self.timings.round
        };
        let interval = TimeSpan((round.0 / count).max(1));
        let due = now.since(self.last_offer).0 / interval.0;
        self.last_offer = self.last_offer + TimeSpan(due * interval.0);
        let due = usize::try_from(due.min(count)).unwrap_or(usize::MAX);
        self.fast_offers_left = self.fast_offers_left.saturating_sub(due);
        (0..due).map(|_| self.take_next()).collect()
    }

    fn take_next(&mut self) -> VmId {
        if self.next >= self.peers.len() {
            self.next = 0;
        }
        let peer = self.peers[self.next].clone();
        self.next += 1;
        peer
    }
}
