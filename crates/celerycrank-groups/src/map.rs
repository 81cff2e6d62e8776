//! Expert maps: which slot of which rank holds which expert.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{MapId, MapVersion};

/// The largest number of slots over all layers and ranks of a group's maps: a change of every slot
/// fits into one datagram between agents, with the addresses to which it is relayed.
const MAX_SLOTS: usize = 20_000;

/// Marks a slot that holds no expert.
const EMPTY_SLOT: u16 = u16::MAX;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// One expert of a layer.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ExpertIndex(pub u16);

impl fmt::Display for ExpertIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The dimensions of a group's maps.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    bon::Builder,
)]
#[serde(deny_unknown_fields)]
pub struct MapShape {
    /// Layers with experts.
    pub layers: u16,
    /// Experts in each layer.
    pub experts: u16,
    /// Ranks in the group.
    pub ranks: u16,
    /// Slots for experts of one layer in each rank.
    ///
    /// Invariant: `slots * ranks` is at least `experts`.
    pub slots: u16,
}

/// Why no map can have a shape.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ShapeError {
    /// a group has no layers, experts, ranks or slots
    Empty,
    /// {slots} slots for each layer are too few for {experts} experts
    TooFewSlots {
        /// The number of slots of a layer.
        slots: usize,
        /// The number of experts of a layer.
        experts: u16,
    },
    /// {slots} slots exceed the limit of {limit}
    TooLarge {
        /// The number of slots over all layers and ranks.
        slots: usize,
        /// The largest supported number.
        limit: usize,
    },
}

impl std::error::Error for ShapeError {}

impl MapShape {
    /// Checks that maps can have this shape.
    ///
    /// # Errors
    ///
    /// Fails if the experts do not fit into the slots, or if there are more slots than a map can
    /// have.
    pub fn check(self) -> Result<Self, ShapeError> {
        let slots = self.layer_slots();
        if slots == 0 || self.layers == 0 || self.experts == 0 {
            return Err(ShapeError::Empty);
        }
        if slots < usize::from(self.experts) {
            let experts = self.experts;
            return Err(ShapeError::TooFewSlots { slots, experts });
        }
        let slots = slots * usize::from(self.layers);
        if slots > MAX_SLOTS {
            let limit = MAX_SLOTS;
            return Err(ShapeError::TooLarge { slots, limit });
        }
        Ok(self)
    }

    /// Slots of one layer over all ranks.
    #[must_use]
    pub const fn layer_slots(self) -> usize {
        self.ranks as usize * self.slots as usize
    }
}

/// Which slot of which rank holds which expert, layer by layer.
///
/// Invariant: each layer holds every expert at least once, and no rank holds an expert of
/// one layer twice.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "UncheckedMap")]
pub struct ExpertMap {
    version: MapVersion,
    shape: MapShape,
    /// Slots by layer, then rank, then slot.
    cells: Vec<u16>,
}

/// A map as received, before its cells are checked against its shape.
#[derive(Deserialize)]
struct UncheckedMap {
    version: MapVersion,
    shape: MapShape,
    cells: Vec<u16>,
}

/// the map is not complete, or its cells do not fit its shape
#[derive(Debug, displaydoc::Display)]
struct MalformedMapError;

impl TryFrom<UncheckedMap> for ExpertMap {
    type Error = MalformedMapError;

    fn try_from(map: UncheckedMap) -> Result<Self, MalformedMapError> {
        let UncheckedMap {
            version,
            shape,
            cells,
        } = map;
        let slots = shape.layer_slots() * usize::from(shape.layers);
        let is_valid = |cell: &u16| *cell == EMPTY_SLOT || *cell < shape.experts;
        let is_well_formed = cells.len() == slots && cells.iter().all(is_valid);
        let map = Self {
            version,
            shape,
            cells,
        };
        if is_well_formed && map.is_complete() {
            Ok(map)
        } else {
            Err(MalformedMapError)
        }
    }
}

impl ExpertMap {
    /// Creates the initial map of a group: experts are assigned to ranks round robin, and
    /// spare slots stay empty.
    #[must_use]
    pub fn round_robin(shape: MapShape) -> Self {
        let mut cells = vec![EMPTY_SLOT; shape.layer_slots() * usize::from(shape.layers)];
        for layer in cells.chunks_mut(shape.layer_slots().max(1)) {
            for expert in 0..shape.experts {
                let rank = usize::from(expert % shape.ranks);
                let slot = usize::from(expert / shape.ranks);
                layer[rank * usize::from(shape.slots) + slot] = expert;
            }
        }
        Self {
            version: MapVersion::default(),
            shape,
            cells,
        }
    }

    /// The map's dimensions.
    #[must_use]
    pub const fn shape(&self) -> MapShape {
        self.shape
    }

    /// The map's version, without the digest of its content.
    #[must_use]
    pub const fn version(&self) -> MapVersion {
        self.version
    }

    /// The map's identifier.
    #[must_use]
    pub fn id(&self) -> MapId {
        MapId {
            version: self.version,
            digest: self.digest(),
        }
    }

    /// The expert in a slot of a layer; slots are counted over all ranks.
    #[must_use]
    pub fn expert_at(&self, layer: usize, slot: usize) -> Option<ExpertIndex> {
        let cell = self.cells[layer * self.shape.layer_slots() + slot];
        (cell != EMPTY_SLOT).then_some(ExpertIndex(cell))
    }

    /// Returns the map that results from these weight copies, with the next version.
    #[must_use]
    pub fn successor(&self, loads: &[WeightCopy]) -> Self {
        let mut map = self.clone();
        map.version = self.version.next();
        for load in loads {
            let start = usize::from(load.layer) * self.shape.layer_slots();
            map.cells[start + usize::from(load.slot)] = load.expert.0;
        }
        map
    }

    /// Returns the same map content with another version.
    #[must_use]
    pub fn with_version(&self, version: MapVersion) -> Self {
        Self {
            version,
            ..self.clone()
        }
    }

    /// Creates a map from the experts of each rank, indexed by layer, then rank; remaining
    /// slots stay empty.
    ///
    /// Returns `None` if an expert or a rank is out of the shape's bounds, or if the map is
    /// not complete.
    #[must_use]
    pub fn from_lists(
        shape: MapShape,
        version: MapVersion,
        lists: &[Vec<Vec<u16>>],
    ) -> Option<Self> {
        let mut cells = vec![EMPTY_SLOT; shape.layer_slots() * usize::from(shape.layers)];
        let slots = usize::from(shape.slots);
        for (layer, ranks) in lists.iter().enumerate() {
            for (rank, experts) in ranks.iter().enumerate() {
                let start = layer * shape.layer_slots() + rank * slots;
                let rank_cells = cells.get_mut(start..start + slots)?;
                if experts.len() > slots || experts.iter().any(|it| *it >= shape.experts) {
                    return None;
                }
                rank_cells[..experts.len()].copy_from_slice(experts);
            }
        }
        let map = Self {
            version,
            shape,
            cells,
        };
        map.is_complete().then_some(map)
    }

    /// The experts that a rank holds in a layer.
    pub fn experts_of(&self, layer: usize, rank: usize) -> impl Iterator<Item = u16> {
        let slots = usize::from(self.shape.slots);
        let start = layer * self.shape.layer_slots() + rank * slots;
        let cells = self.cells[start..start + slots].iter().copied();
        cells.filter(|cell| *cell != EMPTY_SLOT)
    }

    /// Whether every layer holds every expert, and no rank holds an expert of a layer twice.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        (0..usize::from(self.shape.layers)).all(|layer| self.layer_is_complete(layer))
    }

    fn layer_is_complete(&self, layer: usize) -> bool {
        let mut found = vec![false; usize::from(self.shape.experts)];
        for rank in 0..usize::from(self.shape.ranks) {
            let mut held = vec![false; usize::from(self.shape.experts)];
            for slot in 0..usize::from(self.shape.slots) {
                let index = rank * usize::from(self.shape.slots) + slot;
                let Some(expert) = self.expert_at(layer, index) else {
                    continue;
                };
                if std::mem::replace(&mut held[usize::from(expert.0)], true) {
                    return false;
                }
                found[usize::from(expert.0)] = true;
            }
        }
        found.into_iter().all(|found| found)
    }

    /// The weight copies that turn this map into `next`, or `None` if no weight copies do, since
    /// the shapes differ or a slot becomes empty.
    #[must_use]
    pub fn weight_copies_to(&self, next: &Self) -> Option<Vec<WeightCopy>> {
        if self.shape != next.shape {
            return None;
        }
        let layer_slots = self.shape.layer_slots();
        let cells = self.cells.iter().zip(&next.cells).enumerate();
        let changed = cells.filter(|(_, (old, new))| old != new);
        let copies = changed.map(|(index, (_, new))| {
            (*new != EMPTY_SLOT).then_some(WeightCopy {
                layer: u16::try_from(index / layer_slots).ok()?,
                slot: u16::try_from(index % layer_slots).ok()?,
                expert: ExpertIndex(*new),
            })
        });
        copies.collect()
    }

    /// Returns the map that results from these weight copies, or `None` if one of them is out of
    /// the shape's bounds.
    #[must_use]
    pub fn checked_successor(&self, copies: &[WeightCopy]) -> Option<Self> {
        let shape = self.shape;
        let is_valid = copies.iter().all(|copy| {
            copy.layer < shape.layers
                && usize::from(copy.slot) < shape.layer_slots()
                && copy.expert.0 < shape.experts
        });
        is_valid.then(|| self.successor(copies))
    }

    fn digest(&self) -> u64 {
        let cells = self.cells.iter().copied().map(u64::from);
        cells.fold(FNV_BASIS, |hash, cell| {
            (hash ^ cell).wrapping_mul(FNV_PRIME)
        })
    }
}

/// The copy of one expert's weights into one slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WeightCopy {
    /// The layer.
    pub layer: u16,
    /// The slot, counted over all ranks.
    pub slot: u16,
    /// The expert that the slot is to hold.
    pub expert: ExpertIndex,
}

/// The difference between one map and the next.
///
/// Invariant: `next` identifies the result of applying `loads` to the map `base`.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapChange {
    /// The map to which the change applies.
    pub base: MapId,
    /// The resulting map.
    pub next: MapId,
    /// The experts to load; a slot that is not listed keeps its expert.
    pub loads: Vec<WeightCopy>,
}

impl MapChange {
    /// Creates the change that applies these weight copies to a map.
    #[must_use]
    pub fn new(base: &ExpertMap, loads: Vec<WeightCopy>) -> Arc<Self> {
        Arc::new(Self {
            base: base.id(),
            next: base.successor(&loads).id(),
            loads,
        })
    }
}
