//! Spreads hot experts over the ranks of a group by a greedy choice of replicas.
//!
//! Designed for loads in which one expert of each layer takes a third of the layer's tokens, and
//! which expert is hot changes every few seconds: replicas of the hot expert on a few other ranks
//! bring most of the gain, and each rank must receive few weight copies, since the group waits for
//! the slowest rank.

use smallvec::SmallVec;

use crate::{ExpertIndex, ExpertMap, LoadTable, MapShape, WeightCopy};

/// The number of experts of the most loaded rank, in descending order of load, that are considered
/// for another replica.
const CANDIDATE_EXPERTS: usize = 3;

/// Limits of one change of the map.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpreadLimits {
    /// The largest number of weight copies that a rank may receive in one layer.
    pub per_layer: u16,
    /// The largest number of weight copies that a rank may receive in total.
    pub per_rank: u16,
    /// No more replicas are added to a layer in which the load of the most loaded rank, relative to
    /// the mean, is at or below this.
    pub target_skew: f64,
}

/// Computes the weight copies that relieve the most loaded ranks by replicas of their most loaded
/// experts.
///
/// Each iteration improves the most imbalanced layer, until every layer reaches the target
/// skew or no weight copy within the limits helps.
#[must_use]
pub fn spread_hot_experts(
    map: &ExpertMap,
    loads: &LoadTable,
    limits: &SpreadLimits,
) -> Vec<WeightCopy> {
    let shape = map.shape();
    let mut layers = (0..usize::from(shape.layers))
        .filter_map(|layer| LayerSpread::new(map, layer, loads.layer(layer)))
        .collect::<Vec<_>>();
    let mut budgets = vec![limits.per_rank; usize::from(shape.ranks)];
    let mut changes = Vec::new();
    loop {
        let candidates = layers.iter_mut().filter(|layer| !layer.is_done);
        let Some(layer) = candidates.max_by(|a, b| a.layer_skew().total_cmp(&b.layer_skew()))
        else {
            return changes;
        };
        if layer.layer_skew() <= limits.target_skew {
            return changes;
        }
        match layer.best_replica(&budgets, limits.per_layer) {
            Some(replica) => {
                budgets[replica.rank] -= 1;
                changes.push(layer.apply(&replica));
            }
            None => layer.is_done = true,
        }
    }
}

/// A new replica of an expert in a slot of another rank.
#[derive(Debug, Clone, Copy)]
struct NewReplica {
    expert: usize,
    rank: usize,
    /// The slot, counted within the rank.
    local_slot: usize,
}

/// One layer to which replicas are added.
struct LayerSpread<'loads> {
    layer: u16,
    shape: MapShape,
    loads: &'loads [f64],
    mean: f64,
    /// Experts by rank and slot.
    experts_by_slot: Vec<Option<usize>>,
    /// The number of replicas of each expert.
    replicas: Vec<u16>,
    /// The number of weight copies of this layer that each rank is to receive.
    loaded: Vec<u16>,
    rank_loads: Vec<f64>,
    is_done: bool,
}

impl<'loads> LayerSpread<'loads> {
    /// Returns `None` for a layer without load.
    fn new(map: &ExpertMap, layer: usize, loads: &'loads [f64]) -> Option<Self> {
        let shape = map.shape();
        let total = loads.iter().sum::<f64>();
        if total <= 0.0 {
            return None;
        }
        let experts_by_slot = (0..shape.layer_slots())
            .map(|slot| map.expert_at(layer, slot).map(|it| usize::from(it.0)))
            .collect::<Vec<_>>();
        let mut replicas = vec![0; loads.len()];
        for expert in experts_by_slot.iter().flatten() {
            replicas[*expert] += 1;
        }
        let mut spread = Self {
            layer: u16::try_from(layer).ok()?,
            shape,
            loads,
            mean: total / f64::from(shape.ranks),
            experts_by_slot,
            replicas,
            loaded: vec![0; usize::from(shape.ranks)],
            rank_loads: Vec::new(),
            is_done: false,
        };
        spread.rank_loads = spread.sum_ranks();
        Some(spread)
    }

    /// The load of the most loaded rank, relative to the mean.
    fn layer_skew(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max) / self.mean
    }

    /// The new replica that balances the ranks most, if any improves the balance.
    fn best_replica(&self, budgets: &[u16], per_layer: u16) -> Option<NewReplica> {
        let slowest = self.slowest_rank();
        let mut best = (self.imbalance(&self.rank_loads), None);
        for expert in self.heaviest_experts(slowest) {
            for (rank, budget) in budgets.iter().enumerate() {
                let is_full = *budget == 0 || self.loaded[rank] >= per_layer;
                if is_full || self.holds(rank, expert) {
                    continue;
                }
                let Some(slot) = self.cheapest_slot(rank) else {
                    continue;
                };
                let replica = NewReplica {
                    expert,
                    rank,
                    local_slot: slot,
                };
                let value = self.imbalance(&self.loads_after(&replica));
                if value < best.0 {
                    best = (value, Some(replica));
                }
            }
        }
        best.1
    }

    fn apply(&mut self, replica: &NewReplica) -> WeightCopy {
        let index = self.index(replica.rank, replica.local_slot);
        self.rank_loads = self.loads_after(replica);
        if let Some(old) = self.experts_by_slot[index].replace(replica.expert) {
            self.replicas[old] -= 1;
        }
        self.replicas[replica.expert] += 1;
        self.loaded[replica.rank] += 1;
        WeightCopy {
            layer: self.layer,
            slot: u16::try_from(index).expect("slots are counted in 16 bits"),
            expert: ExpertIndex(
                u16::try_from(replica.expert).expect("experts are counted in 16 bits"),
            ),
        }
    }

    /// The loads of all ranks after a replica is added.
    fn loads_after(&self, replica: &NewReplica) -> Vec<f64> {
        let mut loads = self.rank_loads.clone();
        let expert = replica.expert;
        let count = f64::from(self.replicas[expert]);
        let relief = self.loads[expert] * (1.0 / count - 1.0 / (count + 1.0));
        let evicted = self.experts_by_slot[self.index(replica.rank, replica.local_slot)];
        let added = evicted.map_or(0.0, |old| {
            let count = f64::from(self.replicas[old]);
            self.loads[old] * (1.0 / (count - 1.0) - 1.0 / count)
        });
        for (rank, load) in loads.iter_mut().enumerate() {
            if self.holds(rank, expert) {
                *load -= relief;
            }
            if evicted.is_some_and(|old| rank != replica.rank && self.holds(rank, old)) {
                *load += added;
            }
        }
        loads[replica.rank] += self.loads[expert] / (count + 1.0);
        if let Some(old) = evicted {
            loads[replica.rank] -= self.loads[old] / f64::from(self.replicas[old]);
        }
        loads
    }

    /// The sum of the eighth powers of the relative rank loads.
    ///
    /// The most loaded ranks dominate it, and a replica still lowers it if several ranks tie.
    fn imbalance(&self, loads: &[f64]) -> f64 {
        loads.iter().map(|load| (load / self.mean).powi(8)).sum()
    }

    fn slowest_rank(&self) -> usize {
        let ranks = 0..self.rank_loads.len();
        let slowest = ranks.max_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        slowest.unwrap_or_default()
    }

    fn heaviest_experts(&self, rank: usize) -> SmallVec<[usize; CANDIDATE_EXPERTS]> {
        let mut experts = self.experts_of(rank).collect::<SmallVec<[usize; 16]>>();
        let share = |expert: &usize| self.loads[*expert] / f64::from(self.replicas[*expert]);
        experts.sort_by(|a, b| share(b).total_cmp(&share(a)));
        experts.into_iter().take(CANDIDATE_EXPERTS).collect()
    }

    /// An empty slot, or else the slot with the least loaded expert that has other replicas.
    fn cheapest_slot(&self, rank: usize) -> Option<usize> {
        let slots = 0..usize::from(self.shape.slots);
        let cost = |slot: usize| match self.experts_by_slot[self.index(rank, slot)] {
            None => Some(0.0),
            Some(expert) if self.replicas[expert] > 1 => Some(1.0 + self.loads[expert]),
            Some(_) => None,
        };
        let costs = slots.filter_map(|slot| Some((slot, cost(slot)?)));
        let cheapest = costs.min_by(|a, b| a.1.total_cmp(&b.1));
        cheapest.map(|(slot, _)| slot)
    }

    fn holds(&self, rank: usize, expert: usize) -> bool {
        self.experts_of(rank).any(|it| it == expert)
    }

    fn experts_of(&self, rank: usize) -> impl Iterator<Item = usize> {
        let slots = usize::from(self.shape.slots);
        let experts_by_slot = self.experts_by_slot[rank * slots..(rank + 1) * slots].iter();
        experts_by_slot.filter_map(|cell| *cell)
    }

    fn sum_ranks(&self) -> Vec<f64> {
        let share = |expert: usize| self.loads[expert] / f64::from(self.replicas[expert]);
        let ranks = 0..usize::from(self.shape.ranks);
        ranks
            .map(|rank| self.experts_of(rank).map(share).sum())
            .collect()
    }

    fn index(&self, rank: usize, slot: usize) -> usize {
        rank * usize::from(self.shape.slots) + slot
    }
}
