//! Spreads hot experts over the ranks of a group, soonest gain first.
//!
//! Answers the pattern of one expert in each set that takes a third of its tokens, and
//! another expert every few seconds: copies of the hot expert on a few other ranks bring most
//! of the gain, and every rank must have little to load, since the slowest one is waited for.

use smallvec::SmallVec;

use crate::{ExpertIndex, ExpertMap, LoadTable, MapShape, SlotLoad};

/// Heaviest experts of the slowest rank that are tried for another copy.
const CANDIDATE_EXPERTS: usize = 3;

/// Bounds of one change of the map.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpreadLimits {
    /// Experts of one layer that a rank may load.
    pub per_layer: u16,
    /// Experts that a rank may load in all.
    pub per_rank: u16,
    /// Load of the slowest rank, in mean loads, below which nothing more is loaded.
    pub target_skew: f64,
}

/// What to load so that the slowest ranks carry less, with copies of their heaviest experts.
///
/// Layers take turns, the most uneven one first, until every layer is even enough or no load
/// within the limits helps.
#[must_use]
pub fn spread_hot_experts(
    map: &ExpertMap,
    loads: &LoadTable,
    limits: &SpreadLimits,
) -> Vec<SlotLoad> {
    let shape = map.shape();
    let mut layers = (0..usize::from(shape.layers))
        .filter_map(|layer| LayerSpread::new(map, layer, loads.layer(layer)))
        .collect::<Vec<_>>();
    let mut room = vec![limits.per_rank; usize::from(shape.ranks)];
    let mut changes = Vec::new();
    loop {
        let open = layers.iter_mut().filter(|layer| !layer.is_done);
        let Some(layer) = open.max_by(|a, b| a.skew().total_cmp(&b.skew())) else {
            return changes;
        };
        if layer.skew() <= limits.target_skew {
            return changes;
        }
        match layer.best_copy(&room, limits.per_layer) {
            Some(copy) => {
                room[copy.rank] -= 1;
                changes.push(layer.apply(&copy));
            }
            None => layer.is_done = true,
        }
    }
}

/// A copy of an expert in a slot of another rank.
#[derive(Debug, Clone, Copy)]
struct ExpertCopy {
    expert: usize,
    rank: usize,
    slot: usize,
}

/// One layer while copies are added to it.
struct LayerSpread<'loads> {
    layer: u16,
    shape: MapShape,
    loads: &'loads [f64],
    mean: f64,
    /// Experts by rank and slot.
    cells: Vec<Option<usize>>,
    copies: Vec<u16>,
    /// Experts of this layer that each rank is to load.
    loaded: Vec<u16>,
    rank_loads: Vec<f64>,
    is_done: bool,
}

impl<'loads> LayerSpread<'loads> {
    /// Nothing for a layer without load.
    fn new(map: &ExpertMap, layer: usize, loads: &'loads [f64]) -> Option<Self> {
        let shape = map.shape();
        let total = loads.iter().sum::<f64>();
        if total <= 0.0 {
            return None;
        }
        let cells = (0..shape.layer_slots())
            .map(|slot| map.expert_at(layer, slot).map(|it| usize::from(it.0)))
            .collect::<Vec<_>>();
        let mut copies = vec![0; loads.len()];
        for expert in cells.iter().flatten() {
            copies[*expert] += 1;
        }
        let mut spread = Self {
            layer: u16::try_from(layer).ok()?,
            shape,
            loads,
            mean: total / f64::from(shape.ranks),
            cells,
            copies,
            loaded: vec![0; usize::from(shape.ranks)],
            rank_loads: Vec::new(),
            is_done: false,
        };
        spread.rank_loads = spread.sum_ranks();
        Some(spread)
    }

    /// The load of the slowest rank, in mean loads.
    fn skew(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max) / self.mean
    }

    /// The copy that leaves the ranks most even, if any makes the slowest one faster.
    fn best_copy(&self, room: &[u16], per_layer: u16) -> Option<ExpertCopy> {
        let slowest = self.slowest_rank();
        let mut best = (self.unevenness(&self.rank_loads), None);
        for expert in self.heaviest_experts(slowest) {
            for (rank, room) in room.iter().enumerate() {
                let is_full = *room == 0 || self.loaded[rank] >= per_layer;
                if is_full || self.holds(rank, expert) {
                    continue;
                }
                let Some(slot) = self.cheapest_slot(rank) else {
                    continue;
                };
                let copy = ExpertCopy { expert, rank, slot };
                let value = self.unevenness(&self.loads_after(&copy));
                if value < best.0 {
                    best = (value, Some(copy));
                }
            }
        }
        best.1
    }

    fn apply(&mut self, copy: &ExpertCopy) -> SlotLoad {
        let index = self.index(copy.rank, copy.slot);
        self.rank_loads = self.loads_after(copy);
        if let Some(old) = self.cells[index].replace(copy.expert) {
            self.copies[old] -= 1;
        }
        self.copies[copy.expert] += 1;
        self.loaded[copy.rank] += 1;
        SlotLoad {
            layer: self.layer,
            slot: u16::try_from(index).expect("slots are counted in 16 bits"),
            expert: ExpertIndex(u16::try_from(copy.expert).expect("experts too")),
        }
    }

    /// The loads of all ranks with one copy more.
    fn loads_after(&self, copy: &ExpertCopy) -> Vec<f64> {
        let mut loads = self.rank_loads.clone();
        let expert = copy.expert;
        let count = f64::from(self.copies[expert]);
        let relief = self.loads[expert] * (1.0 / count - 1.0 / (count + 1.0));
        let evicted = self.cells[self.index(copy.rank, copy.slot)];
        let burden = evicted.map_or(0.0, |old| {
            let count = f64::from(self.copies[old]);
            self.loads[old] * (1.0 / (count - 1.0) - 1.0 / count)
        });
        for (rank, load) in loads.iter_mut().enumerate() {
            if self.holds(rank, expert) {
                *load -= relief;
            }
            if evicted.is_some_and(|old| rank != copy.rank && self.holds(rank, old)) {
                *load += burden;
            }
        }
        loads[copy.rank] += self.loads[expert] / (count + 1.0);
        if let Some(old) = evicted {
            loads[copy.rank] -= self.loads[old] / f64::from(self.copies[old]);
        }
        loads
    }

    /// A sum that the slowest ranks dominate, so that copies also help where several tie.
    fn unevenness(&self, loads: &[f64]) -> f64 {
        loads.iter().map(|load| (load / self.mean).powi(8)).sum()
    }

    fn slowest_rank(&self) -> usize {
        let ranks = 0..self.rank_loads.len();
        let slowest = ranks.max_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        slowest.unwrap_or_default()
    }

    fn heaviest_experts(&self, rank: usize) -> SmallVec<[usize; CANDIDATE_EXPERTS]> {
        let mut experts = self.experts_of(rank).collect::<SmallVec<[usize; 16]>>();
        let share = |expert: &usize| self.loads[*expert] / f64::from(self.copies[*expert]);
        experts.sort_by(|a, b| share(b).total_cmp(&share(a)));
        experts.into_iter().take(CANDIDATE_EXPERTS).collect()
    }

    /// An empty slot, or the one whose expert is needed least and has other copies.
    fn cheapest_slot(&self, rank: usize) -> Option<usize> {
        let slots = 0..usize::from(self.shape.slots);
        let price = |slot: usize| match self.cells[self.index(rank, slot)] {
            None => Some(0.0),
            Some(expert) if self.copies[expert] > 1 => Some(1.0 + self.loads[expert]),
            Some(_) => None,
        };
        let priced = slots.filter_map(|slot| Some((slot, price(slot)?)));
        let cheapest = priced.min_by(|a, b| a.1.total_cmp(&b.1));
        cheapest.map(|(slot, _)| slot)
    }

    fn holds(&self, rank: usize, expert: usize) -> bool {
        self.experts_of(rank).any(|it| it == expert)
    }

    fn experts_of(&self, rank: usize) -> impl Iterator<Item = usize> {
        let slots = usize::from(self.shape.slots);
        let cells = self.cells[rank * slots..(rank + 1) * slots].iter();
        cells.filter_map(|cell| *cell)
    }

    fn sum_ranks(&self) -> Vec<f64> {
        let share = |expert: usize| self.loads[expert] / f64::from(self.copies[expert]);
        let ranks = 0..usize::from(self.shape.ranks);
        ranks
            .map(|rank| self.experts_of(rank).map(share).sum())
            .collect()
    }

    fn index(&self, rank: usize, slot: usize) -> usize {
        rank * usize::from(self.shape.slots) + slot
    }
}
