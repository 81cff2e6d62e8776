//! One entry's share of the requests that a cold backend server takes.
//!
//! The load pattern: a backend server that has just started, or has lost its caches, takes only so
//! many requests a second from all entries together and crashes well above that. It is the least
//! loaded one at that time, and the entries do not see each other's requests.
//!
//! A share is a rate; no more than one request may be sent at once. So an entry sends at most one
//! request more than its rate in any second, and only one if the rate is less than one a second.

use std::collections::HashMap;

use celerycrank_types::{BackendId, RequestRate, ServiceId, TimePoint, TimeSpan};
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPlace;

/// Number of entries that are assumed not to know their place at the same time, and the number of
/// all entries that such an entry assumes.
const UNPLACED_ENTRIES: f64 = 24.0;

/// The largest rate of an entry that may send one request in any second.
const SINGLE_RATE: f64 = 0.99;

/// Number of entries by which those with a share change if the count changes by one.
const CHANGED_USERS: f64 = 2.0;

/// Maximum time for which a backend server counts as cold after one notice.
const MAX_COLD: TimeSpan = TimeSpan::from_secs(3_600);

/// Maximum time in which a token is added, in seconds; a span cannot hold any number.
const MAX_FILL_SECONDS: f64 = 1e9;

/// How the backend servers of a service start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// The time for which a backend server is cold after its start.
    pub span: TimeSpan,
    /// How many requests a cold backend server takes from all entries together.
    ///
    /// Invariant: more than zero.
    pub rate: RequestRate,
}

/// What all entries together may send to a cold backend server in any second: its rate times
/// `overshoot`, and `tolerance` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor of the rate.
    pub overshoot: f64,
    /// Number of requests.
    pub tolerance: f64,
}

/// What determines the share of this entry at the cold backend servers of each service.
#[derive(Debug, Default)]
pub(crate) struct ColdPolicy {
    pub(crate) starts: HashMap<ServiceId, ColdStart>,
    pub(crate) bounds: Option<ColdBounds>,
    /// The place of this entry among all entries; `None` if it is not known for certain.
    pub(crate) place: Option<EntryPlace>,
    /// When the registrations were first read; this entry may have sent requests before, as another
    /// process.
    pub(crate) started_at: Option<TimePoint>,
}

impl ColdPolicy {
    /// Requests per second that this entry may send to a cold backend server; `None` without limit.
    pub(crate) fn share(&self, service: &ServiceId, backend: &BackendId) -> Option<f64> {
        let rate = self.starts.get(service)?.rate.per_second();
        let Some(bounds) = self.bounds else {
            let entries = self.place.map(|place| f64::from(place.entries()));
            return Some(rate / entries.unwrap_or(UNPLACED_ENTRIES));
        };
        let bound = rate * bounds.overshoot + bounds.tolerance;
        Some(match self.place {
            Some(place) => placed_share(rate, bound, backend, place),
            None if allows_unplaced(bound) => (rate / UNPLACED_ENTRIES).min(SINGLE_RATE),
            None => 0.0,
        })
    }

    /// The time for which a backend server may be cold that nobody has observed.
    pub(crate) fn unobserved_span(&self, service: &ServiceId) -> TimeSpan {
        let start = self.starts.get(service);
        start.map_or(TimeSpan::ZERO, |start| start.span)
    }
}

/// The share of an entry that knows its place.
///
/// The count of entries may be too small by one, so that there are as many shares of this size and
/// one more. An entry that does not know its place takes no more than its share would be, except
/// where only some entries have one.
fn placed_share(rate: f64, bound: f64, backend: &BackendId, place: EntryPlace) -> f64 {
    let entries = f64::from(place.entries());
    let most = bound / (entries + 1.0);
    if most >= 2.0 {
        return (rate / entries).min(most - 1.0);
    }
    if most >= 1.0 {
        return (rate / entries).min(SINGLE_RATE);
    }
    let unplaced = if allows_unplaced(bound) {
        UNPLACED_ENTRIES
    } else {
        0.0
    };
    let users = (bound.floor() - CHANGED_USERS - unplaced).max(1.0);
    if position(place, backend) < users {
        (rate / users).min(SINGLE_RATE)
    } else {
        0.0
    }
}

/// Whether entries that do not know their place may send requests: only if the bound leaves room for
/// each of them and for at least one entry that knows its place.
fn allows_unplaced(bound: f64) -> bool {
    bound >= UNPLACED_ENTRIES + CHANGED_USERS + 1.0
}

/// The position of the entry in the order in which entries have a share of a backend server.
///
/// It begins at a part of the circle of entries that depends on the backend server alone. So a
/// change of the count by one changes hardly any position, other than with a remainder.
fn position(place: EntryPlace, backend: &BackendId) -> f64 {
    let entries = u64::from(place.entries());
    let hash = u128::from(xxh3_64(backend.as_str().as_bytes()));
    let first = u64::try_from((hash * u128::from(entries)) >> 64).expect("less than the entries");
    let shifted = (u64::from(place.index()) + entries - first) % entries;
    shifted as f64
}

/// Until when a backend server is cold, and when this entry may send it a request meanwhile.
///
/// It is a token bucket that holds one token at most, kept as the time at which it is full.
#[derive(Debug, Clone)]
pub(crate) struct ColdPace {
    until: TimePoint,
    /// Requests per second that this entry may send; `None` without limit.
    per_second: Option<f64>,
    /// When the next request may be sent.
    next_at: TimePoint,
}

impl ColdPace {
    /// Creates the pace of a backend server that becomes known, to which this process has sent nothing
    /// since `started_at`.
    ///
    /// Right after the start it allows no request: this entry may have sent some before it restarted.
    pub(crate) fn new(per_second: Option<f64>, started_at: TimePoint) -> Self {
        Self {
            until: TimePoint(0),
            per_second,
            next_at: filled_at(per_second, 1.0, started_at),
        }
    }

    /// Whether it may be forgotten: a new one would allow no more than this one.
    pub(crate) fn is_forgettable(&self, now: TimePoint) -> bool {
        // Without a share there is nothing to remember, and the bucket never fills.
        self.per_second.is_none_or(|rate| rate <= 0.0) || now >= self.next_at
    }

    /// Records that the backend server is cold for this time; an earlier notice of a longer time
    /// stays valid.
    pub(crate) fn note_remaining(&mut self, remaining: TimeSpan, now: TimePoint) {
        self.until = self.until.max(now + remaining.min(MAX_COLD));
    }

    /// The time for which the backend server is still cold; `None` if it is not.
    pub(crate) fn remaining(&self, now: TimePoint) -> Option<TimeSpan> {
        (now < self.until).then(|| self.until.since(now))
    }

    /// Whether its requests are limited whenever it is cold.
    pub(crate) fn has_share(&self) -> bool {
        self.per_second.is_some()
    }

    pub(crate) fn set_share(&mut self, per_second: Option<f64>, now: TimePoint) {
        if self.per_second == per_second {
            return;
        }
        let missing = match self.per_second {
            Some(rate) if rate > 0.0 => self.next_at.since(now).as_secs_f64() * rate,
            // What was sent without limit is not known.
            _ => 1.0,
        };
        self.per_second = per_second;
        self.next_at = filled_at(per_second, missing, now);
    }

    pub(crate) fn has_room(&self, now: TimePoint) -> bool {
        now >= self.until || now >= self.next_at
    }

    /// Records that a request is sent, also while the backend server is not cold: it may become so at
    /// any time.
    pub(crate) fn take(&mut self, now: TimePoint) {
        self.next_at = filled_at(self.per_second, 1.0, now);
    }

    /// The time until a request may be sent, at the latest when the backend server is not cold.
    pub(crate) fn time_until_room(&self, now: TimePoint) -> TimeSpan {
        self.next_at.min(self.until).since(now)
    }
}

/// When the missing part of a token has been added.
fn filled_at(per_second: Option<f64>, missing: f64, now: TimePoint) -> TimePoint {
    match per_second {
        None => TimePoint(0),
        // Rounded up to the next microsecond.
        Some(rate) if rate > 0.0 => {
            let seconds = (missing / rate).min(MAX_FILL_SECONDS);
            now + TimeSpan::from_secs_f64(seconds) + TimeSpan(1)
        }
        Some(_) => TimePoint(u64::MAX),
    }
}
