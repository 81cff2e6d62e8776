//! Monitors how many tokens are routed to each expert, and proposes a change when the map no
//! longer fits.

use std::collections::VecDeque;

use celerycrank_types::{TimePoint, TimeSpan};

use crate::{ExpertMap, LoadTable, MapShape, SpreadLimits, WeightCopy, spread_hot_experts};

/// The time over which routed tokens are counted.
const WINDOW: TimeSpan = TimeSpan::from_millis(250);

/// The number of routed tokens, summed over all layers and experts, below which a window is too
/// small a sample.
const MIN_ROUTED_TOKENS: u64 = 2_000;

/// The step time, relative to that of balanced ranks, above which the map is changed.
const SKEW_LIMIT: f64 = 1.6;

/// The fraction of the step time that a change must save.
const MIN_GAIN: f64 = 0.2;

/// Limits of one change: most of the gain comes from the first few replicas.
const CHANGE_LIMITS: SpreadLimits = SpreadLimits {
    per_layer: 2,
    per_rank: 3,
    target_skew: 1.3,
};

/// Samples of the total number of tokens routed to each expert, over a sliding window.
#[derive(Debug, Clone, Default)]
pub struct CountWindow {
    samples: VecDeque<(TimePoint, Vec<u64>)>,
}

impl CountWindow {
    /// Adds a sample of the totals since the rank started, by layer, then expert.
    pub fn push(&mut self, now: TimePoint, totals: Vec<u64>) {
        let is_monotonic = |(_, known): &(TimePoint, Vec<u64>)| {
            let pairs = known.iter().zip(&totals);
            known.len() == totals.len() && pairs.into_iter().all(|(old, new)| old <= new)
        };
        if !self.samples.back().is_none_or(is_monotonic) {
            // The rank has restarted and counts from zero.
            self.samples.clear();
        }
        self.samples.push_back((now, totals));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= WINDOW {
            self.samples.pop_front();
        }
    }

    /// The loads in the window, or `None` while the sample is too small.
    #[must_use]
    pub fn loads(&self, shape: MapShape) -> Option<LoadTable> {
        let (_, first) = self.samples.front()?;
        let (_, last) = self.samples.back()?;
        let mut table = LoadTable::new(shape);
        let experts = usize::from(shape.experts);
        if last.len() != experts * usize::from(shape.layers) {
            return None;
        }
        let chosen = last.iter().zip(first).map(|(new, old)| new - old);
        let chosen = chosen.collect::<Vec<_>>();
        if chosen.iter().sum::<u64>() < MIN_ROUTED_TOKENS {
            return None;
        }
        for (layer, counts) in chosen.chunks(experts).enumerate() {
            for (load, count) in table.layer_mut(layer).iter_mut().zip(counts) {
                *load = *count as f64;
            }
        }
        Some(table)
    }
}

/// A change of the map whose gain is worth its weight copies.
#[derive(Debug, Clone, PartialEq)]
pub struct MapProposal {
    /// The weight copies that make the change.
    pub weight_copies: Vec<WeightCopy>,
    /// The current step time, relative to that of balanced ranks.
    pub skew_before: f64,
    /// The relative step time that is expected after the change.
    pub skew_after: f64,
}

/// Detects that the map no longer fits the loads of the experts, and proposes a change.
#[derive(Debug, Clone, Default)]
pub struct LoadMonitor {
    window: CountWindow,
}

impl LoadMonitor {
    /// Records the totals since the rank started, by layer, then expert.
    pub fn observe(&mut self, now: TimePoint, totals: Vec<u64>) {
        self.window.push(now, totals);
    }

    /// Proposes a change of the map, or returns `None` if the map fits well enough or no change
    /// saves enough.
    ///
    /// `max_moves_per_change` limits the experts of one layer that a rank may receive.
    #[must_use]
    pub fn propose(&self, map: &ExpertMap, max_moves_per_change: u16) -> Option<MapProposal> {
        let loads = self.window.loads(map.shape())?;
        let before = loads.step_skew(map);
        if before <= SKEW_LIMIT {
            return None;
        }
        let limits = SpreadLimits {
            per_layer: CHANGE_LIMITS.per_layer.min(max_moves_per_change),
            ..CHANGE_LIMITS
        };
        let changes = spread_hot_experts(map, &loads, &limits);
        let after = loads.step_skew(&map.successor(&changes));
        let is_worth_it = before - after >= MIN_GAIN * before;
        is_worth_it.then_some(MapProposal {
            weight_copies: changes,
            skew_before: before,
            skew_after: after,
        })
    }
}
