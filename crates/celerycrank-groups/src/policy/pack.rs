//! A full repack: the evenest map for given loads, whatever is loaded now.

use super::layer::LayerPlacement;
use crate::{ExpertMap, LoadTable, MapShape, SlotLoad};

/// The loads that lead from a map to the evenest one for the loads given.
#[must_use]
pub fn full_repack(map: &ExpertMap, loads: &LoadTable) -> Vec<SlotLoad> {
    (0..map.shape().layers)
        .flat_map(|layer| {
            let base = LayerPlacement::of_map(map, usize::from(layer));
            let cells = pack_layer(map.shape(), loads.layer(usize::from(layer)));
            let mut next = LayerPlacement::of_cells(map.shape(), cells);
            next.align(&base);
            base.loads_to(&next, layer)
        })
        .collect()
}

/// Gives spare slots to the hottest experts, then deals replicas out, heaviest first, each
/// to the lightest rank with room.
fn pack_layer(shape: MapShape, loads: &[f64]) -> Vec<Option<u16>> {
    let ranks = usize::from(shape.ranks);
    let room = usize::from(shape.slots);
    let replicas = replicate(shape, loads);
    let weight = |expert: usize| loads[expert] / f64::from(replicas[expert]);
    let mut order = (0..loads.len()).collect::<Vec<_>>();
    order.sort_by(|a, b| weight(*b).total_cmp(&weight(*a)));
    let mut cells = vec![Vec::with_capacity(room); ranks];
    let mut sums = vec![0.0_f64; ranks];
    for expert in order {
        let name = u16::try_from(expert).expect("experts are counted in 16 bits");
        for _ in 0..replicas[expert] {
            let open = (0..ranks).filter(|it| cells[*it].len() < room);
            let open = open.filter(|it| !cells[*it].contains(&Some(name)));
            if let Some(rank) = open.min_by(|a, b| sums[*a].total_cmp(&sums[*b])) {
                cells[rank].push(Some(name));
                sums[rank] += weight(expert);
            }
        }
    }
    for rank in &mut cells {
        rank.resize(room, None);
    }
    cells.into_iter().flatten().collect()
}

/// How many replicas each expert gets: each spare slot goes to the highest load a replica.
fn replicate(shape: MapShape, loads: &[f64]) -> Vec<u16> {
    let mut replicas = vec![1_u16; loads.len()];
    for _ in loads.len()..shape.layer_slots() {
        let open = (0..loads.len()).filter(|it| replicas[*it] < shape.ranks);
        let weight = |expert: usize| loads[expert] / f64::from(replicas[expert]);
        if let Some(hottest) = open.max_by(|a, b| weight(*a).total_cmp(&weight(*b))) {
            replicas[hottest] += 1;
        }
    }
    replicas
}
