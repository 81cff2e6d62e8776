//! Replay of a trace with one strategy for updating the expert map.

use celerycrank_groups::{
    ExpertMap, LoadTable, PlacementPolicy, PlacementPreset, PlacementSettings, WeightCopy,
    full_repack,
};
use celerycrank_types::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::trace::LoadTrace;

const MINUTE: TimeSpan = TimeSpan::from_secs(60);
/// Delay of observed loads, in minutes.
const LAG_MINUTES: usize = 1;
/// Fraction of observations that are missing.
const MISSING_FRACTION: f64 = 0.1;
/// Interval of the periodic full repacks, in minutes.
const REPACK_MINUTES: usize = 30;
/// Observed skew above which the greedy strategy repacks.
const GREEDY_SKEW_THRESHOLD: f64 = 1.3;
/// Minutes of observations that a full repack is based on.
const REPACK_WINDOW_MINUTES: usize = 10;

/// Strategy for updating the expert map.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum MapStrategy {
    /// Never changes the initial map.
    Static,
    /// A full repack at fixed intervals.
    Periodic,
    /// A full repack whenever the observed skew exceeds a threshold.
    Greedy,
    /// The placement policy with the settings of a preset.
    Preset(PlacementPreset),
    /// The placement policy with a preset's settings and another skew weight.
    Weight(PlacementPreset, f64),
    /// A full repack at fixed intervals, based on the expected future loads.
    Oracle,
}

impl MapStrategy {
    /// Returns the name shown in tables.
    pub(crate) fn name(self) -> String {
        match self {
            Self::Static => "static".into(),
            Self::Periodic => "periodic full repack".into(),
            Self::Greedy => "greedy on threshold".into(),
            Self::Preset(PlacementPreset::AuctionHouse) => "preset auction-house".into(),
            Self::Preset(PlacementPreset::CoOp) => "preset co-op".into(),
            Self::Weight(PlacementPreset::AuctionHouse, weight) => {
                format!("auction-house at weight {weight}")
            }
            Self::Weight(PlacementPreset::CoOp, weight) => format!("co-op at weight {weight}"),
            Self::Oracle => "oracle".into(),
        }
    }
}

/// Skew and cost of a strategy on one trace.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReplayReport {
    pub(crate) mean_skew: f64,
    pub(crate) p99_skew: f64,
    pub(crate) bytes: u64,
    pub(crate) switches: u64,
}

/// Replays a trace, starting with a map packed for the first expected loads of the trace.
pub(crate) fn replay(trace: &LoadTrace, strategy: MapStrategy, seed: u64) -> ReplayReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let initial = ExpertMap::round_robin(trace.shape);
    let mut map = initial.successor(&full_repack(&initial, &trace.expected[0]));
    let mut runner = StrategyRunner::new(strategy);
    let mut report = ReplayReport::default();
    let mut skews = Vec::new();
    for minute in 0..trace.actual.len() {
        if minute >= LAG_MINUTES && !rng.random_bool(MISSING_FRACTION) {
            let observed_minute = minute - LAG_MINUTES;
            runner.observe(observed_minute, &trace.actual[observed_minute]);
        }
        let loads = runner.decide(minute, &map, trace);
        if !loads.is_empty() {
            report.switches += 1;
            report.bytes += loads.len() as u64 * runner.settings.expert_size.0;
            map = map.successor(&loads);
            assert!(map.is_complete(), "the map must hold every expert");
        }
        skews.push(trace.actual[minute].step_skew(&map));
    }
    report.mean_skew = skews.iter().sum::<f64>() / skews.len() as f64;
    skews.sort_by(f64::total_cmp);
    report.p99_skew = skews[skews.len() * 99 / 100];
    report
}

/// Observes loads and decides on map changes for one strategy.
struct StrategyRunner {
    strategy: MapStrategy,
    settings: PlacementSettings,
    policy: PlacementPolicy,
    window: Vec<LoadTable>,
}

impl StrategyRunner {
    fn new(strategy: MapStrategy) -> Self {
        let mut settings = PlacementSettings::preset(PlacementPreset::AuctionHouse);
        match strategy {
            MapStrategy::Preset(preset) => settings = PlacementSettings::preset(preset),
            MapStrategy::Weight(preset, weight) => {
                settings = PlacementSettings::preset(preset);
                settings.skew_weight = weight;
            }
            _ => {}
        }
        assert!(settings.errors().is_empty(), "presets are valid settings");
        Self {
            strategy,
            settings,
            policy: PlacementPolicy::new(settings),
            window: Vec::new(),
        }
    }

    fn observe(&mut self, minute: usize, observed: &LoadTable) {
        self.policy.observe(minute_time(minute + 1), observed);
        if self.window.len() == REPACK_WINDOW_MINUTES {
            self.window.remove(0);
        }
        self.window.push(observed.clone());
    }

    fn decide(&mut self, minute: usize, map: &ExpertMap, trace: &LoadTrace) -> Vec<WeightCopy> {
        let is_repack_due = minute > 0 && minute.is_multiple_of(REPACK_MINUTES);
        match self.strategy {
            MapStrategy::Periodic if is_repack_due => {
                full_repack(map, &sum_loads(trace, &self.window))
            }
            MapStrategy::Greedy if !self.window.is_empty() => {
                let observed = sum_loads(trace, &self.window);
                let is_skewed = observed.step_skew(map) > GREEDY_SKEW_THRESHOLD;
                if is_skewed {
                    full_repack(map, &observed)
                } else {
                    Vec::new()
                }
            }
            MapStrategy::Oracle if is_repack_due => {
                let end = (minute + REPACK_MINUTES).min(trace.expected.len());
                full_repack(map, &sum_loads(trace, &trace.expected[minute..end]))
            }
            MapStrategy::Preset(_) | MapStrategy::Weight(..) => {
                self.policy
                    .decide(minute_time(minute + 1), map)
                    .weight_copies
            }
            _ => Vec::new(),
        }
    }
}

fn minute_time(minute: usize) -> TimePoint {
    TimePoint(MINUTE.0 * minute as u64)
}

fn sum_loads(trace: &LoadTrace, tables: &[LoadTable]) -> LoadTable {
    let mut total = LoadTable::new(trace.shape);
    for layer in 0..usize::from(trace.shape.layers) {
        for table in tables {
            let loads = table.layer(layer);
            for (load, observed) in total.layer_mut(layer).iter_mut().zip(loads) {
                *load += observed;
            }
        }
    }
    total
}
