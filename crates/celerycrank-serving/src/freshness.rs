//! Tracks until when the active configuration is known to be current.

use celerycrank_types::{TimePoint, TimeSpan};

/// Maximum time for which the key-value service may fail to report a change.
const DETECTION_DELAY: TimeSpan = TimeSpan::from_millis(1_000);

/// Allowance for the time between the check and the start of the request at the backend server.
const SEND_ALLOWANCE: TimeSpan = TimeSpan::from_millis(150);

/// Determines how long the active configuration may be used for requests with an API key.
///
/// A revoked API key must be refused everywhere within a fixed time, even by a process that cannot
/// reach the key-value service. The age of the configuration is therefore measured from the time
/// at which the process sent the last query that found it unchanged. All times must come from a clock
/// that keeps running while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessGuard {
    /// Maximum age of the configuration.
    limit: TimeSpan,
    /// Invariant: the key-value service held the active configuration at this time or later.
    confirmed_at: Option<TimePoint>,
}

impl FreshnessGuard {
    /// Creates a guard for API keys that must be refused within `revocation_limit` after they were
    /// revoked.
    #[must_use]
    pub const fn new(revocation_limit: TimeSpan) -> Self {
        Self {
            limit: revocation_limit
                .saturating_sub(DETECTION_DELAY)
                .saturating_sub(SEND_ALLOWANCE),
            confirmed_at: None,
        }
    }

    /// Returns a guard with another revocation limit that keeps the last confirmation.
    #[must_use]
    pub const fn with_revocation_limit(self, revocation_limit: TimeSpan) -> Self {
        Self {
            confirmed_at: self.confirmed_at,
            ..Self::new(revocation_limit)
        }
    }

    /// Records that a query sent at `asked_at` found the active configuration unchanged.
    pub fn confirm(&mut self, asked_at: TimePoint) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Whether requests with an API key may be served now.
    #[must_use]
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) < self.limit)
    }

    /// Returns the time since the configuration was last known to be current.
    #[must_use]
    pub fn age(&self, now: TimePoint) -> Option<TimeSpan> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
