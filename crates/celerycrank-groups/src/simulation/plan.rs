//! How a trial is set up, and what came of it.

use std::collections::BTreeMap;

use celerycrank_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// How a trial is set up. Probabilities are in thousandths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct SimulationPlan {
    /// Seed of every random choice.
    pub seed: u64,
    /// Agents in the group.
    #[builder(default = 4)]
    pub members: usize,
    /// How long faults and attempts go on.
    #[builder(default = TimeSpan::from_secs(60))]
    pub duration: TimeSpan,
    /// Mean time between two attempts.
    #[builder(default = TimeSpan::from_secs(2))]
    pub attempt_interval: TimeSpan,
    /// Mean time between two faults; absent for none.
    pub fault_interval: Option<TimeSpan>,
    /// Only agents restart and VMs are replaced; no other fault happens.
    #[builder(default)]
    pub calm: bool,
    /// Messages that are lost.
    #[builder(default)]
    pub loss: u32,
    /// Messages that arrive twice.
    #[builder(default)]
    pub double: u32,
    /// Messages, and calls to the key-value service, that are delayed by up to two seconds.
    #[builder(default)]
    pub late: u32,
    /// Orders that take up to the order timeout to reach the engine.
    #[builder(default)]
    pub late_order: u32,
    /// Loads of weights that fail.
    #[builder(default)]
    pub load_fault: u32,
    /// Answers of the key-value service that are lost.
    #[builder(default)]
    pub answer_loss: u32,
    /// Attempts that a second member makes at the same time.
    #[builder(default)]
    pub second_lead: u32,
}

/// What came of one or more trials.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SimulationReport {
    /// Trials.
    pub runs: u64,
    /// Steps that a group took.
    pub steps: u64,
    /// Attempts that a lead began.
    pub attempts: u64,
    /// Switches that some member learnt of first.
    pub commits: u64,
    /// Attempts in which some rank came to the first step before its verdict.
    pub waits: u64,
    /// Steps' time lost in those attempts.
    pub wait_time: TimeSpan,
    /// The longest of those waits.
    pub longest_wait: TimeSpan,
    /// Verdicts that did not come in time.
    pub overdue: u64,
    /// Votes of no by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Incarnations that were formed.
    pub formations: u64,
    /// Time from an agent's start to its group's first step, summed over the formations
    /// that followed one start with no other fault since.
    pub formation_time: TimeSpan,
    /// Formations in that sum.
    pub timed_formations: u64,
    /// The longest of those times.
    pub longest_formation: TimeSpan,
    /// Reads of the group's record.
    pub reads: u64,
    /// Writes of the group's record, those without effect included.
    pub writes: u64,
    /// Bytes of messages about switches.
    pub switch_bytes: u64,
    /// Bytes of messages about forming the group, beats included.
    pub formation_bytes: u64,
    /// Logical time of the trials, summed over members.
    pub member_time: TimeSpan,
}

impl SimulationReport {
    /// Adds the report of another trial.
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
