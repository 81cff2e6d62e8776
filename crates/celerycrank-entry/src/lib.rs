//! The entry process: accepts requests from callers and routes them to agents.
//!
//! Every request has exactly one outcome: answered, not run with a reason, or unknown. `Not
//! run` is reported only if it is proven that the request was not run.

mod accept;
mod admin;
mod agents;
mod allowance;
mod answer;
mod body;
mod choose;
mod dispatch;
mod error;
mod forward;
mod metrics;
mod peer;
mod probe;
mod process;
mod prompt;
mod refusal;
mod resolve;
mod space;
mod state;

pub use crate::{error::EntryError, process::EntryProcess, prompt::prompt_prefix};
