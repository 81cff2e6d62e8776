//! The processes that stand straight before backend servers.
//!
//! An entry takes requests of callers and sends each to a backend server by itself. An agent
//! beside a model engine tells the entries its load, and moves experts between the ranks of
//! its lock-step group together with the other agents.

mod agent;
mod entry;
mod error;
mod message;
mod signal;

pub use crate::{agent::RankAgentProcess, entry::DirectEntryProcess, error::DirectError};
