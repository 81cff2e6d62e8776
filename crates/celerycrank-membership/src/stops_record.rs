//! The record of the key-value service that holds the planned stops.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::StopTarget;

/// Every announced stop.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopsRecord {
    /// Counts the writes of the record; larger is newer.
    pub revision: u64,
    /// Invariant: no target twice.
    pub stops: Vec<PlannedStop>,
}

/// One announced stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// What stops.
    pub target: StopTarget,
    /// From when it takes no new work, in seconds since 1970.
    pub at: u64,
    /// Why, in the author's words.
    pub reason: Arc<str>,
    /// Who announced it.
    pub author: Arc<str>,
}

impl StopsRecord {
    /// The key of the record under a deployment's prefix.
    #[must_use]
    pub fn key(prefix: &str) -> String {
        format!("{}/stops", prefix.trim_end_matches('/'))
    }

    /// Announces a stop, in place of an earlier one of the same target.
    pub fn announce(&mut self, stop: PlannedStop) {
        self.withdraw(&stop.target);
        self.stops.push(stop);
    }

    /// Withdraws the stop of a target and says whether there was one.
    pub fn withdraw(&mut self, target: &StopTarget) -> bool {
        let before = self.stops.len();
        self.stops.retain(|stop| stop.target != *target);
        self.stops.len() < before
    }

    /// The targets whose stop has begun by `now`, in seconds since 1970.
    #[must_use]
    pub fn active_targets(&self, now: u64) -> Vec<StopTarget> {
        let begun = self.stops.iter().filter(|stop| stop.at <= now);
        begun.map(|stop| stop.target.clone()).collect()
    }
}
