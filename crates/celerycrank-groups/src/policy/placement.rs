//! Decides what to move and when it is worth it.

use celerycrank_types::TimePoint;

use super::layer::LayerPlacement;
use crate::{ExpertMap, LoadEstimator, LoadTable, PlacementSettings, SlotLoad};

/// Moves of one layer that one decision may make.
const MAX_LAYER_MOVES: usize = 12;

/// What a decision would move, and what it is expected to bring.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct PlacementDecision {
    /// What to load; nothing if no move is worth its cost.
    pub loads: Vec<SlotLoad>,
    /// Weighted step time saved over the horizon, in seconds.
    pub gain_seconds: f64,
    /// Time of loading and of the switch, in seconds.
    pub cost_seconds: f64,
}

/// Decides what to move from loads that lag and have gaps.
///
/// A gain counts only as far as it shows both in the recent estimate and in the longer one,
/// so a burst that does not last moves nothing.
#[derive(Debug, Clone)]
pub struct PlacementPolicy {
    settings: PlacementSettings,
    recent: LoadEstimator,
    memory: LoadEstimator,
    next_at: TimePoint,
}

impl PlacementPolicy {
    /// A policy that has seen nothing.
    #[must_use]
    pub const fn new(settings: PlacementSettings) -> Self {
        Self {
            recent: LoadEstimator::new(settings.recent),
            memory: LoadEstimator::new(settings.memory),
            settings,
            next_at: TimePoint(0),
        }
    }

    /// Takes the loads of an interval that ended at `at`.
    pub fn observe(&mut self, at: TimePoint, seen: &LoadTable) {
        self.recent.observe(at, seen);
        self.memory.observe(at, seen);
    }

    /// What to move now; nothing before the interval has passed since the last decision.
    pub fn decide(&mut self, now: TimePoint, map: &ExpertMap) -> PlacementDecision {
        if now < self.next_at {
            return PlacementDecision::default();
        }
        let (Some(recent), Some(memory)) = (self.recent.estimate(), self.memory.estimate()) else {
            return PlacementDecision::default();
        };
        let mut decision = PlacementDecision {
            cost_seconds: self.settings.switch_stall.as_secs_f64(),
            ..PlacementDecision::default()
        };
        for layer in 0..map.shape().layers {
            self.decide_layer(map, layer, recent, memory, &mut decision);
        }
        self.next_at = now + self.settings.interval;
        if decision.gain_seconds <= decision.cost_seconds {
            return PlacementDecision::default();
        }
        decision
    }

    /// Adds the moves of one layer up to where their gain exceeds their cost most.
    fn decide_layer(
        &self,
        map: &ExpertMap,
        layer: u16,
        recent: &LoadTable,
        memory: &LoadTable,
        decision: &mut PlacementDecision,
    ) {
        let index = usize::from(layer);
        let base = LayerPlacement::of_map(map, index);
        let (recent, memory) = (recent.layer(index), memory.layer(index));
        let before = (base.slowest(recent), base.slowest(memory));
        let mut tried = base.clone();
        let mut best = (0.0, 0.0, 0.0, None);
        for _ in 0..MAX_LAYER_MOVES {
            let Some(step) = tried.best_move(memory) else {
                break;
            };
            tried.apply(&step);
            let saved = (before.0 - tried.slowest(recent)).min(before.1 - tried.slowest(memory));
            let gain = self.worth(saved, map);
            let cost = base.loads_to(&tried, layer).len() as f64 * self.settings.load_seconds();
            if gain - cost > best.0 {
                best = (gain - cost, gain, cost, Some(tried.clone()));
            }
        }
        if let (_, gain, cost, Some(next)) = best {
            decision.gain_seconds += gain;
            decision.cost_seconds += cost;
            decision.loads.extend(base.loads_to(&next, layer));
        }
    }

    /// Weighted step time that a lighter slowest rank of one layer saves over the horizon.
    ///
    /// Loads of a layer sum to 1, so an even rank has one part in the number of ranks.
    fn worth(&self, saved: f64, map: &ExpertMap) -> f64 {
        let shape = map.shape();
        let skew = saved * f64::from(shape.ranks) / f64::from(shape.layers);
        skew * self.settings.horizon.as_secs_f64() * self.settings.skew_weight
    }
}
