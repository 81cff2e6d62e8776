//! Measures how fast the backend server works.

use celerycrank_types::{TimeSpan, TokenCount};

use crate::request::DispatchPriority;

/// Part of the old sums that remains after one more sample.
const SAMPLE_DECAY: f64 = 63.0 / 64.0;

/// Least part of the rate that is taken as left for a rank.
const MIN_REMAINING_FRACTION: f64 = 0.05;

/// Exponentially weighted tokens and slot time of settled requests.
///
/// The rate is taken a slot: it is then known at low load too, and falls as soon as requests
/// hold their slots for longer.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServiceRateEstimator {
    tokens: f64,
    seconds: f64,
    samples: f64,
    /// Invariant: `tokens` by rank.
    tokens_by_priority: [f64; DispatchPriority::COUNT],
}

impl ServiceRateEstimator {
    /// Takes in one settled request.
    pub(crate) fn record(&mut self, rank: DispatchPriority, cost: TokenCount, held: TimeSpan) {
        for tokens in &mut self.tokens_by_priority {
            *tokens *= SAMPLE_DECAY;
        }
        self.tokens_by_priority[rank.index()] += cost.0 as f64;
        self.tokens = self.tokens * SAMPLE_DECAY + cost.0 as f64;
        self.seconds = self.seconds * SAMPLE_DECAY + held.as_secs_f64();
        self.samples = self.samples * SAMPLE_DECAY + 1.0;
    }

    /// Tokens a second that one slot works off; `None` before the first sample.
    pub(crate) fn slot_rate(&self) -> Option<f64> {
        (self.tokens > 0.0 && self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }

    /// Part of the rate that the ranks before this one leave.
    pub(crate) fn remaining_fraction(&self, rank: DispatchPriority) -> f64 {
        let before: f64 = self.tokens_by_priority[..rank.index()].iter().sum();
        if self.tokens > 0.0 {
            (1.0 - before / self.tokens).max(MIN_REMAINING_FRACTION)
        } else {
            1.0
        }
    }

    /// Mean time for which a request holds its slot; zero before the first sample.
    pub(crate) fn mean_slot_time(&self) -> f64 {
        if self.samples > 0.0 {
            self.seconds / self.samples
        } else {
            0.0
        }
    }
}
