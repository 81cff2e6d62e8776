//! How much of the demand each kind of prompt makes up.

use std::{collections::HashMap, hash::BuildHasherDefault};

use celerycrank_types::{TimePoint, TimeSpan};

use crate::{hint::BlockHasher, prefix::BlockHash};

/// Most kinds of prompt that are counted apart.
const MAX_GROUPS: usize = 4_096;

/// Growth of an increment after which all counts are scaled down.
const RESCALE_AT: f64 = 1e9;

/// Counts, which fade, of the requests of each kind of prompt.
///
/// An increment grows with time in place of every count shrinking.
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
        if increment > RESCALE_AT || self.counts.len() > MAX_GROUPS {
            self.rescale(increment);
            self.origin = now;
            increment = 1.0;
        }
        *self.counts.entry(group).or_default() += increment;
        self.total += increment;
    }

    /// Part of the demand that a kind of prompt makes up.
    pub(crate) fn fraction(&self, group: BlockHash) -> f64 {
        match self.counts.get(&group) {
            Some(count) => count / self.total,
            None => 0.0,
        }
    }

    /// Scales to an increment of one and drops the kinds that hardly count.
    fn rescale(&mut self, increment: f64) {
        let threshold = self.total / MAX_GROUPS as f64;
        let crowded = self.counts.len() > MAX_GROUPS;
        self.counts.retain(|_, count| {
            let kept = !crowded || *count > threshold;
            *count /= increment;
            kept
        });
        self.total = self.counts.values().sum();
    }
}
