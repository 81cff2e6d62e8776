//! The entry that sends requests directly to backend servers.

mod admin;
mod admission;
mod answer;
mod attempt;
mod backoff;
mod body;
mod caller;
mod clearance;
mod crash;
mod departure;
mod dispatch;
mod evacuation;
mod limits;
mod live;
mod load;
mod metrics;
mod outcome;
mod own_head;
mod pool;
mod probe;
mod process;
mod progress;
mod prompt_cache;
mod quarantine;
mod refusal;
mod request;
mod resume;
mod retry;
mod sending;
mod space;
mod state;
mod stop;
mod store;
mod stream;
mod takeover;

pub use process::DirectEntryProcess;
