//! Observed and estimated loads of experts.

use celerycrank_types::{TimePoint, TimeSpan};

use super::layer::LayerPlacement;
use crate::{ExpertMap, MapShape};

/// The load of each expert of each layer in one interval; only proportions matter.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadTable {
    experts: usize,
    /// Loads by layer, then expert.
    loads: Vec<f64>,
}

impl LoadTable {
    /// Creates a table without load.
    #[must_use]
    pub fn new(shape: MapShape) -> Self {
        let experts = usize::from(shape.experts);
        Self {
            experts,
            loads: vec![0.0; experts * usize::from(shape.layers)],
        }
    }

    /// The loads of a layer's experts.
    #[must_use]
    pub fn layer(&self, layer: usize) -> &[f64] {
        &self.loads[layer * self.experts..][..self.experts]
    }

    /// The loads of a layer's experts, mutably.
    pub fn layer_mut(&mut self, layer: usize) -> &mut [f64] {
        &mut self.loads[layer * self.experts..][..self.experts]
    }

    /// The ratio of the step time with a map to the step time with balanced ranks, over all layers.
    ///
    /// Layers run one after the other, and each one waits for its slowest rank.
    #[must_use]
    pub fn step_skew(&self, map: &ExpertMap) -> f64 {
        let shape = map.shape();
        let ranks = f64::from(shape.ranks);
        let mut slowest = 0.0;
        let mut balanced = 0.0;
        for layer in 0..usize::from(shape.layers) {
            slowest += LayerPlacement::of_map(map, layer).max_rank_load(self.layer(layer));
            balanced += self.layer(layer).iter().sum::<f64>() / ranks;
        }
        if balanced > 0.0 {
            slowest / balanced
        } else {
            1.0
        }
    }

    /// Blends another table into this one with the given weight.
    fn blend(&mut self, other: &Self, weight: f64) {
        for (load, observed) in self.loads.iter_mut().zip(&other.loads) {
            *load += (observed - *load) * weight;
        }
    }

    /// The table with each layer's loads divided by their sum, or `None` if a layer has no
    /// load.
    fn normalized(&self) -> Option<Self> {
        let mut table = self.clone();
        for layer in table.loads.chunks_mut(self.experts) {
            let sum = layer.iter().sum::<f64>();
            if sum <= 0.0 {
                return None;
            }
            for load in layer {
                *load /= sum;
            }
        }
        Some(table)
    }
}

/// An exponentially weighted moving average of observed loads.
#[derive(Debug, Clone)]
pub struct LoadEstimator {
    half_life: TimeSpan,
    /// Invariant: `None` until the first observation.
    estimate: Option<LoadTable>,
    updated_at: TimePoint,
}

impl LoadEstimator {
    /// Creates an estimator without observations.
    #[must_use]
    pub const fn new(half_life: TimeSpan) -> Self {
        Self {
            half_life,
            estimate: None,
            updated_at: TimePoint(0),
        }
    }

    /// Records the loads of an interval that ended at `at`.
    ///
    /// Late observations that are older than the estimate are dropped. After a gap, the next
    /// observation is weighted by the time that has passed.
    pub fn observe(&mut self, at: TimePoint, observed: &LoadTable) {
        let Some(observed) = observed.normalized() else {
            return;
        };
        match &mut self.estimate {
            None => self.estimate = Some(observed),
            Some(_) if at <= self.updated_at => return,
            Some(estimate) => {
                let age = at.since(self.updated_at).as_secs_f64();
                let weight = 1.0 - 0.5_f64.powf(age / self.half_life.as_secs_f64());
                estimate.blend(&observed, weight);
            }
        }
        self.updated_at = at;
    }

    /// The estimated loads, each layer summing to 1.
    #[must_use]
    pub const fn estimate(&self) -> Option<&LoadTable> {
        self.estimate.as_ref()
    }
}
