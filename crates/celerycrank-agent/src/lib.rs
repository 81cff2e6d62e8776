//! The agent process: the only way to its backend server.
//!
//! Because every order to the backend server passes through its agent, whether a request
//! was started is known in one place.

mod admin;
mod backend;
mod claims;
mod eof_error;
mod error;
mod forward;
mod metrics;
mod order;
mod process;
mod reply;
mod run;
mod slots;
mod state;

pub use crate::{error::AgentError, process::AgentProcess};
