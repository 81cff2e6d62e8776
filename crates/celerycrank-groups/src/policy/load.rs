//! Loads of experts, as observed and as estimated.

use celerycrank_types::{TimePoint, TimeSpan};

use super::layer::LayerPlacement;
use crate::{ExpertMap, MapShape};

/// Work of each expert of each layer in one interval; only proportions matter.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadTable {
    experts: usize,
    /// Loads by layer, then expert.
    loads: Vec<f64>,
}

impl LoadTable {
    /// A table without load.
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

    /// The loads of a layer's experts, for writing.
    pub fn layer_mut(&mut self, layer: usize) -> &mut [f64] {
        &mut self.loads[layer * self.experts..][..self.experts]
    }

    /// Step time with a map over step time with even ranks.
    ///
    /// Layers run one after the other and each waits for its slowest rank.
    #[must_use]
    pub fn skew(&self, map: &ExpertMap) -> f64 {
        let shape = map.shape();
        let ranks = f64::from(shape.ranks);
        let mut slowest = 0.0;
        let mut even = 0.0;
        for layer in 0..usize::from(shape.layers) {
            slowest += LayerPlacement::of_map(map, layer).slowest(self.layer(layer));
            even += self.layer(layer).iter().sum::<f64>() / ranks;
        }
        if even > 0.0 { slowest / even } else { 1.0 }
    }

    /// Moves every load towards another table's by a fraction.
    fn approach(&mut self, other: &Self, fraction: f64) {
        for (load, seen) in self.loads.iter_mut().zip(&other.loads) {
            *load += (seen - *load) * fraction;
        }
    }

    /// The table with each layer's loads divided by their sum, if every layer has any.
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

/// An average of observed loads in which older ones count ever less.
#[derive(Debug, Clone)]
pub struct LoadEstimator {
    half_life: TimeSpan,
    /// Invariant: absent until the first observation.
    estimate: Option<LoadTable>,
    updated_at: TimePoint,
}

impl LoadEstimator {
    /// An estimator that has seen nothing.
    #[must_use]
    pub const fn new(half_life: TimeSpan) -> Self {
        Self {
            half_life,
            estimate: None,
            updated_at: TimePoint(0),
        }
    }

    /// Takes the loads of an interval that ended at `at`.
    ///
    /// Late ones that are older than the estimate are dropped. A gap makes the next
    /// observation count for the time that has passed.
    pub fn observe(&mut self, at: TimePoint, seen: &LoadTable) {
        let Some(seen) = seen.normalized() else {
            return;
        };
        match &mut self.estimate {
            None => self.estimate = Some(seen),
            Some(_) if at <= self.updated_at => return,
            Some(estimate) => {
                let age = at.since(self.updated_at).as_secs_f64();
                let fraction = 1.0 - 0.5_f64.powf(age / self.half_life.as_secs_f64());
                estimate.approach(&seen, fraction);
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
