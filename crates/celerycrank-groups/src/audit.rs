//! The invariant of a group, checked while it runs: one map in each step.

use std::collections::BTreeMap;

use celerycrank_types::Incarnation;

use crate::{MapId, StepNumber};

/// Which map each step of each incarnation was begun with.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct StepAudit {
    maps: BTreeMap<(Incarnation, StepNumber), MapId>,
}

/// Steps that an audit remembers.
const MAX_STEPS: usize = 4_096;

impl StepAudit {
    /// Records that some rank begins a step with a map.
    ///
    /// # Panics
    ///
    /// Panics if another rank began the same step with another map.
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
