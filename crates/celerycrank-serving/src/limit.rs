//! One entry's share of the request limit that a backend server names.
//!
//! The load pattern: a backend server in need names how many requests a second it takes from all
//! entries together. The entries do not see each other's requests, and there may be more of them
//! than the backend server takes in seconds.

use celerycrank_types::{BackendId, RequestRate, TimePoint, TimeSpan};
use xxhash_rust::xxh3::xxh3_64;

/// Number of requests that all entries together may send at once, however small the limit is.
const MIN_BURST: f64 = 3.0;

/// Time in which a limit that is not used adds to the burst.
const BURST_SPAN: TimeSpan = TimeSpan::from_secs(1);

/// The smallest limit that is applied: without any request, no entry would see the end of a limit.
const MIN_LIMIT_PER_SECOND: f64 = 0.1;

/// The number of entries that is assumed while it is unknown.
const DEFAULT_ENTRIES: u32 = 24;

/// Time after which an entry no longer relies on others to notify it of the end of a limit.
const NOTICE_LIFETIME: TimeSpan = TimeSpan::from_secs(12);

/// The limit in an answer of a backend server, or its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// The limit; `None` if the answer names none.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent_at: TimePoint,
    /// When the answer arrived.
    pub now: TimePoint,
}

/// The place of one entry among all entries.
///
/// Invariant: `index` is less than `entries`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryPlace {
    index: u32,
    entries: u32,
}

impl EntryPlace {
    /// Creates the place with this index among this many entries; `None` if there is no such place.
    #[must_use]
    pub const fn new(index: u32, entries: u32) -> Option<Self> {
        if index < entries {
            Some(Self { index, entries })
        } else {
            None
        }
    }

    pub(crate) const fn index(self) -> u32 {
        self.index
    }

    pub(crate) const fn entries(self) -> u32 {
        self.entries
    }

    /// The position of the entry in the order in which entries use a backend server.
    ///
    /// It differs between backend servers, so that each entry may use some of them.
    fn position(self, backend: &BackendId) -> u32 {
        let offset = xxh3_64(backend.as_str().as_bytes()) % u64::from(self.entries);
        let shifted = (u64::from(self.index) + offset) % u64::from(self.entries);
        u32::try_from(shifted).expect("less than the number of entries")
    }
}

/// A share of a limit: a rate, and a number of requests that may be sent at once.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LimitShare {
    /// Requests per second.
    per_second: f64,
    /// Requests that may be sent at once after a time without any.
    burst: f64,
}

impl LimitShare {
    /// The share of an entry that sends nothing.
    const NONE: Self = Self {
        per_second: 0.0,
        burst: 0.0,
    };

    /// The share of an entry.
    ///
    /// The shares of all entries add up to the limit. Where there are more entries than requests in
    /// a burst, only some of them have a share.
    fn of(limit: RequestRate, backend: &BackendId, place: Option<EntryPlace>) -> Self {
        let limit = limit.per_second().max(MIN_LIMIT_PER_SECOND);
        let burst = MIN_BURST + limit * BURST_SPAN.as_secs_f64();
        let Some(place) = place else {
            return Self::fair(limit, DEFAULT_ENTRIES);
        };
        let users = f64::from(place.entries).min(burst.floor());
        if f64::from(place.position(backend)) >= users {
            return Self::NONE;
        }
        Self {
            per_second: limit / users,
            burst: burst / users,
        }
    }

    /// The share of each entry if all of them have the same.
    fn fair(limit: f64, entries: u32) -> Self {
        Self {
            per_second: limit / f64::from(entries),
            burst: 1.0,
        }
    }
}

/// What one entry may send to a backend server that names a limit: a token bucket.
#[derive(Debug, Clone)]
pub(crate) struct RequestAllowance {
    limit: RequestRate,
    place: Option<EntryPlace>,
    share: LimitShare,
    /// Number of requests that may be sent, as of `updated_at`.
    tokens: f64,
    updated_at: TimePoint,
    /// When this entry last knew that the limit is still named.
    confirmed_at: TimePoint,
}

impl RequestAllowance {
    /// Creates the allowance of an entry that has just seen the limit or received a notice of it.
    pub(crate) fn new(
        limit: RequestRate,
        backend: &BackendId,
        place: Option<EntryPlace>,
        now: TimePoint,
    ) -> Self {
        let share = LimitShare::of(limit, backend, place);
        Self {
            limit,
            place,
            share,
            tokens: share.burst,
            updated_at: now,
            confirmed_at: now,
        }
    }

    /// The limit on the requests of all entries together.
    pub(crate) const fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Records that the limit is named, possibly with another rate.
    pub(crate) fn confirm(&mut self, limit: RequestRate, backend: &BackendId, now: TimePoint) {
        self.confirmed_at = now;
        self.limit = limit;
        let share = LimitShare::of(limit, backend, self.place);
        if share != self.share {
            self.set_share(share, now);
        }
    }

    /// Updates the place of the entry among all entries.
    pub(crate) fn set_place(
        &mut self,
        place: Option<EntryPlace>,
        backend: &BackendId,
        now: TimePoint,
    ) {
        self.place = place;
        let is_unconfirmed = now.since(self.confirmed_at) > NOTICE_LIFETIME;
        let share = LimitShare::of(self.limit, backend, place);
        match place {
            // Without notices from others, each entry has to send a request itself, in turn.
            Some(place) if is_unconfirmed && share == LimitShare::NONE => {
                let limit = self.limit.per_second().max(MIN_LIMIT_PER_SECOND);
                let share = LimitShare::fair(limit, place.entries);
                if self.share != share {
                    self.set_share(share, now);
                    self.tokens = f64::from(place.position(backend)) / f64::from(place.entries);
                }
            }
            _ if share != self.share => self.set_share(share, now),
            _ => {}
        }
    }

    /// Whether a request may be sent.
    pub(crate) fn has_room(&self, now: TimePoint) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Records that a request is sent.
    pub(crate) fn take(&mut self, now: TimePoint) {
        self.tokens = (self.tokens_at(now) - 1.0).max(0.0);
        self.updated_at = now;
    }

    /// The time until a request may be sent; `None` if this entry has no share.
    pub(crate) fn time_until_room(&self, now: TimePoint) -> Option<TimeSpan> {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return Some(TimeSpan::ZERO);
        }
        let can_fill = self.share.per_second > 0.0 && self.share.burst >= 1.0;
        // Rounded up to the next microsecond.
        can_fill.then(|| TimeSpan::from_secs_f64(missing / self.share.per_second) + TimeSpan(1))
    }

    /// Changes the share; what is left of the previous one stays, as far as the new one allows.
    fn set_share(&mut self, share: LimitShare, now: TimePoint) {
        self.tokens = self.tokens_at(now).min(share.burst);
        self.updated_at = now;
        self.share = share;
    }

    fn tokens_at(&self, now: TimePoint) -> f64 {
        let added = now.since(self.updated_at).as_secs_f64() * self.share.per_second;
        (self.tokens + added).min(self.share.burst)
    }
}
