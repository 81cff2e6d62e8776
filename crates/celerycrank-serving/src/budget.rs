//! Limits the retries that all entries together send.

use celerycrank_types::{TimePoint, TimeSpan};

/// Number of buckets in a sliding window.
const WINDOW_BUCKETS: usize = 10;

/// Fraction of the allowed ratio that is used, so that windows which do not align with the
/// buckets stay within the ratio as well.
const RATIO_MARGIN: f64 = 0.75;

/// The smallest number of entries among which the slack is divided: entries may be added before any
/// agent has counted them.
const MIN_ENTRIES: u32 = 24;

/// Time over which the largest count of entries is kept, so that an agent which has just started
/// and knows few of them does not lower it.
const COUNT_WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// The retries allowed for a service, summed over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Length of the sliding window.
    pub window: TimeSpan,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries that all entries together may make in a window in addition to the ratio.
    pub slack: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct WindowBucket {
    /// Number of the bucket, counted from the origin of the clock.
    number: u64,
    requests: u32,
    retries: u32,
}

/// The number of entries, as agents count those that subscribe to their reports.
#[derive(Debug, Default, Clone)]
pub struct EntryCount {
    /// The window that `newest` belongs to, counted from the origin of the clock.
    window: u64,
    newest: u32,
    previous: u32,
}

impl EntryCount {
    /// Records the count of one agent.
    pub fn observe(&mut self, entries: u32, now: TimePoint) {
        self.advance(now);
        self.newest = self.newest.max(entries);
    }

    /// The largest count of the last one or two windows.
    #[must_use]
    pub fn get(&mut self, now: TimePoint) -> u32 {
        self.advance(now);
        self.newest.max(self.previous)
    }

    fn advance(&mut self, now: TimePoint) {
        let window = now.0 / COUNT_WINDOW.0;
        // Without any count in between, the last one stays the best that is known.
        if window > self.window && self.newest > 0 {
            self.previous = self.newest;
            self.newest = 0;
        }
        self.window = window;
    }
}

/// One entry's requests and retries of a service in a sliding window.
///
/// Each entry applies the ratio to its own requests and uses only its fraction of the slack, so
/// entries need not exchange messages.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    allowance: RetryAllowance,
    /// The number of entries among which the slack is divided.
    entries: u32,
    buckets: [WindowBucket; WINDOW_BUCKETS],
}

impl RetryWindow {
    /// Creates an empty window.
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            entries: MIN_ENTRIES,
            buckets: [WindowBucket::default(); WINDOW_BUCKETS],
        }
    }

    /// Sets the number of entries among which the slack is divided.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(MIN_ENTRIES);
    }

    /// Records a request from a caller.
    pub fn note_request(&mut self, now: TimePoint) {
        self.bucket(now).requests += 1;
    }

    /// Whether the window allows another retry.
    #[must_use]
    pub fn has_room(&self, now: TimePoint) -> bool {
        let (requests, retries) = self.totals(now);
        let slack = self.allowance.slack / f64::from(self.entries);
        let limit = f64::from(requests) * self.allowance.ratio * RATIO_MARGIN + slack;
        f64::from(retries) + 1.0 <= limit
    }

    /// Records a retry if the window allows one; returns whether it does.
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
