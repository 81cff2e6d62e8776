//! Measures the fraction of the demand that each prefix group makes up.

use std::{collections::HashMap, hash::BuildHasherDefault};

use celerycrank_types::{TimePoint, TimeSpan};

use crate::{holder::BlockHasher, prefix::BlockHash};

/// Number of prefix groups above which rarely used ones are dropped.
const MAX_PREFIX_GROUPS: usize = 4_096;

/// Increment above which all counts are scaled down.
const RESCALE_AT: f64 = 1e9;

/// Exponentially decaying request counts of each prefix group.
///
/// Instead of reducing all counts, the increment grows over time.
#[derive(Debug, Clone)]
pub(crate) struct DemandMeter {
    half_life: TimeSpan,
    origin: TimePoint,
    counts: HashMap<BlockHash, f64, BuildHasherDefault<BlockHasher>>,
    /// Invariant: not below the sum of `counts`.
    total: f64,
}

impl DemandMeter {
    pub(crate) fn new(half_life: TimeSpan) -> Self {
        Self {
            half_life,
            origin: TimePoint::default(),
            counts: HashMap::default(),
            total: 0.0,
        }
    }

    /// Counts one request.
    pub(crate) fn record(&mut self, now: TimePoint, group: BlockHash) {
        let age = now.since(self.origin).as_secs_f64() / self.half_life.as_secs_f64();
        let mut increment = age.exp2();
        if increment > RESCALE_AT || self.counts.len() > MAX_PREFIX_GROUPS {
            self.rescale(increment);
            self.origin = now;
            increment = 1.0;
        }
        *self.counts.entry(group).or_default() += increment;
        self.total += increment;
    }

    /// Returns the fraction of the demand that a prefix group makes up.
    pub(crate) fn fraction(&self, group: BlockHash) -> f64 {
        match self.counts.get(&group) {
            Some(count) => count / self.total,
            None => 0.0,
        }
    }

    /// Scales the counts so that the increment is one again. If there are too many groups, those
    /// with a negligible count are dropped.
    fn rescale(&mut self, increment: f64) {
        let threshold = self.total / MAX_PREFIX_GROUPS as f64;
        let has_too_many = self.counts.len() > MAX_PREFIX_GROUPS;
        self.counts.retain(|_, count| {
            let kept = !has_too_many || *count > threshold;
            *count /= increment;
            kept
        });
        self.total = self.counts.values().sum();
    }
}
