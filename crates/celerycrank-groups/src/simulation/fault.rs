//! Fault injection, and the checks after the faults have ended.

use celerycrank_types::TimeSpan;
use rand::Rng;

use super::run::{Simulation, member_index};
use crate::{ExpertIndex, FormationState, MapChange, MemberIndex, MemberState, WeightCopy};

/// Longest duration of a temporary fault.
const MAX_FAULT_DURATION: TimeSpan = TimeSpan::from_secs(8);

impl Simulation {
    pub(super) fn maybe_start_attempt(&mut self) {
        if !self.occurs_within(self.plan.attempt_interval) {
            return;
        }
        self.start_attempt(0);
        if self.random_chance(self.plan.second_lead) {
            let second = self.rng.random_range(0..self.plan.members);
            self.start_attempt(second);
        }
    }

    fn start_attempt(&mut self, index: usize) {
        let Some(node) = self.current_node(member_index(index)) else {
            return;
        };
        if self.is_frozen(node) {
            return;
        }
        let Some(map) = self.nodes[node].agent.map().cloned() else {
            return;
        };
        let load = WeightCopy {
            layer: 0,
            slot: 2,
            expert: ExpertIndex(self.rng.random_range(1..4)),
        };
        let change = MapChange::new(&map, vec![load]);
        let outputs = self.nodes[node].agent.start(change, self.now);
        self.report.attempts += u64::from(!outputs.is_empty());
        self.apply_outputs(node, outputs);
    }

    fn current_node(&self, index: MemberIndex) -> Option<usize> {
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.index == index && !node.is_replaced)
    }

    pub(super) fn maybe_inject_fault(&mut self) {
        let Some(interval) = self.plan.fault_interval else {
            return;
        };
        if !self.occurs_within(interval) {
            return;
        }
        let index = member_index(self.rng.random_range(0..self.plan.members));
        let node = self
            .current_node(index)
            .expect("each member index has a VM");
        let until = self.now + self.random_span(MAX_FAULT_DURATION);
        let kinds = if self.plan.calm { 2 } else { 5 };
        let kind = self.rng.random_range(0..kinds);
        self.started_at = None;
        let label = match kind {
            0 => {
                self.started_at = Some(self.now);
                let agent_incarnation = self.next_agent_incarnation();
                self.nodes[node].restart(agent_incarnation, &self.settings, self.now);
                "agent_restart"
            }
            2 => {
                self.nodes[node].frozen_until = until;
                "agent_freeze"
            }
            3 => {
                self.nodes[node].stalled_until = until;
                "rank_stall"
            }
            1 => {
                self.nodes[node].is_replaced = true;
                self.nodes[node].frozen_until = until;
                self.started_at = Some(self.now);
                self.add_node(index);
                "vm_replace"
            }
            _ => {
                self.outage_until = until;
                "store_outage"
            }
        };
        *self.report.faults.entry(label.to_owned()).or_default() += 1;
    }

    /// Ends all injected faults; messages can still be lost or delayed.
    pub(super) fn end_faults(&mut self) {
        self.outage_until = self.now;
        for node in &mut self.nodes {
            node.frozen_until = self.now;
            node.stalled_until = self.now;
        }
    }

    pub(super) fn check_recovery(&self, steps: u64) {
        let seed = self.plan.seed;
        assert!(
            self.report.steps > steps,
            "seed {seed}: the group makes no progress"
        );
        let current = self.nodes.iter().filter(|node| !node.is_replaced);
        for node in current {
            let state = node.agent.formation().state();
            assert_eq!(
                state,
                FormationState::Inside,
                "seed {seed}: member {} is not in the newest incarnation",
                node.index
            );
            let member = node
                .agent
                .member()
                .expect("an agent in an incarnation has a switch member");
            assert_eq!(member.state(), MemberState::Steady, "seed {seed}");
            assert_eq!(
                member.incarnation(),
                self.stepped_incarnation,
                "seed {seed}"
            );
        }
    }
}
