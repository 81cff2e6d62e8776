//! Errors that keep a process from starting or running.

use std::io;

use celerycrank_process::{MetricError, TaskError};

/// An error that keeps a process from starting or running.
#[derive(Debug, displaydoc::Display)]
pub enum DirectError {
    /// cannot listen for callers: {0}
    Listen(io::Error),
    /// cannot listen for the balancer's probes: {0}
    Probe(io::Error),
    /// cannot listen for operators: {0}
    Admin(io::Error),
    /// cannot listen for peers: {0}
    Peer(io::Error),
    /// cannot catch signals: {0}
    Signal(io::Error),
    /// {0}
    Metric(MetricError),
    /// {0}
    Task(TaskError),
}

impl std::error::Error for DirectError {}

impl From<MetricError> for DirectError {
    fn from(error: MetricError) -> Self {
        Self::Metric(error)
    }
}
