//! Measures how fast the backend server works.

use celerycrank_types::{TimeSpan, TokenCount};

/// Part of the old sums that remains after one more sample.
const SAMPLE_DECAY: f64 = 15.0 / 16.0;

/// Exponentially weighted tokens and slot time of settled requests.
///
/// The rate is taken a slot: it is then known at low load too, and falls as soon as requests
/// hold their slots for longer.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServiceMeter {
    tokens: f64,
    seconds: f64,
    samples: f64,
}

impl ServiceMeter {
    /// Takes in one settled request.
    pub(crate) fn record(&mut self, cost: TokenCount, held: TimeSpan) {
        self.tokens = self.tokens * SAMPLE_DECAY + cost.0 as f64;
        self.seconds = self.seconds * SAMPLE_DECAY + held.as_secs_f64();
        self.samples = self.samples * SAMPLE_DECAY + 1.0;
    }

    /// Tokens a second that one slot works off; `None` before the first sample.
    pub(crate) fn slot_rate(&self) -> Option<f64> {
        (self.tokens > 0.0 && self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }

    /// Mean time for which a request holds its slot; zero before the first sample.
    pub(crate) fn mean_hold(&self) -> f64 {
        if self.samples > 0.0 {
            self.seconds / self.samples
        } else {
            0.0
        }
    }
}
