//! Small fakes and a seeded scheduler for random runs of the request logic.
//!
//! A run has a few entries and agents, one fake of the key-value service, and a fake
//! backend server beside each agent, which exchange messages in logical time. Whatever
//! the run does follows from its seed.

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

/// Takes the lines of a session.
type LineSink<'session> = &'session mut dyn FnMut(&str);
pub use self::{
    caller::{CallPlan, CallRule, KeyNumber},
    fault::{AgentIndex, EntryIndex, Fault, FaultRates, MessageKind, PlannedFault},
    plan::ModelPlan,
};

/// What a run counted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RunReport {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests whose whole answer was delivered.
    pub answered: u64,
    /// Requests told as not run.
    pub not_run: u64,
    /// Requests told as unknown.
    pub unknown: u64,
    /// Requests whose entry died.
    pub dropped: u64,
    /// Sendings of the requests that got an outcome.
    pub sends: u64,
    /// Calls that a backend server began.
    pub starts: u64,
    /// Retries, of any reason.
    pub retried: u64,
    /// Resumptions of an answer.
    pub resumed: u64,
    /// Planned faults that happened.
    pub faults: u64,
    /// Events of any kind.
    pub events: u64,
    /// Writes that the key-value service carried out.
    pub key_value_writes: u64,
    /// Operations that the key-value service carried out.
    pub key_value_operations: u64,
}

impl RunReport {
    /// Adds what another run counted.
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

/// Runs the plan that follows from a seed.
///
/// # Panics
///
/// Panics if an invariant is broken.
#[must_use]
pub fn run_seed(seed: u64) -> RunReport {
    ModelRun::new(seed, &ModelPlan::draw(seed), None).run()
}

/// Runs the plan that follows from a seed, and hands over each line of its session.
///
/// # Panics
///
/// Panics if an invariant is broken.
pub fn trace_seed(seed: u64, sink: &mut dyn FnMut(&str)) -> RunReport {
    trace_plan(seed, &ModelPlan::draw(seed), sink)
}

/// Runs a plan, and hands over each line of its session.
///
/// # Panics
///
/// Panics if an invariant is broken.
pub fn trace_plan(seed: u64, plan: &ModelPlan, sink: &mut dyn FnMut(&str)) -> RunReport {
    ModelRun::new(seed, plan, Some(sink)).run()
}
