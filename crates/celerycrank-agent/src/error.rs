//! Errors of the agent process.

use std::io;

use celerycrank_link::LinkError;
use celerycrank_process::{DeploymentError, MetricError};

/// An error that prevents an agent from starting or running.
#[derive(Debug, displaydoc::Display)]
pub enum AgentError {
    /// {0}
    Link(LinkError),
    /// {0}
    Deployment(DeploymentError),
    /// {0}
    Metric(MetricError),
    /// cannot listen for the admin pages: {0}
    Admin(io::Error),
    /// cannot catch signals: {0}
    Signal(io::Error),
}

impl std::error::Error for AgentError {}

impl From<LinkError> for AgentError {
    fn from(error: LinkError) -> Self {
        Self::Link(error)
    }
}

impl From<DeploymentError> for AgentError {
    fn from(error: DeploymentError) -> Self {
        Self::Deployment(error)
    }
}

impl From<MetricError> for AgentError {
    fn from(error: MetricError) -> Self {
        Self::Metric(error)
    }
}
