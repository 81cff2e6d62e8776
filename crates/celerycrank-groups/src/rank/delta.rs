//! Expert maps as the agents of a group send them to each other.

use serde::{Deserialize, Serialize};

use crate::{ExpertIndex, ExpertMap, MapId, MapShape, MapVersion, WeightCopy};

/// A map, given by the weight copies that derive it from a map that the receiver holds.
///
/// A map of a large group takes many kilobytes, and its leader sends it to every rank over one
/// link; the weight copies of one change take a fraction of that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    /// The map to which the weight copies apply.
    pub base: MapId,
    /// The dimensions of both maps.
    pub shape: MapShape,
    /// The version of the resulting map.
    pub version: MapVersion,
    /// The weight copies.
    #[serde(with = "packed")]
    pub copies: Vec<WeightCopy>,
}

impl MapDelta {
    /// Describes `map` by its difference from `base`; returns `None` if weight copies cannot
    /// turn one into the other.
    #[must_use]
    pub fn between(base: &ExpertMap, map: &ExpertMap) -> Option<Self> {
        Some(Self {
            base: base.id(),
            shape: map.shape(),
            version: map.version(),
            copies: base.weight_copies_to(map)?,
        })
    }

    /// Describes `map` by its difference from the initial map, which every rank can compute.
    #[must_use]
    pub fn from_initial(map: &ExpertMap) -> Option<Self> {
        let shape = map.shape().check().ok()?;
        Self::between(&ExpertMap::round_robin(shape), map)
    }

    /// Derives the map from `base`, or returns `None` if the base is a different one or the
    /// weight copies do not fit it.
    #[must_use]
    pub fn apply(&self, base: &ExpertMap) -> Option<ExpertMap> {
        if base.shape() != self.shape || base.id() != self.base {
            return None;
        }
        let map = base.checked_successor(&self.copies)?;
        Some(map.with_version(self.version))
    }
}

/// The wire form of weight copies: in order of layers and slots, it takes two to three bytes each.
mod packed {
    use serde::{Deserializer, Serializer};

    use super::{Deserialize, ExpertIndex, Serialize, WeightCopy};

    /// Consecutive weight copies of one layer.
    #[derive(Serialize, Deserialize)]
    struct LayerCopies {
        layer: u16,
        /// By weight copy, the distance of its slot from the one before, and its expert.
        copies: Vec<(u16, u16)>,
    }

    pub(super) fn serialize<S: Serializer>(
        copies: &[WeightCopy],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let layers = copies.chunk_by(|a, b| a.layer == b.layer);
        let layers = layers.map(|copies| {
            let mut previous = 0;
            let packed = copies.iter().map(|copy| {
                let distance = copy.slot.wrapping_sub(previous);
                previous = copy.slot;
                (distance, copy.expert.0)
            });
            LayerCopies {
                layer: copies[0].layer,
                copies: packed.collect(),
            }
        });
        layers.collect::<Vec<_>>().serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<WeightCopy>, D::Error> {
        let layers = Vec::<LayerCopies>::deserialize(deserializer)?;
        let copies = layers.iter().flat_map(|layer| {
            let mut slot = 0_u16;
            layer.copies.iter().map(move |(distance, expert)| {
                slot = slot.wrapping_add(*distance);
                WeightCopy {
                    layer: layer.layer,
                    slot,
                    expert: ExpertIndex(*expert),
                }
            })
        });
        Ok(copies.collect())
    }
}
