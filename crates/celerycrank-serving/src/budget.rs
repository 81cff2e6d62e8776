//! Bounds what the entries together send a second time.

use celerycrank_types::{TimePoint, TimeSpan};

/// Parts into which a window is divided.
const WINDOW_BUCKETS: usize = 10;

/// Part of the allowed ratio that is used, so that windows which end between two counts
/// stay within it too.
const RATIO_MARGIN: f64 = 0.75;

/// Entries among which the retries that need no requests are divided.
const ASSUMED_ENTRIES: f64 = 24.0;

/// What a service's retries may amount to, summed over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Length of the window in which retries are counted.
    pub window: TimeSpan,
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the ratio that all entries together may make in a window.
    pub slack: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct WindowBucket {
    /// Number of the part since the clock's origin.
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service in a sliding window, as one entry sees them.
///
/// Each entry keeps to the ratio of its own requests and to its part of the slack, so
/// that no message between entries is needed.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    allowance: RetryAllowance,
    buckets: [WindowBucket; WINDOW_BUCKETS],
}

impl RetryWindow {
    /// A window in which nothing has happened.
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            buckets: [WindowBucket::default(); WINDOW_BUCKETS],
        }
    }

    /// Notes a request of a caller.
    pub fn note_request(&mut self, now: TimePoint) {
        self.bucket(now).requests += 1;
    }

    /// Whether the window has room for a retry.
    #[must_use]
    pub fn has_room(&self, now: TimePoint) -> bool {
        let (requests, retries) = self.totals(now);
        let slack = self.allowance.slack / ASSUMED_ENTRIES;
        let limit = f64::from(requests) * self.allowance.ratio * RATIO_MARGIN + slack;
        f64::from(retries) + 1.0 <= limit
    }

    /// Takes one retry, if the window has room for it.
    #[must_use]
    pub fn take_retry(&mut self, now: TimePoint) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.bucket(now).retries += 1;
        }
        has_room
    }

    fn totals(&self, now: TimePoint) -> (u32, u32) {
        let newest = self.bucket_number(now);
        let oldest = (newest + 1).saturating_sub(WINDOW_BUCKETS as u64);
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| (oldest..=newest).contains(&bucket.number));
        recent.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        })
    }

    fn bucket(&mut self, now: TimePoint) -> &mut WindowBucket {
        let number = self.bucket_number(now);
        let index = usize::try_from(number % WINDOW_BUCKETS as u64).expect("below ten");
        let bucket = &mut self.buckets[index];
        if bucket.number != number {
            *bucket = WindowBucket {
                number,
                ..WindowBucket::default()
            };
        }
        bucket
    }

    fn bucket_number(&self, now: TimePoint) -> u64 {
        now.0 / (self.allowance.window.0 / WINDOW_BUCKETS as u64).max(1)
    }
}
