//! The requests of one service that wait at an entry for a place at a backend server.

use std::{collections::BTreeMap, ops::ControlFlow};

use celerycrank_types::{AccountId, TimePoint};

use crate::UrgencyLevel;

/// Whether a request can still be answered within its latency target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitBand {
    /// It can.
    InTime,
    /// It cannot; it gets a place after the requests of its level that can be in time.
    Late,
}

/// Whether a request's account uses more than an equal part of what the entry has in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AccountShare {
    /// It uses its part at most.
    Within,
    /// It uses more.
    Exceeded,
}

/// The order in which waiting requests get places.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitRank {
    /// Its urgency.
    pub level: UrgencyLevel,
    /// Whether it can still be in time.
    pub band: WaitBand,
    /// Whether its account is within its share.
    pub share: AccountShare,
    /// The time until which it can be in time, or at which it is refused.
    pub due: TimePoint,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket {
    rank: WaitRank,
    /// Distinguishes requests of the same rank, in the order of their arrival.
    sequence: u64,
}

/// A bounded queue, ordered by rank; `T` wakes a waiting request.
///
/// Invariant: at most `capacity` requests wait.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    waiting: BTreeMap<WaitTicket, T>,
    capacity: usize,
    next_sequence: u64,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            waiting: BTreeMap::new(),
            capacity,
            next_sequence: 0,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The rank of the request that gets the next place.
    #[must_use]
    pub fn first_rank(&self) -> Option<WaitRank> {
        let (ticket, _) = self.waiting.first_key_value()?;
        Some(ticket.rank)
    }

    /// Adds a request. If the queue is full, the last one in order gives way to one that ranks
    /// before it: `Ok` contains what wakes that one, `Err` the given value if it ranks last itself.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full of requests that rank before this one.
    pub fn push(&mut self, rank: WaitRank, value: T) -> Result<(WaitTicket, Option<T>), T> {
        let sequence = self.next_sequence;
        let ticket = WaitTicket { rank, sequence };
        let mut evicted = None;
        if self.waiting.len() >= self.capacity {
            match self.waiting.last_entry() {
                Some(last) if *last.key() > ticket => evicted = Some(last.remove()),
                _ => return Err(value),
            }
        }
        self.next_sequence += 1;
        self.waiting.insert(ticket, value);
        Ok((ticket, evicted))
    }

    /// Removes the request that gets the next place.
    pub fn pop_first(&mut self) -> Option<(WaitRank, T)> {
        let (ticket, value) = self.waiting.pop_first()?;
        Some((ticket.rank, value))
    }

    /// Removes the first request in order that `can_go` accepts.
    ///
    /// The search ends at the first one that `can_go` rejects with [`ControlFlow::Break`].
    pub fn take_first(
        &mut self,
        mut can_go: impl FnMut(WaitRank, &T) -> ControlFlow<(), bool>,
    ) -> Option<T> {
        let mut found = None;
        for (ticket, value) in &self.waiting {
            match can_go(ticket.rank, value) {
                ControlFlow::Continue(false) => {}
                ControlFlow::Continue(true) => {
                    found = Some(*ticket);
                    break;
                }
                ControlFlow::Break(()) => break,
            }
        }
        self.waiting.remove(&found?)
    }

    /// Removes a request that no longer waits; returns whether it was waiting.
    pub fn remove(&mut self, ticket: &WaitTicket) -> bool {
        self.waiting.remove(ticket).is_some()
    }
}

/// The requests that an entry has in flight at one service, by account.
#[derive(Debug, Default)]
pub struct AccountLoads {
    loads: BTreeMap<Option<AccountId>, u32>,
    total: u32,
}

impl AccountLoads {
    /// Records that a request of an account is sent or begins to wait.
    pub fn begin(&mut self, account: Option<&AccountId>) {
        *self.loads.entry(account.cloned()).or_default() += 1;
        self.total += 1;
    }

    /// Records that such a request has ended.
    pub fn finish(&mut self, account: Option<&AccountId>) {
        let key = account.cloned();
        let Some(load) = self.loads.get_mut(&key) else {
            return;
        };
        *load -= 1;
        self.total -= 1;
        if *load == 0 {
            self.loads.remove(&key);
        }
    }

    /// Whether an account has more than an equal part of all requests.
    #[must_use]
    pub fn share_of(&self, account: Option<&AccountId>) -> AccountShare {
        let load = self.loads.get(&account.cloned()).copied().unwrap_or(0);
        let accounts = u32::try_from(self.loads.len()).unwrap_or(u32::MAX);
        if u64::from(load) * u64::from(accounts) > u64::from(self.total) {
            AccountShare::Exceeded
        } else {
            AccountShare::Within
        }
    }
}
