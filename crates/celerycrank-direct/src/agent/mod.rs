//! The agent beside a model engine.
//!
//! It tells the entries the engine's load, and moves experts between the ranks of the
//! engine's group together with the agents beside the other ranks.

mod admin;
mod discovery;
mod engine;
mod load;
mod metrics;
mod order;
mod peer;
mod poll;
mod process;
mod state;

pub use process::RankAgentProcess;
