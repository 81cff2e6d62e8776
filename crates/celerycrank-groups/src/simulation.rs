//! Random runs of a group's protocol with faults, at logical time.
//!
//! Small fakes stand at the interfaces: an engine that ignores fencing numbers, a network
//! that loses, doubles and reorders, and a key-value service with outages and lost answers.
//! The invariant is asserted by [`StepAudit`](crate::StepAudit) whenever a rank begins a step.

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
