//! Whether the configuration in force is known to be the newest.

use celerycrank_types::{TimePoint, TimeSpan};

/// Longest time for which the store may report no change although there was one.
const DETECTION_DELAY: TimeSpan = TimeSpan::from_millis(1_000);

/// Allowance for the time between the check and the start at the backend server.
const SEND_ALLOWANCE: TimeSpan = TimeSpan::from_millis(150);

/// Knows until when the configuration in force may be used for requests with a key.
///
/// A key that is taken away must be refused within a set time everywhere, also by a process
/// that is cut off from the store. So the process counts from the moment at which it sent
/// the question whose answer showed that nothing had changed. Points of time come from a
/// clock that goes on while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessGuard {
    limit: TimeSpan,
    /// Invariant: the store held the configuration in force at this moment or later.
    confirmed_at: Option<TimePoint>,
}

impl FreshnessGuard {
    /// A guard for keys that must be refused this long after they were taken away.
    #[must_use]
    pub const fn new(revocation: TimeSpan) -> Self {
        Self {
            limit: revocation
                .saturating_sub(DETECTION_DELAY)
                .saturating_sub(SEND_ALLOWANCE),
            confirmed_at: None,
        }
    }

    /// The same knowledge under another limit.
    #[must_use]
    pub const fn with_revocation(self, revocation: TimeSpan) -> Self {
        Self {
            confirmed_at: self.confirmed_at,
            ..Self::new(revocation)
        }
    }

    /// Notes that a question sent at `asked_at` found the configuration in force unchanged.
    pub fn confirm(&mut self, asked_at: TimePoint) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Whether requests with a key may be served now.
    #[must_use]
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) < self.limit)
    }

    /// How long ago the configuration was known to be the newest.
    #[must_use]
    pub fn age(&self, now: TimePoint) -> Option<TimeSpan> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
