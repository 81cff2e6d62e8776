//! Estimates the throughput of the backend server.

use celerycrank_types::{TimeSpan, TokenCount};

use crate::request::DispatchPriority;

/// Factor by which the sums decay with each sample.
const SAMPLE_DECAY: f64 = 63.0 / 64.0;

/// Minimum fraction of the rate that is assumed to remain for a priority.
const MIN_REMAINING_FRACTION: f64 = 0.05;

/// Exponentially weighted sums of tokens and slot time of settled requests.
///
/// The rate is measured per slot, so that it is also known at low load, and decreases as soon as
/// requests hold their slots for longer.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServiceRateEstimator {
    tokens: f64,
    seconds: f64,
    samples: f64,
    /// Invariant: the elements add up to `tokens`.
    tokens_by_priority: [f64; DispatchPriority::COUNT],
}

impl ServiceRateEstimator {
    /// Records a settled request.
    pub(crate) fn record(&mut self, priority: DispatchPriority, cost: TokenCount, held: TimeSpan) {
        for tokens in &mut self.tokens_by_priority {
            *tokens *= SAMPLE_DECAY;
        }
        self.tokens_by_priority[priority.index()] += cost.0 as f64;
        self.tokens = self.tokens * SAMPLE_DECAY + cost.0 as f64;
        self.seconds = self.seconds * SAMPLE_DECAY + held.as_secs_f64();
        self.samples = self.samples * SAMPLE_DECAY + 1.0;
    }

    /// Tokens per second processed by one slot; `None` before the first sample.
    pub(crate) fn slot_rate(&self) -> Option<f64> {
        (self.tokens > 0.0 && self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }

    /// The fraction of the rate that higher priorities leave for this one.
    pub(crate) fn remaining_fraction(&self, priority: DispatchPriority) -> f64 {
        let before: f64 = self.tokens_by_priority[..priority.index()].iter().sum();
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
