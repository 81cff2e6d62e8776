//! The maps that an agent can derive further maps from.

use std::sync::Arc;

use celerycrank_types::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::{ExpertMap, MapDelta, MapVersion, MemberIndex, MemberSet, RankAttemptId};

/// The time for which ranks that cannot derive a map are collected, so that one message that is
/// relayed serves all of them: after a restart of all agents, no rank can.
const COLLECT_TIME: TimeSpan = TimeSpan::from_millis(30);

/// The number of maps that are kept: the active map, the one being prepared, and the one that
/// invalidates it.
const KEPT_MAPS: usize = 3;

/// The maps that an agent has received recently.
#[derive(Debug, Default, Clone)]
pub(crate) struct MapCache {
    /// Oldest first.
    maps: SmallVec<[Arc<ExpertMap>; KEPT_MAPS]>,
}

impl MapCache {
    /// Discards all maps.
    pub(crate) fn clear(&mut self) {
        self.maps.clear();
    }

    /// Adds a map; the oldest one that is not active is discarded if there are too many.
    pub(crate) fn insert(&mut self, map: &Arc<ExpertMap>, active: MapVersion) {
        if self.maps.iter().any(|known| known == map) {
            return;
        }
        if self.maps.len() == KEPT_MAPS {
            let is_obsolete = |known: &Arc<ExpertMap>| known.version() != active;
            let obsolete = self.maps.iter().position(is_obsolete);
            self.maps.remove(obsolete.unwrap_or_default());
        }
        self.maps.push(Arc::clone(map));
    }

    /// Derives the map that a delta describes, or returns `None` if its base is not known.
    pub(crate) fn derive(&self, delta: &MapDelta) -> Option<Arc<ExpertMap>> {
        if delta.base.version == MapVersion(0) {
            let shape = delta.shape.check().ok()?;
            return delta.apply(&ExpertMap::round_robin(shape)).map(Arc::new);
        }
        let mut maps = self.maps.iter();
        let base = maps.find(|known| known.version() == delta.base.version)?;
        delta.apply(base).map(Arc::new)
    }
}

/// The ranks that could not derive the map of the leader's current attempt.
#[derive(Debug, Default, Clone)]
pub(crate) struct UnknownBaseRanks {
    ranks: MemberSet,
    attempt: RankAttemptId,
    /// When the map is sent to them.
    ///
    /// Invariant: present if and only if there are ranks.
    due_at: Option<TimePoint>,
}

impl UnknownBaseRanks {
    /// Adds a rank; ranks of an earlier attempt are discarded.
    pub(crate) fn insert(&mut self, rank: MemberIndex, attempt: RankAttemptId, now: TimePoint) {
        if self.attempt != attempt {
            *self = Self::default();
            self.attempt = attempt;
        }
        self.ranks.insert(rank);
        self.due_at.get_or_insert(now + COLLECT_TIME);
    }

    /// Removes and returns the ranks with their attempt, once they have been collected.
    pub(crate) fn take_due(&mut self, now: TimePoint) -> Option<(MemberSet, RankAttemptId)> {
        self.due_at.take_if(|due_at| now >= *due_at)?;
        Some((std::mem::take(&mut self.ranks), self.attempt))
    }
}
