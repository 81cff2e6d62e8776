//! The entry process: accepts callers and hands requests to agents.
//!
//! Every request ends in exactly one outcome: answered, not run with its reason, or
//! unknown. `Not run` is told only on proof.

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
mod state;

pub use crate::{error::EntryError, process::EntryProcess, prompt::prompt_prefix};
