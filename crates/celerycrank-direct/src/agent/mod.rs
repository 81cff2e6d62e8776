//! The agent that runs alongside a model engine, which is a backend server.
//!
//! It reports the engine's load to the entries and, together with the agents of the other
//! ranks, moves experts between the ranks of the engine's group.

mod admin;
mod discovery;
mod engine;
mod load;
mod metrics;
mod output;
mod peer;
mod poll;
mod process;
mod relay;
mod sender;
mod state;

pub use process::RankAgentProcess;
