//! The list of all entries, from which an entry takes its place among them.
//!
//! The load pattern: entries and agents start at the same time, as after a power failure. An agent
//! lists the entries that have subscribed to its reports, at first only some of them. An entry that
//! took its place from such a list would use the share of one among few.

use std::net::SocketAddr;

use celerycrank_types::{TimePoint, TimeSpan};

use crate::EntryPlace;

/// Time for which a list of entries is preferred to a shorter one, whose agent may have started just
/// now.
///
/// Entries renew their subscriptions every second, so that two lost datagrams in a row leave time for
/// a third.
const LIST_LIFETIME: TimeSpan = TimeSpan::from_millis(3_500);

/// Maximum number of entries in a list.
const MAX_ENTRIES: usize = 2_048;

/// The list of all entries by the agents.
#[derive(Debug, Default)]
pub struct EntryList {
    /// All entries, in the order of their addresses.
    entries: Vec<SocketAddr>,
    /// When the list was taken over or confirmed.
    listed_at: Option<TimePoint>,
    /// When any list last arrived.
    received_at: Option<TimePoint>,
    /// Since when lists have arrived without a longer pause.
    received_since: TimePoint,
}

impl EntryList {
    /// Takes over the list of an agent, unless a longer one is recent; returns whether it did.
    pub fn note(&mut self, mut entries: Vec<SocketAddr>, now: TimePoint) -> bool {
        let is_paused = is_outdated(self.received_at, now);
        self.received_at = Some(now);
        if is_paused {
            self.received_since = now;
        }
        entries.truncate(MAX_ENTRIES);
        if self.is_recent(now) && entries.len() < self.entries.len() {
            return false;
        }
        self.entries = entries;
        self.listed_at = Some(now);
        true
    }

    /// All entries, in the order of their addresses.
    #[must_use]
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Whether the list was taken over or confirmed a moment ago.
    #[must_use]
    pub fn is_recent(&self, now: TimePoint) -> bool {
        !is_outdated(self.listed_at, now)
    }

    /// The place of an entry by the last list, however old; `None` if the list lacks it.
    #[must_use]
    pub fn place(&self, own: SocketAddr) -> Option<EntryPlace> {
        let index = self.entries.iter().position(|entry| *entry == own)?;
        let count = u32::try_from(self.entries.len()).ok()?;
        EntryPlace::new(u32::try_from(index).ok()?, count)
    }

    /// The place of an entry, unless the list may lack several entries.
    ///
    /// It may if it is old, or if lists have arrived only for a short time: the agents may have
    /// started a moment ago.
    #[must_use]
    pub fn certain_place(&self, own: SocketAddr, now: TimePoint) -> Option<EntryPlace> {
        let is_settled = now.since(self.received_since) >= LIST_LIFETIME;
        self.place(own)
            .filter(|_| is_settled && self.is_recent(now))
    }
}

fn is_outdated(at: Option<TimePoint>, now: TimePoint) -> bool {
    at.is_none_or(|at| now.since(at) > LIST_LIFETIME)
}
