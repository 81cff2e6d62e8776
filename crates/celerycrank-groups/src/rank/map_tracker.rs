//! The leader's knowledge of the active map.

use std::sync::Arc;

use crate::{ExpertMap, MapShape, MapVersion, MemberIndex, MemberSet, RankExpertLists};

/// The active map, or the parts of it that are known so far.
///
/// A leader that has just started knows only the version; the other agents report which
/// experts their ranks hold.
#[derive(Debug, Default, Clone)]
pub(crate) struct MapTracker {
    map: Option<Arc<ExpertMap>>,
    /// The lists of the ranks, while the map is not known.
    lists: Vec<Option<RankExpertLists>>,
}

impl MapTracker {
    /// Discards everything, for a group of the given size.
    pub(crate) fn reset(&mut self, size: usize) {
        self.map = None;
        self.lists = vec![None; size];
    }

    /// The active map, if it is known.
    pub(crate) const fn map(&self) -> Option<&Arc<ExpertMap>> {
        self.map.as_ref()
    }

    /// The ranks whose lists for the active map are not known.
    pub(crate) fn ranks_without_lists(&self, active: MapVersion) -> MemberSet {
        let mut ranks = MemberSet::default();
        for (rank, lists) in (0..).zip(&self.lists) {
            if lists.as_ref().is_none_or(|lists| lists.version != active) {
                ranks.insert(MemberIndex(rank));
            }
        }
        ranks
    }

    /// Records the lists of a rank.
    pub(crate) fn record_lists(&mut self, from: MemberIndex, lists: &RankExpertLists) {
        if let Some(known) = self.lists.get_mut(usize::from(from.0)) {
            *known = Some(lists.clone());
        }
    }

    /// Records which version is active; `next` is the map of the current attempt.
    pub(crate) fn set_version(&mut self, version: MapVersion, next: Option<&Arc<ExpertMap>>) {
        let is_in_use = |map: &&Arc<ExpertMap>| map.version() == version;
        if self.map.as_ref().is_some_and(|map| is_in_use(&map)) {
            return;
        }
        let was_known = self.map.is_some();
        self.map = next.filter(is_in_use).map(Arc::clone);
        if was_known && self.map.is_none() {
            self.lists.fill(None);
        }
    }

    /// Assembles the active map from the lists of all ranks, once all are known.
    pub(crate) fn assemble(&mut self, version: MapVersion, shape: MapShape) {
        if self.map.is_some() {
            return;
        }
        if version == MapVersion(0) {
            self.map = Some(Arc::new(ExpertMap::round_robin(shape)));
            return;
        }
        let ranks = self.lists.iter();
        let ranks = ranks.map(|lists| lists.as_ref().filter(|it| it.version == version));
        let Some(ranks) = ranks.collect::<Option<Vec<_>>>() else {
            return;
        };
        let layers = 0..usize::from(shape.layers);
        let lists = layers.map(|layer| {
            let experts = ranks.iter().map(|rank| rank.experts.get(layer).cloned());
            experts.collect::<Option<Vec<_>>>()
        });
        let lists = lists.collect::<Option<Vec<_>>>();
        self.map = lists
            .and_then(|lists| ExpertMap::from_lists(shape, version, &lists))
            .map(Arc::new);
    }
}
