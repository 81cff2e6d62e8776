//! Randomized simulation of a group's protocols with injected faults, in simulated time.
//!
//! The environment is simulated: an engine that ignores fencing numbers, a network that loses,
//! duplicates and reorders messages, and a key-value service with outages and lost answers.
//! [`StepAudit`](crate::StepAudit) asserts the safety invariant whenever a rank begins a step.

mod engine;
mod fault;
mod node;
mod plan;
mod run;
mod steps;
mod store;

pub use self::{
    engine::SimulatedEngine,
    plan::{SimulationPlan, SimulationReport},
    run::Simulation,
};
