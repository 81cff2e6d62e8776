//! Measures how fast the backend server works.

use celerycrank_types::{TimeSpan, TokenCount};

use crate::request::ShareBand;

/// Part of the old sums that remains after one more sample.
const SAMPLE_DECAY: f64 = 63.0 / 64.0;

/// Least part of the rate that is taken as left for what exceeds the shares.
const LEAST_EXCESS: f64 = 0.05;

/// Exponentially weighted tokens and slot time of settled requests.
///
/// The rate is taken a slot: it is then known at low load too, and falls as soon as requests
/// hold their slots for longer.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServiceMeter {
    tokens: f64,
    seconds: f64,
    samples: f64,
    /// Part of `tokens` that exceeded the accounts' shares.
    excess_tokens: f64,
}

impl ServiceMeter {
    /// Takes in one settled request.
    pub(crate) fn record(&mut self, band: ShareBand, cost: TokenCount, held: TimeSpan) {
        let excess = match band {
            ShareBand::Within => 0.0,
            ShareBand::Excess => cost.0 as f64,
        };
        self.excess_tokens = self.excess_tokens * SAMPLE_DECAY + excess;
        self.tokens = self.tokens * SAMPLE_DECAY + cost.0 as f64;
        self.seconds = self.seconds * SAMPLE_DECAY + held.as_secs_f64();
        self.samples = self.samples * SAMPLE_DECAY + 1.0;
    }

    /// Tokens a second that one slot works off; `None` before the first sample.
    pub(crate) fn slot_rate(&self) -> Option<f64> {
        (self.tokens > 0.0 && self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }

    /// Part of the rate that is left for what exceeds the accounts' shares.
    pub(crate) fn excess_part(&self) -> f64 {
        if self.tokens > 0.0 {
            (self.excess_tokens / self.tokens).max(LEAST_EXCESS)
        } else {
            1.0
        }
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
