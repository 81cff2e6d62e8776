//! The agent process: the only way to its backend server.
//!
//! Because every order to the backend server passes through its agent, whether a request
//! was started is known in one place.

mod admin;
mod backend;
mod claims;
mod fault;
mod forward;
mod metrics;
mod order;
mod process;
mod reply;
mod run;
mod slots;
mod state;
mod strict;

pub use crate::{fault::AgentFault, process::AgentProcess};
