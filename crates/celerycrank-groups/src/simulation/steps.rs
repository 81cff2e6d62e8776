//! The lockstep execution of the simulated engines, and statistics on their waits.

use celerycrank_types::{Incarnation, TimeSpan};

use super::{
    node::NodeInput,
    run::{STEP_TIME, Simulation, SimulationEvent, member_index},
};
use crate::EngineReport;

impl Simulation {
    /// Begins the next step on each engine whose peers have begun the previous one.
    pub(super) fn step_engines(&mut self) {
        let ready_nodes = (0..self.nodes.len()).filter(|node| self.can_begin(*node));
        let ready_nodes = ready_nodes.collect::<Vec<_>>();
        let farthest = ready_nodes
            .iter()
            .map(|node| self.nodes[*node].engine.next())
            .max();
        for node in ready_nodes {
            let stepping = &mut self.nodes[node];
            stepping.engine.begin(&mut self.audit);
            let report = EngineReport::Progress {
                incarnation: stepping.engine.incarnation(),
                next: stepping.engine.next(),
            };
            let input = NodeInput::Report(stepping.agent_incarnation, report);
            self.record_first_step(node);
            let delay = self.random_delay();
            self.schedule(delay, SimulationEvent::Input(node, input));
        }
        if farthest.is_some() {
            self.report.steps += 1;
        }
        self.record_waits();
    }

    fn record_first_step(&mut self, node: usize) {
        let incarnation = self.nodes[node].engine.incarnation();
        if incarnation <= self.stepped_incarnation {
            return;
        }
        self.stepped_incarnation = incarnation;
        if let Some(started_at) = self.started_at.take() {
            let span = self.now.since(started_at);
            self.report.formation_time = self.report.formation_time + span;
            self.report.longest_formation = self.report.longest_formation.max(span);
            self.report.timed_formations += 1;
        }
    }

    /// Records the time in which a rank waits for a verdict, and the number of such attempts.
    fn record_waits(&mut self) {
        let current = self.stepped_incarnation;
        let held = self.nodes.iter().map(|node| &node.engine);
        let held = held.filter(|engine| engine.incarnation() == current && engine.is_held());
        let Some(step) = held.map(|engine| engine.next().0).max() else {
            self.current_wait = TimeSpan::ZERO;
            return;
        };
        self.current_wait = self.current_wait + STEP_TIME;
        self.report.wait_time = self.report.wait_time + STEP_TIME;
        self.report.longest_wait = self.report.longest_wait.max(self.current_wait);
        if self.counted_waits.insert((current, step)) {
            self.report.waits += 1;
        }
    }

    fn can_begin(&self, node: usize) -> bool {
        let engine = &self.nodes[node].engine;
        let is_formed = engine.incarnation() != Incarnation::default();
        let is_stalled = self.nodes[node].stalled_until > self.now;
        is_formed && !is_stalled && !engine.is_held() && self.peers_are_ready(node)
    }

    /// Whether every member has an engine that is in the same incarnation and at least as far.
    fn peers_are_ready(&self, node: usize) -> bool {
        let engine = &self.nodes[node].engine;
        (0..self.plan.members).map(member_index).all(|index| {
            self.nodes.iter().any(|peer| {
                peer.index == index
                    && peer.engine.incarnation() == engine.incarnation()
                    && peer.engine.next() >= engine.next()
            })
        })
    }
}
