//! Bounds what the entries together send a second time.

use celerycrank_types::{TimePoint, TimeSpan};

/// Parts into which a window is divided.
const WINDOW_PARTS: usize = 10;

/// Part of the allowed ratio that is used, so that windows which end between two counts
/// stay within it too.
const RATIO_MARGIN: f64 = 0.75;

/// Entries among which the retries that need no requests are divided.
const ENTRIES_ASSUMED: f64 = 24.0;

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
struct WindowPart {
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
    parts: [WindowPart; WINDOW_PARTS],
}

impl RetryWindow {
    /// A window in which nothing has happened.
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            parts: [WindowPart::default(); WINDOW_PARTS],
        }
    }

    /// Notes a request of a caller.
    pub fn note_request(&mut self, now: TimePoint) {
        self.part(now).requests += 1;
    }

    /// Whether the window has room for a retry.
    #[must_use]
    pub fn has_room(&self, now: TimePoint) -> bool {
        let (requests, retries) = self.totals(now);
        let slack = self.allowance.slack / ENTRIES_ASSUMED;
        let most = f64::from(requests) * self.allowance.ratio * RATIO_MARGIN + slack;
        f64::from(retries) + 1.0 <= most
    }

    /// Takes one retry, if the window has room for it.
    #[must_use]
    pub fn take_retry(&mut self, now: TimePoint) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.part(now).retries += 1;
        }
        has_room
    }

    fn totals(&self, now: TimePoint) -> (u32, u32) {
        let newest = self.number(now);
        let oldest = (newest + 1).saturating_sub(WINDOW_PARTS as u64);
        let recent = self
            .parts
            .iter()
            .filter(|part| (oldest..=newest).contains(&part.number));
        recent.fold((0, 0), |(requests, retries), part| {
            (requests + part.requests, retries + part.retries)
        })
    }

    fn part(&mut self, now: TimePoint) -> &mut WindowPart {
        let number = self.number(now);
        let index = usize::try_from(number % WINDOW_PARTS as u64).expect("below ten");
        let part = &mut self.parts[index];
        if part.number != number {
            *part = WindowPart {
                number,
                ..WindowPart::default()
            };
        }
        part
    }

    fn number(&self, now: TimePoint) -> u64 {
        now.0 / (self.allowance.window.0 / WINDOW_PARTS as u64).max(1)
    }
}
