//! The key-value record that holds the planned stops.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::StopTarget;

/// All announced stops.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopsRecord {
    /// Incremented with each write of the record, so that a larger value is newer.
    pub revision: u64,
    /// Invariant: at most one stop per target.
    pub stops: Vec<PlannedStop>,
}

/// One announced stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// What stops.
    pub target: StopTarget,
    /// When it stops taking new work, as Unix time in seconds.
    pub at: u64,
    /// The reason given by the author.
    pub reason: Arc<str>,
    /// Who announced it.
    pub author: Arc<str>,
}

impl StopsRecord {
    /// The key of the record under a deployment's key prefix.
    #[must_use]
    pub fn key(prefix: &str) -> String {
        format!("{}/stops", prefix.trim_end_matches('/'))
    }

    /// Announces a stop, replacing an earlier one of the same target.
    pub fn announce(&mut self, stop: PlannedStop) {
        self.withdraw(&stop.target);
        self.stops.push(stop);
    }

    /// Withdraws the stop of a target; returns whether there was one.
    pub fn withdraw(&mut self, target: &StopTarget) -> bool {
        let before = self.stops.len();
        self.stops.retain(|stop| stop.target != *target);
        self.stops.len() < before
    }

    /// The targets whose stop has begun by `now`, a Unix time in seconds.
    #[must_use]
    pub fn active_targets(&self, now: u64) -> Vec<StopTarget> {
        let begun = self.stops.iter().filter(|stop| stop.at <= now);
        begun.map(|stop| stop.target.clone()).collect()
    }
}
