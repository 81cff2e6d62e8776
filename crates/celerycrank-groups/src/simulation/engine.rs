//! A simulated engine that ignores fencing numbers.

use std::sync::Arc;

use celerycrank_types::Incarnation;

use crate::{EngineOrder, EngineReport, MapId, StepAudit, StepNumber};

/// A simulated engine for the ranks of one agent. It executes every order, however old.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct SimulatedEngine {
    incarnation: Incarnation,
    map: MapId,
    next: StepNumber,
    hold: Option<StepNumber>,
    switch: Option<(StepNumber, MapId)>,
}

impl SimulatedEngine {
    /// The incarnation of the group in which the engine runs; 0 before the first.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The next step of the engine.
    #[must_use]
    pub const fn next(&self) -> StepNumber {
        self.next
    }

    /// Whether the engine has reached the step that it was ordered not to begin.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.hold.is_some_and(|hold| self.next >= hold)
    }

    /// Executes an order. The caller simulates the report on an order to load.
    pub fn execute(&mut self, order: &EngineOrder) -> Option<EngineReport> {
        match order {
            EngineOrder::Form { incarnation, map } => {
                *self = Self {
                    incarnation: *incarnation,
                    map: Arc::as_ref(map).id(),
                    ..Self::default()
                };
            }
            EngineOrder::Load { .. } => {}
            EngineOrder::Hold { attempt, first } => {
                self.hold = Some(*first);
                return Some(EngineReport::Held {
                    attempt: *attempt,
                    next: self.next,
                });
            }
            EngineOrder::Switch { first, map, .. } => {
                self.hold = None;
                self.switch = Some((*first, *map));
            }
            EngineOrder::Release { .. } => self.hold = None,
        }
        None
    }

    /// Begins the next step. The caller must have checked that the other ranks have reached it.
    pub fn begin(&mut self, audit: &mut StepAudit) {
        if let Some((first, map)) = self.switch
            && self.next >= first
        {
            self.map = map;
            self.switch = None;
        }
        audit.begin(self.incarnation, self.next, self.map);
        self.next = self.next.next();
    }
}
