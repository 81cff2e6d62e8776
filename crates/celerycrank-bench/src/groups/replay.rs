//! One placement policy on one trace.

use celerycrank_groups::{
    ExpertMap, LoadTable, PlacementPolicy, PlacementPreset, PlacementSettings, WeightCopy,
    full_repack,
};
use celerycrank_types::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::trace::LoadTrace;

const MINUTE: TimeSpan = TimeSpan::from_secs(60);
/// Minutes by which observed loads lag.
const LAG_MINUTES: usize = 1;
/// Part of the observations that are missing.
const GAP_PART: f64 = 0.1;
/// Minutes between two full repacks.
const REPACK_MINUTES: usize = 30;
/// Observed skew above which the greedy policy repacks.
const GREEDY_SKEW: f64 = 1.3;
/// Minutes of observations that a repack looks at.
const REPACK_WINDOW: usize = 10;

/// How the map is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Contender {
    /// The first map for good.
    Static,
    /// A full repack at fixed times.
    Periodic,
    /// A full repack when observed skew passes a threshold.
    Greedy,
    /// The placement policy with a preset.
    Preset(PlacementPreset),
    /// The placement policy with a preset but for the weight.
    Weight(PlacementPreset, f64),
    /// A full repack at fixed times for the loads to come.
    Oracle,
}

impl Contender {
    /// The name in tables.
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

/// What a contender cost and brought on one trace.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReplayReport {
    pub(crate) mean_skew: f64,
    pub(crate) p99_skew: f64,
    pub(crate) bytes: u64,
    pub(crate) switches: u64,
}

/// Replays a trace; every contender begins with a map packed for the trace's first loads.
pub(crate) fn replay(trace: &LoadTrace, contender: Contender, seed: u64) -> ReplayReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let round_robin = ExpertMap::round_robin(trace.shape);
    let mut map = round_robin.successor(&full_repack(&round_robin, &trace.expected[0]));
    let mut keeper = MapKeeper::new(contender);
    let mut report = ReplayReport::default();
    let mut skews = Vec::new();
    for minute in 0..trace.actual.len() {
        if minute >= LAG_MINUTES && !rng.random_bool(GAP_PART) {
            let shown = minute - LAG_MINUTES;
            keeper.observe(shown, &trace.actual[shown]);
        }
        let loads = keeper.decide(minute, &map, trace);
        if !loads.is_empty() {
            report.switches += 1;
            report.bytes += loads.len() as u64 * keeper.settings.expert_size.0;
            map = map.successor(&loads);
            assert!(map.is_complete(), "a map lost an expert");
        }
        skews.push(trace.actual[minute].step_skew(&map));
    }
    report.mean_skew = skews.iter().sum::<f64>() / skews.len() as f64;
    skews.sort_by(f64::total_cmp);
    report.p99_skew = skews[skews.len() * 99 / 100];
    report
}

/// Decides for one contender.
struct MapKeeper {
    contender: Contender,
    settings: PlacementSettings,
    policy: PlacementPolicy,
    window: Vec<LoadTable>,
}

impl MapKeeper {
    fn new(contender: Contender) -> Self {
        let mut settings = PlacementSettings::preset(PlacementPreset::AuctionHouse);
        match contender {
            Contender::Preset(preset) => settings = PlacementSettings::preset(preset),
            Contender::Weight(preset, weight) => {
                settings = PlacementSettings::preset(preset);
                settings.skew_weight = weight;
            }
            _ => {}
        }
        assert!(settings.errors().is_empty(), "presets are valid settings");
        Self {
            contender,
            settings,
            policy: PlacementPolicy::new(settings),
            window: Vec::new(),
        }
    }

    fn observe(&mut self, minute: usize, seen: &LoadTable) {
        self.policy.observe(time(minute + 1), seen);
        if self.window.len() == REPACK_WINDOW {
            self.window.remove(0);
        }
        self.window.push(seen.clone());
    }

    fn decide(&mut self, minute: usize, map: &ExpertMap, trace: &LoadTrace) -> Vec<WeightCopy> {
        let is_due = minute > 0 && minute.is_multiple_of(REPACK_MINUTES);
        match self.contender {
            Contender::Periodic if is_due => full_repack(map, &sum(trace, &self.window)),
            Contender::Greedy if !self.window.is_empty() => {
                let seen = sum(trace, &self.window);
                let is_skewed = seen.step_skew(map) > GREEDY_SKEW;
                if is_skewed {
                    full_repack(map, &seen)
                } else {
                    Vec::new()
                }
            }
            Contender::Oracle if is_due => {
                let end = (minute + REPACK_MINUTES).min(trace.expected.len());
                full_repack(map, &sum(trace, &trace.expected[minute..end]))
            }
            Contender::Preset(_) | Contender::Weight(..) => {
                self.policy.decide(time(minute + 1), map).weight_copies
            }
            _ => Vec::new(),
        }
    }
}

fn time(minute: usize) -> TimePoint {
    TimePoint(MINUTE.0 * minute as u64)
}

fn sum(trace: &LoadTrace, tables: &[LoadTable]) -> LoadTable {
    let mut total = LoadTable::new(trace.shape);
    for layer in 0..usize::from(trace.shape.layers) {
        for table in tables {
            let loads = table.layer(layer);
            for (load, seen) in total.layer_mut(layer).iter_mut().zip(loads) {
                *load += seen;
            }
        }
    }
    total
}
