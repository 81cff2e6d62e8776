//! Measures how fast the backend server works.

use celerycrank_types::{TimeSpan, TokenCount};

use crate::request::ServiceRank;

/// Part of the old sums that remains after one more sample.
const SAMPLE_DECAY: f64 = 63.0 / 64.0;

/// Least part of the rate that is taken as left for a rank.
const LEAST_PART: f64 = 0.05;

/// Exponentially weighted tokens and slot time of settled requests.
///
/// The rate is taken a slot: it is then known at low load too, and falls as soon as requests
/// hold their slots for longer.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServiceMeter {
    tokens: f64,
    seconds: f64,
    samples: f64,
    /// Invariant: `tokens` by rank.
    by_rank: [f64; ServiceRank::COUNT],
}

impl ServiceMeter {
    /// Takes in one settled request.
    pub(crate) fn record(&mut self, rank: ServiceRank, cost: TokenCount, held: TimeSpan) {
        for tokens in &mut self.by_rank {
            *tokens *= SAMPLE_DECAY;
        }
        self.by_rank[rank.index()] += cost.0 as f64;
        self.tokens = self.tokens * SAMPLE_DECAY + cost.0 as f64;
        self.seconds = self.seconds * SAMPLE_DECAY + held.as_secs_f64();
        self.samples = self.samples * SAMPLE_DECAY + 1.0;
    }

    /// Tokens a second that one slot works off; `None` before the first sample.
    pub(crate) fn slot_rate(&self) -> Option<f64> {
        (self.tokens > 0.0 && self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }

    /// Part of the rate that the ranks before this one leave.
    pub(crate) fn part_left(&self, rank: ServiceRank) -> f64 {
        let before: f64 = self.by_rank[..rank.index()].iter().sum();
        if self.tokens > 0.0 {
            (1.0 - before / self.tokens).max(LEAST_PART)
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
