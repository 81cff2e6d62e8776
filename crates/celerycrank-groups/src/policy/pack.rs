//! A full repack: the most balanced map for given loads, regardless of what is loaded now.

use super::layer::LayerPlacement;
use crate::{ExpertMap, LoadTable, MapShape, WeightCopy};

/// Computes the weight copies that turn a map into the most balanced one for the given loads.
#[must_use]
pub fn full_repack(map: &ExpertMap, loads: &LoadTable) -> Vec<WeightCopy> {
    (0..map.shape().layers)
        .flat_map(|layer| {
            let base = LayerPlacement::of_map(map, usize::from(layer));
            let cells = pack_layer(map.shape(), loads.layer(usize::from(layer)));
            let mut next = LayerPlacement::of_experts(map.shape(), cells);
            next.align(&base);
            base.weight_copies_to(&next, layer)
        })
        .collect()
}

/// Assigns spare slots to the hottest experts, then places replicas in descending order of
/// load, each on the least loaded rank with a free slot.
fn pack_layer(shape: MapShape, loads: &[f64]) -> Vec<Option<u16>> {
    let ranks = usize::from(shape.ranks);
    let rank_slots = usize::from(shape.slots);
    let replicas = count_replicas(shape, loads);
    let weight = |expert: usize| loads[expert] / f64::from(replicas[expert]);
    let mut by_weight = (0..loads.len()).collect::<Vec<_>>();
    by_weight.sort_by(|a, b| weight(*b).total_cmp(&weight(*a)));
    let mut cells = vec![Vec::with_capacity(rank_slots); ranks];
    let mut sums = vec![0.0_f64; ranks];
    for expert in by_weight {
        let index = u16::try_from(expert).expect("experts are counted in 16 bits");
        for _ in 0..replicas[expert] {
            let candidates = (0..ranks).filter(|it| cells[*it].len() < rank_slots);
            let candidates = candidates.filter(|it| !cells[*it].contains(&Some(index)));
            if let Some(rank) = candidates.min_by(|a, b| sums[*a].total_cmp(&sums[*b])) {
                cells[rank].push(Some(index));
                sums[rank] += weight(expert);
            }
        }
    }
    for rank in &mut cells {
        rank.resize(rank_slots, None);
    }
    cells.into_iter().flatten().collect()
}

/// The number of replicas of each expert: each spare slot goes to the expert with the highest
/// load per replica.
fn count_replicas(shape: MapShape, loads: &[f64]) -> Vec<u16> {
    let mut replicas = vec![1_u16; loads.len()];
    for _ in loads.len()..shape.layer_slots() {
        let candidates = (0..loads.len()).filter(|it| replicas[*it] < shape.ranks);
        let weight = |expert: usize| loads[expert] / f64::from(replicas[expert]);
        if let Some(hottest) = candidates.max_by(|a, b| weight(*a).total_cmp(&weight(*b))) {
            replicas[hottest] += 1;
        }
    }
    replicas
}
