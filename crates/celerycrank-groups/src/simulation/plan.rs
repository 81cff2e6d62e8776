//! The configuration and the results of a simulation.

use std::collections::BTreeMap;

use celerycrank_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// The configuration of a simulation. Probabilities are in thousandths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct SimulationPlan {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The number of agents in the group.
    #[builder(default = 4)]
    pub members: usize,
    /// How long attempts are started and faults are injected.
    #[builder(default = TimeSpan::from_secs(60))]
    pub duration: TimeSpan,
    /// Mean time between two attempts.
    #[builder(default = TimeSpan::from_secs(2))]
    pub attempt_interval: TimeSpan,
    /// Mean time between two faults; `None` injects no faults.
    pub fault_interval: Option<TimeSpan>,
    /// Restricts the faults to agent restarts and VM replacements.
    #[builder(default)]
    pub calm: bool,
    /// Probability that a message is lost.
    #[builder(default)]
    pub loss: u32,
    /// Probability that a message is duplicated.
    #[builder(default)]
    pub double: u32,
    /// Probability that a message, or a call to the key-value service, is delayed by up to two
    /// seconds.
    #[builder(default)]
    pub late: u32,
    /// Probability that an order takes up to the order timeout to reach the engine.
    #[builder(default)]
    pub late_order: u32,
    /// Probability that an engine fails to load weights.
    #[builder(default)]
    pub load_fault: u32,
    /// Probability that an answer of the key-value service is lost.
    #[builder(default)]
    pub answer_loss: u32,
    /// Probability that a second member starts an attempt at the same time.
    #[builder(default)]
    pub second_lead: u32,
}

/// The results of one or more simulation runs.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SimulationReport {
    /// The number of simulation runs.
    pub runs: u64,
    /// Simulated step times in which at least one rank began a step.
    pub steps: u64,
    /// Attempts that a leader started.
    pub attempts: u64,
    /// Attempts that at least one member committed.
    pub commits: u64,
    /// Attempts in which a rank reached the first step before the verdict.
    pub waits: u64,
    /// Step time lost to those waits.
    pub wait_time: TimeSpan,
    /// The longest of those waits.
    pub longest_wait: TimeSpan,
    /// Verdict timeouts.
    pub overdue: u64,
    /// Votes of no, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Injected faults, by kind.
    pub faults: BTreeMap<String, u64>,
    /// Incarnations of the group that were formed.
    pub formations: u64,
    /// Time from an agent's start to the first step of the new incarnation, summed over the
    /// formations that had no other fault in between.
    pub formation_time: TimeSpan,
    /// The number of formations in that sum.
    pub timed_formations: u64,
    /// The longest of those times.
    pub longest_formation: TimeSpan,
    /// Reads of the group's record.
    pub reads: u64,
    /// Writes of the group's record, including those without effect.
    pub writes: u64,
    /// Bytes of switch protocol messages.
    pub switch_bytes: u64,
    /// Bytes of formation protocol messages, including heartbeats.
    pub formation_bytes: u64,
    /// Simulated time, summed over the members.
    pub member_time: TimeSpan,
}

impl SimulationReport {
    /// Adds the results of other runs.
    pub fn merge(&mut self, other: &Self) {
        self.runs += other.runs;
        self.steps += other.steps;
        self.attempts += other.attempts;
        self.commits += other.commits;
        self.waits += other.waits;
        self.wait_time = self.wait_time + other.wait_time;
        self.longest_wait = self.longest_wait.max(other.longest_wait);
        self.overdue += other.overdue;
        for (reason, count) in &other.refusals {
            *self.refusals.entry(reason.clone()).or_default() += count;
        }
        for (kind, count) in &other.faults {
            *self.faults.entry(kind.clone()).or_default() += count;
        }
        self.formations += other.formations;
        self.formation_time = self.formation_time + other.formation_time;
        self.timed_formations += other.timed_formations;
        self.longest_formation = self.longest_formation.max(other.longest_formation);
        self.reads += other.reads;
        self.writes += other.writes;
        self.switch_bytes += other.switch_bytes;
        self.formation_bytes += other.formation_bytes;
        self.member_time = self.member_time + other.member_time;
    }
}
