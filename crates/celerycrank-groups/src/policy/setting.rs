//! Settings of the placement policy, and a preset for each house.

use celerycrank_types::{ByteSize, TimeSpan};
use serde::{Deserialize, Serialize};

/// Bounds of the skew weight.
const WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1_000.0;

const SECONDS_PER_MINUTE: u64 = 60;

/// Why settings of the placement policy cannot be used.
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

/// How the policy weighs skew against the cost of rebalancing.
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
    /// Seconds of loading that one second of saved step time is worth.
    pub skew_weight: f64,
    /// How long a new map is expected to serve.
    pub horizon: TimeSpan,
    /// Time between two decisions.
    pub interval: TimeSpan,
    /// Whether a gain must have shown at the previous decision too.
    pub confirmed: bool,
    /// Half-life of the estimate in which a gain must show now.
    pub recent: TimeSpan,
    /// Half-life of the estimate in which a gain must have shown for some time.
    pub memory: TimeSpan,
    /// Weights of one expert of one layer.
    pub expert_size: ByteSize,
    /// Bytes in a second that the weight store gives the group.
    pub store_rate: ByteSize,
    /// Time that a switch costs the group apart from loading.
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

    /// Every fault of the settings.
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

    /// Time in which the weight store gives one expert.
    #[must_use]
    pub fn load_seconds(&self) -> f64 {
        self.expert_size.0 as f64 / self.store_rate.0 as f64
    }
}
