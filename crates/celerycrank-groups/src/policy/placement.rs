//! Decides which experts to move, and when the gain exceeds the cost.

use celerycrank_types::TimePoint;
use smallvec::SmallVec;

use super::layer::LayerPlacement;
use crate::{ExpertMap, LoadEstimator, LoadTable, PlacementSettings, WeightCopy};

/// The largest number of moves in one layer per decision.
const MAX_LAYER_MOVES: usize = 12;

/// The moves of a decision, with their expected gain and cost.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct PlacementDecision {
    /// The weight copies to make; empty if no move is worth its cost.
    pub weight_copies: Vec<WeightCopy>,
    /// The weighted step time saved over the horizon, in seconds.
    pub gain_seconds: f64,
    /// The time of loading and of the switch, in seconds.
    pub cost_seconds: f64,
}

/// Decides which experts to move, given loads that lag and have gaps.
///
/// The gain of a move is the smallest one over all estimates: the recent one, the long-term
/// one and, if gains must be confirmed, the recent one at the previous decision. A burst
/// shorter than the interval therefore moves nothing.
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
    /// Creates a policy without observations.
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

    /// Records the loads of an interval that ended at `at`.
    pub fn observe(&mut self, at: TimePoint, observed: &LoadTable) {
        self.recent.observe(at, observed);
        self.memory.observe(at, observed);
    }

    /// Decides what to move now; nothing before the interval since the last decision has
    /// passed.
    pub fn decide(&mut self, now: TimePoint, map: &ExpertMap) -> PlacementDecision {
        if now < self.next_at {
            return PlacementDecision::default();
        }
        let decision = self.choose_moves(map);
        self.previous = self.recent.estimate().cloned();
        self.next_at = now + self.settings.interval;
        decision
    }

    fn choose_moves(&self, map: &ExpertMap) -> PlacementDecision {
        let Some(estimates) = self.estimates() else {
            return PlacementDecision::default();
        };
        let mut decision = PlacementDecision {
            cost_seconds: self.settings.switch_stall.as_secs_f64(),
            ..PlacementDecision::default()
        };
        for layer in 0..map.shape().layers {
            self.choose_layer_moves(map, layer, &estimates, &mut decision);
        }
        if decision.gain_seconds <= decision.cost_seconds {
            return PlacementDecision::default();
        }
        decision
    }

    /// The estimates in which a gain must show, the one with the longest half-life first.
    fn estimates(&self) -> Option<SmallVec<[&LoadTable; 3]>> {
        let mut estimates = SmallVec::new();
        estimates.push(self.memory.estimate()?);
        estimates.push(self.recent.estimate()?);
        if self.settings.confirmed {
            estimates.push(self.previous.as_ref()?);
        }
        Some(estimates)
    }

    /// Adds the moves of one layer up to the point where gain minus cost is greatest.
    fn choose_layer_moves(
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
        let before = estimates.iter().map(|loads| base.max_rank_load(loads));
        let before = before.collect::<SmallVec<[f64; 3]>>();
        let mut candidate = base.clone();
        let mut best = (0.0, 0.0, 0.0, None);
        for _ in 0..MAX_LAYER_MOVES {
            let Some(layer_move) = candidate.best_move(estimates[0]) else {
                break;
            };
            candidate.apply(&layer_move);
            let savings = estimates.iter().zip(&before);
            let savings = savings.map(|(loads, before)| before - candidate.max_rank_load(loads));
            let gain = self.saved_seconds(savings.fold(f64::MAX, f64::min), map);
            let cost = base.weight_copies_to(&candidate, layer).len() as f64
                * self.settings.load_seconds();
            if gain - cost > best.0 {
                best = (gain - cost, gain, cost, Some(candidate.clone()));
            }
        }
        if let (_, gain, cost, Some(next)) = best {
            decision.gain_seconds += gain;
            decision.cost_seconds += cost;
            decision
                .weight_copies
                .extend(base.weight_copies_to(&next, layer));
        }
    }

    /// The weighted step time saved over the horizon if the load of a layer's slowest rank
    /// drops by `saved`.
    ///
    /// Loads of a layer sum to 1, so a rank has a load of 1 / `ranks` in a balanced layer.
    fn saved_seconds(&self, saved: f64, map: &ExpertMap) -> f64 {
        let shape = map.shape();
        let skew = saved * f64::from(shape.ranks) / f64::from(shape.layers);
        skew * self.settings.horizon.as_secs_f64() * self.settings.skew_weight
    }
}
