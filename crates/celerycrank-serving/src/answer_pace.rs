//! Compares the answer times of the backend servers of a plain service.
//!
//! The load pattern: three servers without agents, one of which is several times slower than the
//! others or does not answer at all. No report tells its pace, and since each of many entries has
//! hardly a request in flight, the number of requests in flight does not show it either. Every entry
//! would send it a third of the requests.
//!
//! Requests take different times. Each server gets a random part of them, so that its average differs
//! from that of the others by much only if it is slow itself.

use celerycrank_types::{TimePoint, TimeSpan};
use smallvec::SmallVec;

/// Minimum weight of the newest answer in the moving average.
///
/// With a weight of 0.1 and a minimum slowdown of 2, equal servers with exponentially distributed
/// answer times appeared slow for an eighth of the time.
const MIN_SMOOTHING: f64 = 0.05;

/// Time without an answer after which the weight of earlier answers is halved.
const HISTORY_HALF_LIFE: TimeSpan = TimeSpan::from_secs(5);

/// Number of answers from which an average is reliable.
const MIN_SAMPLES: u32 = 4;

/// Maximum number of other backend servers with which one is compared.
const MAX_COMPARED: usize = 64;

/// Slowdown factor below which a difference may be chance.
const MIN_SLOWDOWN: f64 = 2.5;

/// Minimum difference from the median; a smaller one may be due to the network between failure
/// domains.
const MIN_EXCESS: TimeSpan = TimeSpan::from_millis(20);

/// Maximum slowdown factor. It also takes effect with fewer answers than [`MIN_SAMPLES`], since a silent
/// server gives one sample in each timeout.
const MAX_SLOWDOWN: f64 = 8.0;

/// Time without an answer after which the slowdown factor decreases, so that the backend server is
/// tried again.
const RECOVERY_DELAY: TimeSpan = TimeSpan::from_secs(3);

/// Time in which the excess of the slowdown factor over 1 is then halved.
const RECOVERY_HALF_LIFE: TimeSpan = TimeSpan::from_millis(1_500);

/// Time without an answer after which a backend server is neither slow nor compared with others.
const RETENTION: TimeSpan = TimeSpan::from_secs(12);

/// How fast a backend server answers, compared with the others of its service.
#[derive(Debug, Default, Clone)]
pub(crate) struct AnswerPace {
    /// Moving average of the answer times, in seconds.
    average: f64,
    /// Number of answers in it.
    samples: u32,
    /// When the latest answer was recorded.
    sampled_at: TimePoint,
    /// Slowdown factor at the latest answer; 0 before the first comparison.
    slowdown: f64,
}

impl AnswerPace {
    /// Records the time that an answer took.
    pub(crate) fn observe(&mut self, answer_time: TimeSpan, now: TimePoint) {
        let age = now.since(self.sampled_at).as_secs_f64();
        let kept = (1.0 - MIN_SMOOTHING) * (-age / HISTORY_HALF_LIFE.as_secs_f64()).exp2();
        self.samples = self.samples.saturating_add(1);
        // The first answers have the same weight each.
        let smoothing = (1.0 - kept).max(1.0 / f64::from(self.samples));
        self.average += (answer_time.as_secs_f64() - self.average) * smoothing;
        self.sampled_at = now;
    }

    /// Records that a request was not answered successfully within a time; returns whether that shows
    /// a longer answer time than the average.
    pub(crate) fn observe_unanswered(&mut self, waited: TimeSpan, now: TimePoint) -> bool {
        let is_longer = waited.as_secs_f64() > self.average;
        if is_longer {
            self.observe(waited, now);
        }
        is_longer
    }

    /// Compares the average with those of other backend servers.
    pub(crate) fn compare<'pace>(
        &mut self,
        others: impl Iterator<Item = &'pace Self>,
        now: TimePoint,
    ) {
        let comparable = others.filter(|other| other.is_comparable(now));
        let averages = comparable.map(|other| other.average).take(MAX_COMPARED);
        let mut averages = averages.collect::<SmallVec<[f64; MAX_COMPARED]>>();
        self.slowdown = 1.0;
        if averages.is_empty() {
            return;
        }
        // Of two others, one of which is slow as well, the faster one is normal.
        let middle = (averages.len() - 1) / 2;
        let (_, median, _) = averages.select_nth_unstable_by(middle, f64::total_cmp);
        let slowdown = self.average / median.max(f64::MIN_POSITIVE);
        let threshold = if self.samples < MIN_SAMPLES {
            MAX_SLOWDOWN
        } else {
            MIN_SLOWDOWN
        };
        let excess = self.average - *median;
        if slowdown >= threshold && excess >= MIN_EXCESS.as_secs_f64() {
            self.slowdown = slowdown.min(MAX_SLOWDOWN);
        }
    }

    /// Returns the slowdown factor compared with the other backend servers, from 1.
    pub(crate) fn slowdown(&self, now: TimePoint) -> f64 {
        let age = now.since(self.sampled_at);
        if self.slowdown <= 1.0 || age >= RETENTION {
            return 1.0;
        }
        let recovering = age.saturating_sub(RECOVERY_DELAY).as_secs_f64();
        let rest = (-recovering / RECOVERY_HALF_LIFE.as_secs_f64()).exp2();
        1.0 + (self.slowdown - 1.0) * rest
    }

    fn is_comparable(&self, now: TimePoint) -> bool {
        self.samples >= MIN_SAMPLES && now.since(self.sampled_at) < RETENTION
    }
}
