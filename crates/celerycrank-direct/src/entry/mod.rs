//! The entry that sends requests straight to backend servers.

mod admin;
mod answer;
mod attempt;
mod backoff;
mod body;
mod caller;
mod dispatch;
mod follow;
mod load;
mod metrics;
mod pool;
mod probe;
mod process;
mod refusal;
mod request;
mod state;
mod stream;
mod tell;

pub use process::DirectEntryProcess;
