//! The maps that an agent can derive further maps from.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::{ExpertMap, MapDelta, MapVersion};

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
