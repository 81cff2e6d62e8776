//! A fake engine that ignores fencing numbers.

use std::sync::Arc;

use celerycrank_types::Incarnation;

use crate::{EngineOrder, EngineReport, MapId, StepAudit, StepNumber};

/// The ranks of one agent. It obeys every order, however old.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct SimulatedEngine {
    incarnation: Incarnation,
    map: MapId,
    next: StepNumber,
    hold: Option<StepNumber>,
    switch: Option<(StepNumber, MapId)>,
}

impl SimulatedEngine {
    /// The incarnation in which the engine runs; 0 before the first.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The step that the engine begins next.
    #[must_use]
    pub const fn next(&self) -> StepNumber {
        self.next
    }

    /// Whether the engine has come to the step before which it holds.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.hold.is_some_and(|hold| self.next >= hold)
    }

    /// Obeys an order; an order to load is reported on by the caller.
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

    /// Begins the next step; the caller has checked that the other ranks are there.
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
