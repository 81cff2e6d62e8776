//! Errors of the entry process.

use std::io;

use celerycrank_link::LinkError;
use celerycrank_process::{DeploymentError, MetricError};

/// An error that prevents an entry from starting or running.
#[derive(Debug, displaydoc::Display)]
pub enum EntryError {
    /// {0}
    Link(LinkError),
    /// {0}
    Deployment(DeploymentError),
    /// {0}
    Metric(MetricError),
    /// cannot listen for callers: {0}
    Listen(io::Error),
    /// cannot listen for the admin pages: {0}
    Admin(io::Error),
    /// cannot catch signals: {0}
    Signal(io::Error),
}

impl std::error::Error for EntryError {}

impl From<LinkError> for EntryError {
    fn from(error: LinkError) -> Self {
        Self::Link(error)
    }
}

impl From<DeploymentError> for EntryError {
    fn from(error: DeploymentError) -> Self {
        Self::Deployment(error)
    }
}

impl From<MetricError> for EntryError {
    fn from(error: MetricError) -> Self {
        Self::Metric(error)
    }
}
