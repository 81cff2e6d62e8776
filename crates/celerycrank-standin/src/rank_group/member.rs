//! The ranks driven by one agent of the group.

use std::sync::Arc;

use celerycrank_groups::{
    AttemptId, EngineOrder, EngineReport, ExpertMap, MapChange, MapId, StepAudit, StepNumber,
    simulation::SimulatedEngine,
};
use celerycrank_types::Incarnation;
use serde::Serialize;

/// Number of steps between two progress reports.
const STEPS_PER_PROGRESS_REPORT: u64 = 16;

/// Maximum number of reports kept for the agent; at this limit the older half is dropped.
const MAX_REPORTS: usize = 1_024;

/// A report with its sequence number.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct NumberedReport {
    sequence: u64,
    report: EngineReport,
}

/// The ranks of an agent.
#[derive(Debug)]
pub(crate) struct GroupMember {
    index: usize,
    members: usize,
    engine: SimulatedEngine,
    /// The expert map in use; `None` before the group is formed.
    map: Option<ExpertMap>,
    /// Map changes whose weight copies were ordered since the group was formed or last switched.
    changes: Vec<Arc<MapChange>>,
    /// The ordered switch: the first step that uses the next map, and that map.
    switch: Option<(StepNumber, MapId)>,
    highest_fencing_number: u64,
    sequence: u64,
    reports: Vec<NumberedReport>,
}

impl GroupMember {
    pub(crate) fn new(index: usize, members: usize) -> Self {
        Self {
            index,
            members,
            engine: SimulatedEngine::default(),
            map: None,
            changes: Vec::new(),
            switch: None,
            highest_fencing_number: 0,
            sequence: 0,
            reports: Vec::new(),
        }
    }

    /// Returns whether an order with this fencing number is accepted, and if so updates the
    /// highest number seen.
    pub(crate) fn accept_fencing_number(&mut self, number: u64, fencing: bool) -> bool {
        if fencing && number < self.highest_fencing_number {
            return false;
        }
        self.highest_fencing_number = self.highest_fencing_number.max(number);
        true
    }

    /// Executes an order and returns how many experts' weights have to be copied for it.
    pub(crate) fn execute(&mut self, order: &EngineOrder) -> usize {
        if let Some(report) = self.engine.execute(order) {
            self.push_report(report);
        }
        match order {
            EngineOrder::Form { map, .. } => {
                self.map = Some(Arc::as_ref(map).clone());
                self.changes.clear();
                self.switch = None;
            }
            EngineOrder::Load { change, .. } => {
                self.changes.push(Arc::clone(change));
                return self.count_own_loads(change);
            }
            EngineOrder::Switch { first, map, .. } => self.switch = Some((*first, *map)),
            EngineOrder::Hold { .. } | EngineOrder::Release { .. } => {}
        }
        0
    }

    /// The incarnation and the next step of the ranks; `None` before the group is formed.
    pub(crate) fn next_step(&self) -> Option<(Incarnation, StepNumber)> {
        self.map.as_ref()?;
        Some((self.engine.incarnation(), self.engine.next()))
    }

    pub(crate) fn is_held(&self) -> bool {
        self.engine.is_held()
    }

    /// Begins the next step; a switch that is due takes effect first.
    pub(crate) fn begin_step(&mut self, audit: &mut StepAudit) {
        let step = self.engine.next();
        if let Some((first, next)) = self.switch
            && step >= first
        {
            self.switch_map(next);
        }
        self.engine.begin(audit);
        if step.0.is_multiple_of(STEPS_PER_PROGRESS_REPORT) {
            self.push_report(EngineReport::Progress {
                incarnation: self.engine.incarnation(),
                next: self.engine.next(),
            });
        }
    }

    /// The ratio of the highest to the mean rank load, in the worst layer.
    pub(crate) fn skew(&self, popularity: &[u32]) -> f64 {
        let Some(map) = &self.map else {
            return 1.0;
        };
        let layers = 0..usize::from(map.shape().layers);
        let skews = layers.map(|layer| compute_layer_skew(map, layer, popularity));
        skews.fold(1.0, f64::max)
    }

    pub(crate) fn report_load(&mut self, attempt: AttemptId, failed: bool) {
        self.push_report(if failed {
            EngineReport::LoadFailed(attempt)
        } else {
            EngineReport::Loaded(attempt)
        });
    }

    pub(crate) fn reports_after(&self, sequence: u64) -> Vec<NumberedReport> {
        let reports = self.reports.iter();
        reports.filter(|r| r.sequence > sequence).copied().collect()
    }

    fn switch_map(&mut self, next: MapId) {
        self.switch = None;
        let found = self.changes.iter().find(|change| change.next == next);
        if let (Some(map), Some(change)) = (&self.map, found) {
            self.map = Some(map.successor(&change.loads));
        }
        self.changes.clear();
    }

    /// Counts the weight copies of a map change that go to ranks of this member.
    fn count_own_loads(&self, change: &MapChange) -> usize {
        let Some(map) = &self.map else {
            return 0;
        };
        let shape = map.shape();
        let is_own = |slot: u16| {
            let rank = usize::from(slot / shape.slots);
            rank * self.members / usize::from(shape.ranks) == self.index
        };
        change.loads.iter().filter(|load| is_own(load.slot)).count()
    }

    fn push_report(&mut self, report: EngineReport) {
        self.sequence += 1;
        if self.reports.len() >= MAX_REPORTS {
            self.reports.drain(..MAX_REPORTS / 2);
        }
        self.reports.push(NumberedReport {
            sequence: self.sequence,
            report,
        });
    }
}

/// Computes the skew of a layer; replicas of an expert share its load equally.
fn compute_layer_skew(map: &ExpertMap, layer: usize, popularity: &[u32]) -> f64 {
    let shape = map.shape();
    let slots = 0..shape.layer_slots();
    let experts = slots.map(|slot| map.expert_at(layer, slot));
    let slot_experts = experts.collect::<Vec<_>>();
    let mut replicas = vec![0_u32; usize::from(shape.experts)];
    for expert in slot_experts.iter().flatten() {
        replicas[usize::from(expert.0)] += 1;
    }
    let mut loads = vec![0.0; usize::from(shape.ranks)];
    for (slot, expert) in slot_experts.iter().enumerate() {
        let Some(expert) = expert else {
            continue;
        };
        let index = usize::from(expert.0);
        let weight = popularity.get(index).copied().unwrap_or(1);
        let rank = slot / usize::from(shape.slots);
        loads[rank] += f64::from(weight) / f64::from(replicas[index]);
    }
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    if mean == 0.0 {
        return 1.0;
    }
    loads.into_iter().fold(0.0, f64::max) / mean
}
