//! A runtime check of the group's safety invariant: all ranks use one map in each step.

use std::collections::BTreeMap;

use celerycrank_types::Incarnation;

use crate::{MapId, StepNumber};

/// The map with which each step of each incarnation began.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct StepAudit {
    maps: BTreeMap<(Incarnation, StepNumber), MapId>,
}

/// The number of steps that an audit retains.
const MAX_STEPS: usize = 4_096;

impl StepAudit {
    /// Records the map with which a rank begins a step.
    ///
    /// # Panics
    ///
    /// Panics if another rank began the same step with a different map.
    pub fn begin(&mut self, incarnation: Incarnation, step: StepNumber, map: MapId) {
        let recorded = *self.maps.entry((incarnation, step)).or_insert(map);
        assert_eq!(
            recorded, map,
            "two maps in step {step} of incarnation {incarnation}"
        );
        if self.maps.len() > MAX_STEPS {
            self.maps.pop_first();
        }
    }
}
