//! The agent process: a proxy that is the only client of its backend server.
//!
//! Every request to the backend server passes through its agent, so the agent knows for
//! certain whether a request was started.

mod admin;
mod backend;
mod claims;
mod error;
mod forward;
mod idle;
mod metrics;
mod order;
mod pool;
mod process;
mod reply;
mod run;
mod slots;
mod state;

pub use crate::{error::AgentError, process::AgentProcess};
