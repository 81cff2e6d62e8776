//! Watches which experts are chosen, and says when the map no longer fits.

use std::collections::VecDeque;

use celerycrank_types::{TimePoint, TimeSpan};

use crate::{ExpertMap, LoadTable, MapShape, SlotLoad, SpreadLimits, spread_hot_experts};

/// Time over which choices are counted.
const WINDOW: TimeSpan = TimeSpan::from_millis(250);

/// Choices in a window below which it says too little.
const MIN_CHOICES: u64 = 2_000;

/// Step time, in that of even ranks, above which the map is changed.
const SKEW_LIMIT: f64 = 1.6;

/// Part of the step time that a change must save.
const MIN_GAIN: f64 = 0.2;

/// Bounds of one change: most of the gain comes with the first few copies.
const CHANGE_LIMITS: SpreadLimits = SpreadLimits {
    per_layer: 2,
    per_rank: 3,
    target_skew: 1.3,
};

/// Totals of choices, sampled from time to time.
#[derive(Debug, Clone, Default)]
pub struct CountWindow {
    samples: VecDeque<(TimePoint, Vec<u64>)>,
}

impl CountWindow {
    /// Takes the totals since the rank's start, by layer, then expert.
    pub fn push(&mut self, now: TimePoint, totals: Vec<u64>) {
        let fits = |(_, known): &(TimePoint, Vec<u64>)| {
            let pairs = known.iter().zip(&totals);
            known.len() == totals.len() && pairs.into_iter().all(|(old, new)| old <= new)
        };
        if !self.samples.back().is_none_or(fits) {
            // The rank has started anew and counts from zero.
            self.samples.clear();
        }
        self.samples.push_back((now, totals));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= WINDOW {
            self.samples.pop_front();
        }
    }

    /// What was chosen in the window; nothing while that says too little.
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
        if chosen.iter().sum::<u64>() < MIN_CHOICES {
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

/// A change of the map that is worth its loads.
#[derive(Debug, Clone, PartialEq)]
pub struct MapProposal {
    /// What is to be loaded.
    pub loads: Vec<SlotLoad>,
    /// Step time now, in that of even ranks.
    pub skew_before: f64,
    /// Step time expected after the change.
    pub skew_after: f64,
}

/// Says when the map no longer fits what is chosen, and what to load then.
#[derive(Debug, Clone, Default)]
pub struct LoadMonitor {
    window: CountWindow,
}

impl LoadMonitor {
    /// Takes the totals since the rank's start, by layer, then expert.
    pub fn observe(&mut self, now: TimePoint, totals: Vec<u64>) {
        self.window.push(now, totals);
    }

    /// What to load now; nothing if the map fits well enough.
    #[must_use]
    pub fn propose(&self, map: &ExpertMap, spare: u16) -> Option<MapProposal> {
        let loads = self.window.loads(map.shape())?;
        let before = loads.skew(map);
        if before <= SKEW_LIMIT {
            return None;
        }
        let limits = SpreadLimits {
            per_layer: CHANGE_LIMITS.per_layer.min(spare),
            ..CHANGE_LIMITS
        };
        let changes = spread_hot_experts(map, &loads, &limits);
        let after = loads.skew(&map.successor(&changes));
        let is_worth_it = before - after >= MIN_GAIN * before;
        is_worth_it.then_some(MapProposal {
            loads: changes,
            skew_before: before,
            skew_after: after,
        })
    }
}
