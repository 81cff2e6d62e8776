//! The processes that talk to backend servers directly.
//!
//! A direct entry accepts requests from callers and sends each one to a backend server itself.
//! A rank agent runs alongside a model engine, reports the engine's load to the entries and,
//! together with the other agents, moves experts between the ranks of its lock-step group.

mod agent;
mod entry;
mod error;
mod message;
mod signal;

pub use crate::{agent::RankAgentProcess, entry::DirectEntryProcess, error::DirectError};
