//! Deterministic simulation of the request logic, with random faults.
//!
//! A run has a few entries and agents, one fake key-value service, and a fake backend server
//! per agent, which exchange messages in logical time. A run is fully determined by its plan
//! and its seed.

mod agent;
mod backend;
mod caller;
mod claims;
mod entry;
mod fault;
mod invariants;
mod key_value;
mod message;
mod plan;
mod run;
mod trace;

use celerycrank_types::RequestOutcome;

use self::run::ModelRun;

/// Receives the lines of a run's trace.
type LineSink<'trace> = &'trace mut dyn FnMut(&str);
pub use self::{
    caller::{CallPlan, CallRule, KeyNumber},
    fault::{AgentIndex, EntryIndex, Fault, FaultRates, MessageKind, PlannedFault},
    plan::ModelPlan,
};

/// Counters of a run.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RunReport {
    /// Requests sent by callers.
    pub requests: u64,
    /// Requests whose complete answer was delivered.
    pub answered: u64,
    /// Requests reported as not run.
    pub not_run: u64,
    /// Requests reported as unknown.
    pub unknown: u64,
    /// Requests lost when their entry was killed.
    pub dropped: u64,
    /// Attempts of the requests that got an outcome.
    pub sends: u64,
    /// Calls started by a backend server.
    pub starts: u64,
    /// Retries for any reason.
    pub retried: u64,
    /// Resumptions of answers.
    pub resumed: u64,
    /// Planned faults that were injected.
    pub faults: u64,
    /// Events of any kind.
    pub events: u64,
    /// Writes that took effect in the key-value service.
    pub key_value_writes: u64,
    /// Operations carried out by the key-value service.
    pub key_value_operations: u64,
}

impl RunReport {
    /// Adds the counters of another run.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.dropped += other.dropped;
        self.sends += other.sends;
        self.starts += other.starts;
        self.retried += other.retried;
        self.resumed += other.resumed;
        self.faults += other.faults;
        self.events += other.events;
        self.key_value_writes += other.key_value_writes;
        self.key_value_operations += other.key_value_operations;
    }

    fn count(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Answered => self.answered += 1,
            RequestOutcome::NotRun(_) => self.not_run += 1,
            RequestOutcome::Unknown(_) => self.unknown += 1,
        }
    }
}

/// Runs the plan drawn from a seed.
///
/// # Panics
///
/// Panics if an invariant is violated.
#[must_use]
pub fn run_seed(seed: u64) -> RunReport {
    ModelRun::new(seed, &ModelPlan::draw(seed), None).run()
}

/// Runs the plan drawn from a seed and passes each line of the trace to `sink`.
///
/// # Panics
///
/// Panics if an invariant is violated.
pub fn trace_seed(seed: u64, sink: &mut dyn FnMut(&str)) -> RunReport {
    trace_plan(seed, &ModelPlan::draw(seed), sink)
}

/// Runs a plan and passes each line of the trace to `sink`.
///
/// # Panics
///
/// Panics if an invariant is violated.
pub fn trace_plan(seed: u64, plan: &ModelPlan, sink: &mut dyn FnMut(&str)) -> RunReport {
    ModelRun::new(seed, plan, Some(sink)).run()
}
