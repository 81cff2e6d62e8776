//! Decides what to move and when it is worth it.

use celerycrank_types::TimePoint;
use smallvec::SmallVec;

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
/// A gain counts only as far as it shows in every estimate: the recent one, the longer one
/// and, where gains are to be confirmed, the recent one of the previous decision. So a burst
/// shorter than the interval moves nothing.
#[derive(Debug, Clone)]
pub struct PlacementPolicy {
    settings: PlacementSettings,
    recent: LoadEstimator,
    memory: LoadEstimator,
    /// The recent estimate at the previous decision.
    previous: Option<LoadTable>,
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
            previous: None,
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
        let decision = self.choose(map);
        self.previous = self.recent.estimate().cloned();
        self.next_at = now + self.settings.interval;
        decision
    }

    fn choose(&self, map: &ExpertMap) -> PlacementDecision {
        let Some(estimates) = self.estimates() else {
            return PlacementDecision::default();
        };
        let mut decision = PlacementDecision {
            cost_seconds: self.settings.switch_stall.as_secs_f64(),
            ..PlacementDecision::default()
        };
        for layer in 0..map.shape().layers {
            self.decide_layer(map, layer, &estimates, &mut decision);
        }
        if decision.gain_seconds <= decision.cost_seconds {
            return PlacementDecision::default();
        }
        decision
    }

    /// The estimates in which a gain must show, the longest memory first.
    fn estimates(&self) -> Option<SmallVec<[&LoadTable; 3]>> {
        let mut estimates = SmallVec::new();
        estimates.push(self.memory.estimate()?);
        estimates.push(self.recent.estimate()?);
        if self.settings.confirmed {
            estimates.push(self.previous.as_ref()?);
        }
        Some(estimates)
    }

    /// Adds the moves of one layer up to where their gain exceeds their cost most.
    fn decide_layer(
        &self,
        map: &ExpertMap,
        layer: u16,
        estimates: &[&LoadTable],
        decision: &mut PlacementDecision,
    ) {
        let index = usize::from(layer);
        let base = LayerPlacement::of_map(map, index);
        let estimates = estimates.iter().map(|table| table.layer(index));
        let estimates = estimates.collect::<SmallVec<[&[f64]; 3]>>();
        let before = estimates.iter().map(|loads| base.slowest(loads));
        let before = before.collect::<SmallVec<[f64; 3]>>();
        let mut tried = base.clone();
        let mut best = (0.0, 0.0, 0.0, None);
        for _ in 0..MAX_LAYER_MOVES {
            let Some(step) = tried.best_move(estimates[0]) else {
                break;
            };
            tried.apply(&step);
            let savings = estimates.iter().zip(&before);
            let savings = savings.map(|(loads, before)| before - tried.slowest(loads));
            let gain = self.worth(savings.fold(f64::MAX, f64::min), map);
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
