//! The agent beside a model engine.

mod process;

pub use process::RankAgentProcess;
