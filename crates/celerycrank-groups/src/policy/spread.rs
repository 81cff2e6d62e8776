//! Spreads hot experts over the ranks of a group by a greedy choice of replicas.
//!
//! Designed for loads in which one expert of each layer takes a third of the layer's tokens, and
//! which expert is hot changes every few seconds: replicas of the hot expert on a few other ranks
//! bring most of the gain, and each rank must receive few weight copies, since the group waits for
//! the slowest rank.

use smallvec::SmallVec;

use crate::{ExpertIndex, ExpertMap, LoadTable, WeightCopy};

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
        let Some(layer) = candidates.max_by(|a, b| a.skew.total_cmp(&b.skew)) else {
            return changes;
        };
        if layer.skew <= limits.target_skew {
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
///
/// Replicas are evaluated by what they change: the loads of the ranks that hold the expert, of the
/// rank that receives it, and of the ranks that hold the expert it replaces.
struct LayerSpread<'loads> {
    layer: u16,
    slots: usize,
    loads: &'loads [f64],
    mean: f64,
    /// Experts by rank and slot.
    experts_by_slot: Vec<Option<usize>>,
    /// The ranks that hold each expert.
    holders: Vec<SmallVec<[usize; 4]>>,
    /// The number of weight copies of this layer that each rank is to receive.
    loaded: Vec<u16>,
    rank_loads: Vec<f64>,
    /// The load of the most loaded rank, relative to the mean.
    skew: f64,
    /// The sum of the imbalances of all ranks.
    imbalance: f64,
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
        let slots = usize::from(shape.slots);
        let experts_by_slot = (0..shape.layer_slots())
            .map(|slot| map.expert_at(layer, slot).map(|it| usize::from(it.0)))
            .collect::<Vec<_>>();
        let mut holders = vec![SmallVec::new(); loads.len()];
        for (slot, expert) in experts_by_slot.iter().enumerate() {
            if let Some(expert) = expert {
                holders[*expert].push(slot / slots);
            }
        }
        let mut spread = Self {
            layer: u16::try_from(layer).ok()?,
            slots,
            loads,
            mean: total / f64::from(shape.ranks),
            experts_by_slot,
            holders,
            loaded: vec![0; usize::from(shape.ranks)],
            rank_loads: Vec::new(),
            skew: 0.0,
            imbalance: 0.0,
            is_done: false,
        };
        let ranks = 0..usize::from(shape.ranks);
        spread.rank_loads = ranks.map(|rank| spread.sum_rank(rank)).collect();
        spread.update_totals();
        Some(spread)
    }

    /// The new replica that balances the ranks most, if any improves the balance.
    fn best_replica(&self, budgets: &[u16], per_layer: u16) -> Option<NewReplica> {
        let slowest = self.slowest_rank();
        let mut best = (self.imbalance, None);
        for expert in self.heaviest_experts(slowest) {
            let relieved = self.imbalance_without(expert);
            for (rank, budget) in budgets.iter().enumerate() {
                let is_full = *budget == 0 || self.loaded[rank] >= per_layer;
                if is_full || self.holders[expert].contains(&rank) {
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
                let value = relieved + self.imbalance_added(&replica);
                if value < best.0 {
                    best = (value, Some(replica));
                }
            }
        }
        best.1
    }

    fn apply(&mut self, replica: &NewReplica) -> WeightCopy {
        let NewReplica { expert, rank, .. } = *replica;
        let index = rank * self.slots + replica.local_slot;
        let mut changed = self.holders[expert].clone();
        changed.push(rank);
        if let Some(old) = self.experts_by_slot[index].replace(expert) {
            self.holders[old].retain(|holder| *holder != rank);
            changed.extend(self.holders[old].iter().copied());
        }
        self.holders[expert].push(rank);
        self.loaded[rank] += 1;
        for rank in changed {
            self.rank_loads[rank] = self.sum_rank(rank);
        }
        self.update_totals();
        WeightCopy {
            layer: self.layer,
            slot: u16::try_from(index).expect("slots are counted in 16 bits"),
            expert: ExpertIndex(u16::try_from(expert).expect("experts are counted in 16 bits")),
        }
    }

    /// The imbalance after the holders of an expert have shared it with one more rank, without the
    /// share of that rank.
    fn imbalance_without(&self, expert: usize) -> f64 {
        let relief = self.relief(expert);
        let holders = self.holders[expert].iter();
        let changes = holders.map(|rank| {
            let load = self.rank_loads[*rank];
            self.rank_imbalance(load - relief) - self.rank_imbalance(load)
        });
        self.imbalance + changes.sum::<f64>()
    }

    /// What the rank that receives a replica, and the ranks that take over what it evicts, add to
    /// [`Self::imbalance_without`].
    fn imbalance_added(&self, replica: &NewReplica) -> f64 {
        let NewReplica { expert, rank, .. } = *replica;
        let count = self.holders[expert].len() as f64;
        let load = self.rank_loads[rank];
        let mut next = load + self.loads[expert] / (count + 1.0);
        let mut added = 0.0;
        if let Some(old) = self.experts_by_slot[rank * self.slots + replica.local_slot] {
            let count = self.holders[old].len() as f64;
            next -= self.loads[old] / count;
            let more = self.loads[old] * (1.0 / (count - 1.0) - 1.0 / count);
            for holder in self.holders[old].iter().filter(|it| **it != rank) {
                let is_relieved = self.holders[expert].contains(holder);
                let relief = if is_relieved {
                    self.relief(expert)
                } else {
                    0.0
                };
                let load = self.rank_loads[*holder] - relief;
                added += self.rank_imbalance(load + more) - self.rank_imbalance(load);
            }
        }
        added + self.rank_imbalance(next) - self.rank_imbalance(load)
    }

    /// By how much each holder of an expert is relieved by one more replica.
    fn relief(&self, expert: usize) -> f64 {
        let count = self.holders[expert].len() as f64;
        self.loads[expert] * (1.0 / count - 1.0 / (count + 1.0))
    }

    /// The eighth power of a rank's load relative to the mean.
    ///
    /// In the sum over all ranks, the most loaded ones dominate, and a replica still lowers it if
    /// several ranks tie.
    fn rank_imbalance(&self, load: f64) -> f64 {
        (load / self.mean).powi(8)
    }

    fn update_totals(&mut self) {
        let loads = self.rank_loads.iter();
        let imbalance = loads.clone().map(|load| self.rank_imbalance(*load)).sum();
        self.skew = loads.copied().fold(0.0, f64::max) / self.mean;
        self.imbalance = imbalance;
    }

    fn slowest_rank(&self) -> usize {
        let ranks = 0..self.rank_loads.len();
        let slowest = ranks.max_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        slowest.unwrap_or_default()
    }

    fn heaviest_experts(&self, rank: usize) -> SmallVec<[usize; CANDIDATE_EXPERTS]> {
        let mut experts = self.experts_of(rank).collect::<SmallVec<[usize; 16]>>();
        experts.sort_by(|a, b| self.share(*b).total_cmp(&self.share(*a)));
        experts.into_iter().take(CANDIDATE_EXPERTS).collect()
    }

    /// An empty slot, or else the slot with the least loaded expert that has other replicas.
    fn cheapest_slot(&self, rank: usize) -> Option<usize> {
        let cost = |slot: usize| match self.experts_by_slot[rank * self.slots + slot] {
            None => Some(0.0),
            Some(expert) if self.holders[expert].len() > 1 => Some(1.0 + self.loads[expert]),
            Some(_) => None,
        };
        let costs = (0..self.slots).filter_map(|slot| Some((slot, cost(slot)?)));
        let cheapest = costs.min_by(|a, b| a.1.total_cmp(&b.1));
        cheapest.map(|(slot, _)| slot)
    }

    fn experts_of(&self, rank: usize) -> impl Iterator<Item = usize> {
        let slots = &self.experts_by_slot[rank * self.slots..(rank + 1) * self.slots];
        slots.iter().filter_map(|cell| *cell)
    }

    /// The load that each holder of an expert takes.
    fn share(&self, expert: usize) -> f64 {
        self.loads[expert] / self.holders[expert].len() as f64
    }

    fn sum_rank(&self, rank: usize) -> f64 {
        self.experts_of(rank).map(|expert| self.share(expert)).sum()
    }
}
