//! The slots of one layer, their loads, and single moves that balance them.

use smallvec::SmallVec;

use crate::{ExpertIndex, ExpertMap, MapShape, WeightCopy};

/// The number of ranks, in ascending order of load, that are considered as targets of a move.
const TARGET_RANKS: usize = 8;

/// One or two weight copies that are applied together, as slot and expert.
pub(crate) type LayerMove = SmallVec<[(usize, u16); 2]>;

/// The slots of one layer, on which moves are evaluated.
#[derive(Debug, Clone)]
pub(crate) struct LayerPlacement {
    slots: usize,
    /// Experts by slot; slots are counted over all ranks.
    experts_by_slot: Vec<Option<u16>>,
    replicas: Vec<u16>,
}

impl LayerPlacement {
    /// Creates the placement of a layer of a map.
    pub(crate) fn of_map(map: &ExpertMap, layer: usize) -> Self {
        let shape = map.shape();
        let experts_by_slot =
            (0..shape.layer_slots()).map(|slot| map.expert_at(layer, slot).map(|it| it.0));
        Self::of_experts(shape, experts_by_slot.collect())
    }

    /// Creates a placement from the experts in the slots of a layer.
    pub(crate) fn of_experts(shape: MapShape, experts_by_slot: Vec<Option<u16>>) -> Self {
        let mut replicas = vec![0; usize::from(shape.experts)];
        for expert in experts_by_slot.iter().flatten() {
            replicas[usize::from(*expert)] += 1;
        }
        Self {
            slots: usize::from(shape.slots),
            experts_by_slot,
            replicas,
        }
    }

    /// The load of each rank; replicas of an expert share its load evenly.
    pub(crate) fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        let share = |expert: u16| self.share(loads, expert);
        let ranks = self.experts_by_slot.chunks(self.slots);
        ranks
            .map(|rank| rank.iter().flatten().map(|it| share(*it)).sum())
            .collect()
    }

    /// The load of the most loaded rank.
    pub(crate) fn max_rank_load(&self, loads: &[f64]) -> f64 {
        self.rank_loads(loads).into_iter().fold(0.0, f64::max)
    }

    /// The move off the most loaded rank that balances the ranks most, if any improves the balance.
    pub(crate) fn best_move(&self, loads: &[f64]) -> Option<LayerMove> {
        let ranks = self.rank_loads(loads);
        let mut by_load = (0..ranks.len()).collect::<Vec<_>>();
        by_load.sort_by(|a, b| ranks[*a].total_cmp(&ranks[*b]));
        let slowest = *by_load.last()?;
        let mut evaluator = MoveEvaluator::new(self, loads);
        let mut best = (evaluator.imbalance(), None);
        for source in self
            .slots_of(slowest)
            .filter(|slot| self.experts_by_slot[*slot].is_some())
        {
            for target in by_load
                .iter()
                .take(TARGET_RANKS)
                .filter(|rank| **rank != slowest)
            {
                for slot in self.slots_of(*target) {
                    for layer_move in self.moves(source, slot) {
                        let value = evaluator.imbalance_after(&layer_move);
                        if value < best.0 {
                            best = (value, Some(layer_move));
                        }
                    }
                }
            }
        }
        best.1
    }

    /// Applies a move.
    pub(crate) fn apply(&mut self, layer_move: &LayerMove) {
        for (slot, expert) in layer_move {
            if let Some(old) = self.experts_by_slot[*slot].replace(*expert) {
                self.replicas[usize::from(old)] -= 1;
            }
            self.replicas[usize::from(*expert)] += 1;
        }
    }

    /// The weight copies that turn this placement into `next`, slot by slot.
    pub(crate) fn weight_copies_to(&self, next: &Self, layer: u16) -> Vec<WeightCopy> {
        let experts_by_slot = next.experts_by_slot.iter().enumerate();
        let changed =
            experts_by_slot.filter(|(slot, expert)| self.experts_by_slot[*slot] != **expert);
        changed
            .filter_map(|(slot, expert)| {
                Some(WeightCopy {
                    layer,
                    slot: u16::try_from(slot).ok()?,
                    expert: ExpertIndex((*expert)?),
                })
            })
            .collect()
    }

    /// Reorders the slots of each rank so that experts keep the slot that they have in `base`.
    pub(crate) fn align(&mut self, base: &Self) {
        let ranks = self
            .experts_by_slot
            .chunks_mut(self.slots)
            .zip(base.experts_by_slot.chunks(self.slots));
        for (rank, old) in ranks {
            for (slot, expert) in old.iter().enumerate() {
                if let Some(position) = rank.iter().position(|it| it.is_some() && it == expert) {
                    rank.swap(slot, position);
                }
            }
        }
    }

    fn share(&self, loads: &[f64], expert: u16) -> f64 {
        let index = usize::from(expert);
        loads[index] / f64::from(self.replicas[index])
    }

    fn slots_of(&self, rank: usize) -> std::ops::Range<usize> {
        rank * self.slots..(rank + 1) * self.slots
    }

    /// The moves of the expert in `source` to `target`: an additional replica in an empty slot
    /// or over a redundant replica, and a swap of the two experts.
    fn moves(&self, source: usize, target: usize) -> SmallVec<[LayerMove; 2]> {
        let mut moves = SmallVec::new();
        let Some(expert) = self.experts_by_slot[source] else {
            return moves;
        };
        if self.holds(target / self.slots, expert) {
            return moves;
        }
        let Some(other) = self.experts_by_slot[target] else {
            moves.push(SmallVec::from_slice(&[(target, expert)]));
            return moves;
        };
        if self.replicas[usize::from(other)] > 1 {
            moves.push(SmallVec::from_slice(&[(target, expert)]));
        }
        if !self.holds(source / self.slots, other) {
            moves.push(SmallVec::from_slice(&[(target, expert), (source, other)]));
        }
        moves
    }

    fn holds(&self, rank: usize, expert: u16) -> bool {
        self.experts_by_slot[self.slots_of(rank)].contains(&Some(expert))
    }
}

/// Evaluates moves of a layer by applying and reverting them.
struct MoveEvaluator<'loads> {
    placement: LayerPlacement,
    loads: &'loads [f64],
    /// The load of one replica of each expert.
    shares: Vec<f64>,
}

impl<'loads> MoveEvaluator<'loads> {
    fn new(placement: &LayerPlacement, loads: &'loads [f64]) -> Self {
        let experts = 0..u16::try_from(loads.len()).expect("experts are counted in 16 bits");
        Self {
            placement: placement.clone(),
            loads,
            shares: experts
                .map(|expert| placement.share(loads, expert))
                .collect(),
        }
    }

    /// The sum of the eighth powers of the rank loads.
    ///
    /// The most loaded ranks dominate it, and a move still lowers it if several ranks tie.
    fn imbalance(&self) -> f64 {
        let ranks = self.placement.experts_by_slot.chunks(self.placement.slots);
        let share = |expert: &u16| self.shares[usize::from(*expert)];
        let sums = ranks.map(|rank| rank.iter().flatten().map(share).sum::<f64>());
        sums.map(|load| (load * load) * (load * load))
            .map(|it| it * it)
            .sum()
    }

    fn imbalance_after(&mut self, layer_move: &LayerMove) -> f64 {
        let before = layer_move
            .iter()
            .map(|(slot, _)| (*slot, self.placement.experts_by_slot[*slot]));
        let before = before.collect::<SmallVec<[(usize, Option<u16>); 2]>>();
        for (slot, expert) in layer_move {
            self.set(*slot, Some(*expert));
        }
        let value = self.imbalance();
        for (slot, expert) in before.into_iter().rev() {
            self.set(slot, expert);
        }
        value
    }

    fn set(&mut self, slot: usize, expert: Option<u16>) {
        let old = std::mem::replace(&mut self.placement.experts_by_slot[slot], expert);
        if let Some(old) = old {
            self.placement.replicas[usize::from(old)] -= 1;
        }
        if let Some(expert) = expert {
            self.placement.replicas[usize::from(expert)] += 1;
        }
        for changed in [old, expert].into_iter().flatten() {
            self.shares[usize::from(changed)] = self.placement.share(self.loads, changed);
        }
    }
}
