//! Settings of the placement policy, and a preset for each site.

use celerycrank_types::{ByteSize, TimeSpan};
use serde::{Deserialize, Serialize};

/// The valid skew weights.
const WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1_000.0;

const SECONDS_PER_MINUTE: u64 = 60;

/// An error in the settings of the placement policy.
#[derive(Debug, Clone, PartialEq, displaydoc::Display)]
pub enum PlacementError {
    /// `skew_weight`: must be from 0.001 to 1000, not {0}
    Weight(f64),
    /// `{0}`: must be above 0
    Zero(&'static str),
    /// `memory`: must be at least as long as recent
    Memory,
}

impl std::error::Error for PlacementError {}

/// The weight of skew relative to the cost of rebalancing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPreset {
    /// Weighs skew more.
    AuctionHouse,
    /// Weighs the cost of rebalancing more.
    CoOp,
}

/// Settings of the placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// The seconds of loading that one second of saved step time justifies.
    pub skew_weight: f64,
    /// The time for which a new map is expected to be in use.
    pub horizon: TimeSpan,
    /// The time between two decisions.
    pub interval: TimeSpan,
    /// Whether a gain must also show in the recent estimate of the previous decision.
    pub confirmed: bool,
    /// The half-life of the recent estimate.
    pub recent: TimeSpan,
    /// The half-life of the long-term estimate; a gain must show in both estimates.
    pub memory: TimeSpan,
    /// The size of the weights of one expert of one layer.
    pub expert_size: ByteSize,
    /// The bytes per second that the weight store delivers to the group.
    pub store_rate: ByteSize,
    /// The time that a switch stalls the group, not counting the loading.
    pub switch_stall: TimeSpan,
}

impl PlacementSettings {
    /// The settings of a preset.
    #[must_use]
    pub fn preset(preset: PlacementPreset) -> Self {
        let (skew_weight, interval, recent, memory, confirmed): (f64, u64, u64, u64, bool) =
            match preset {
                PlacementPreset::AuctionHouse => (2.0, 5, 2, 10, false),
                PlacementPreset::CoOp => (0.15, 15, 1, 60, true),
            };
        let minutes = |count| TimeSpan::from_secs(SECONDS_PER_MINUTE * count);
        Self::builder()
            .skew_weight(skew_weight)
            .horizon(minutes(30))
            .interval(minutes(interval))
            .confirmed(confirmed)
            .recent(minutes(recent))
            .memory(minutes(memory))
            .expert_size(ByteSize(24 << 20))
            .store_rate(ByteSize(400 << 20))
            .switch_stall(TimeSpan::from_millis(30))
            .build()
    }

    /// Every error in the settings.
    #[must_use]
    pub fn errors(&self) -> Vec<PlacementError> {
        let mut errors = Vec::new();
        if !WEIGHT_RANGE.contains(&self.skew_weight) {
            errors.push(PlacementError::Weight(self.skew_weight));
        }
        let values = [
            ("horizon", self.horizon.0),
            ("interval", self.interval.0),
            ("recent", self.recent.0),
            ("memory", self.memory.0),
            ("expert_size", self.expert_size.0),
            ("store_rate", self.store_rate.0),
        ];
        let zeros = values.iter().filter(|(_, value)| *value == 0);
        errors.extend(zeros.map(|(name, _)| PlacementError::Zero(name)));
        if self.memory < self.recent {
            errors.push(PlacementError::Memory);
        }
        errors
    }

    /// The time in which the weight store delivers one expert.
    #[must_use]
    pub fn load_seconds(&self) -> f64 {
        self.expert_size.0 as f64 / self.store_rate.0 as f64
    }
}
