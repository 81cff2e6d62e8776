//! Limits what the engines of a service hold by the latencies that callers see.
//!
//! The load pattern: the ranks of a lock-step group run each pass together, so that each prompt that is
//! read and each expert in demand at one rank delays the streams of all. Long before all slots are in
//! use, first events and the gaps between events exceed the targets of the urgent kinds. How much fits
//! changes within seconds, with the prompts, the experts in demand and the expert map.

use celerycrank_types::{TimePoint, TimeSpan};

/// Weight of the newest sample in the moving averages.
const SMOOTHING: f64 = 0.1;

/// Part of its target that the mean first event may take; some take twice the mean.
const FIRST_EVENT_PART: f64 = 0.55;

/// Part of its target that the mean gap between events may take.
///
/// A stream is late if a single one of its gaps exceeds the target.
const GAP_PART: f64 = 0.75;

/// Longest gap that counts; a longer one is a stall, which fewer requests do not shorten.
const MAX_GAP: TimeSpan = TimeSpan::from_millis(500);

/// Minimum time between two changes of the ceiling, within which the last one shows an effect.
const CHANGE_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Factor by which the ceiling falls while latencies are too long.
const DECREASE: f64 = 0.96;

/// Amount by which the ceiling rises while they are not.
const INCREASE: f64 = 0.01;

/// Smallest ceiling: with less, callers lose more by what is not served than others gain.
const MIN_CEILING: f64 = 0.5;

/// The part of the places of a service that less urgent requests may use.
///
/// It falls by a factor while latencies are too long and rises by an amount otherwise, so that the
/// ceilings of all entries, which see about the same latencies, approach each other.
#[derive(Debug, Clone, Copy)]
pub struct LoadCeiling {
    /// Moving average of first events, relative to the target.
    first_event: f64,
    /// Moving average of gaps, relative to the target.
    gap: f64,
    /// Invariant: from [`MIN_CEILING`] to 1.
    part: f64,
    changed_at: TimePoint,
}

impl Default for LoadCeiling {
    fn default() -> Self {
        Self {
            first_event: 0.0,
            gap: 0.0,
            part: 1.0,
            changed_at: TimePoint::default(),
        }
    }
}

impl LoadCeiling {
    /// The part of the places that less urgent requests may use, from 0 to 1.
    #[must_use]
    pub const fn part(&self) -> f64 {
        self.part
    }

    /// Records the time from sending a request to its first event.
    pub fn observe_first_event(&mut self, span: TimeSpan, target: TimeSpan, now: TimePoint) {
        self.first_event = averaged(self.first_event, span, target);
        self.update(now);
    }

    /// Records the gap between two events of a stream.
    pub fn observe_gap(&mut self, gap: TimeSpan, target: TimeSpan, now: TimePoint) {
        if gap <= MAX_GAP {
            self.gap = averaged(self.gap, gap, target);
            self.update(now);
        }
    }

    fn update(&mut self, now: TimePoint) {
        if now.since(self.changed_at) < CHANGE_INTERVAL {
            return;
        }
        self.changed_at = now;
        let is_exceeded = self.first_event > FIRST_EVENT_PART || self.gap > GAP_PART;
        let part = if is_exceeded {
            self.part * DECREASE
        } else {
            self.part + INCREASE
        };
        self.part = part.clamp(MIN_CEILING, 1.0);
    }
}

fn averaged(known: f64, span: TimeSpan, target: TimeSpan) -> f64 {
    // A target of zero cannot be met by any load.
    let sample = span.as_secs_f64() / target.as_secs_f64().max(f64::EPSILON);
    known + (sample - known) * SMOOTHING
}
