//! How the maps of a group travel between its agents: as differences from maps that they hold.

use std::sync::Arc;

use celerycrank_types::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::{ExpertMap, MapDelta, MapVersion, MemberIndex, MemberSet, RankAttemptId, RankMessage};

/// The time for which ranks that cannot derive a map are collected, so that one message that is
/// relayed serves all of them: after a restart of all agents, no rank can.
const COLLECT_TIME: TimeSpan = TimeSpan::from_millis(30);

/// The number of maps that are kept: the active map, the one being prepared, and the one that
/// invalidates it.
const KEPT_MAPS: usize = 3;

/// The part of an agent that turns whole maps into differences before they are sent, and back.
#[derive(Debug, Default, Clone)]
pub(crate) struct MapExchange {
    received: MapCache,
    /// The leader's last message that carried a map, for ranks that cannot derive it.
    last_sent: Option<RankMessage>,
    /// The ranks that could not derive that map.
    unknown_base: UnknownBaseRanks,
}

impl MapExchange {
    /// Adds a whole map to those from which others can be derived.
    pub(crate) fn insert(&mut self, map: &Arc<ExpertMap>, active: MapVersion) {
        self.received.insert(map, active);
    }

    /// Derives the map that a delta describes, or returns `None` if its base is not known.
    pub(crate) fn derive(&self, delta: &MapDelta) -> Option<Arc<ExpertMap>> {
        self.received.derive(delta)
    }

    /// Returns the form in which a message of the leader is sent to other ranks: a map that it
    /// carries is replaced by its difference from the active map.
    pub(crate) fn outgoing(
        &mut self,
        message: &RankMessage,
        active: Option<&Arc<ExpertMap>>,
    ) -> RankMessage {
        let Some(map) = message.map() else {
            return message.clone();
        };
        let delta = active.and_then(|active| MapDelta::between(active, map));
        let delta = delta.or_else(|| MapDelta::from_initial(map));
        self.last_sent = Some(message.clone());
        message.clone().with_delta(delta)
    }

    /// Records that a rank cannot derive the map of an attempt.
    pub(crate) fn note_unknown_base(
        &mut self,
        rank: MemberIndex,
        attempt: RankAttemptId,
        now: TimePoint,
    ) {
        self.unknown_base.insert(rank, attempt, now);
    }

    /// Returns the last map as its difference from the initial map, and the ranks that need it.
    pub(crate) fn take_due(&mut self, now: TimePoint) -> Option<(MemberSet, RankMessage)> {
        let (ranks, attempt) = self.unknown_base.take_due(now)?;
        let last = self.last_sent.as_ref();
        let message = last.filter(|message| message.leader_attempt() == Some(attempt))?;
        let delta = MapDelta::from_initial(message.map()?);
        Some((ranks, message.clone().with_delta(delta)))
    }
}

/// The maps that an agent has received recently.
#[derive(Debug, Default, Clone)]
struct MapCache {
    /// Oldest first.
    maps: SmallVec<[Arc<ExpertMap>; KEPT_MAPS]>,
}

impl MapCache {
    /// Adds a map; the oldest one that is not active is discarded if there are too many.
    fn insert(&mut self, map: &Arc<ExpertMap>, active: MapVersion) {
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
    fn derive(&self, delta: &MapDelta) -> Option<Arc<ExpertMap>> {
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
struct UnknownBaseRanks {
    ranks: MemberSet,
    attempt: RankAttemptId,
    /// When the map is sent to them.
    ///
    /// Invariant: present if and only if there are ranks.
    due_at: Option<TimePoint>,
}

impl UnknownBaseRanks {
    /// Adds a rank; ranks of an earlier attempt are discarded.
    fn insert(&mut self, rank: MemberIndex, attempt: RankAttemptId, now: TimePoint) {
        if self.attempt != attempt {
            *self = Self::default();
            self.attempt = attempt;
        }
        self.ranks.insert(rank);
        self.due_at.get_or_insert(now + COLLECT_TIME);
    }

    /// Removes and returns the ranks with their attempt, once they have been collected.
    fn take_due(&mut self, now: TimePoint) -> Option<(MemberSet, RankAttemptId)> {
        self.due_at.take_if(|due_at| now >= *due_at)?;
        Some((std::mem::take(&mut self.ranks), self.attempt))
    }
}
