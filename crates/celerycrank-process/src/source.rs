//! Where a process learns the configuration and the agents.

use std::{io, net::SocketAddr, path::PathBuf, sync::Arc};

use celerycrank_config::{Configuration, PlatformSettings};
use serde::Deserialize;

/// Where a process learns the configuration and the agents.
#[derive(Debug, Clone)]
pub enum DeploymentSource {
    /// A file that is read once, for trials without the platform's services.
    Static(PathBuf),
    /// The platform's key-value service and VM list.
    Platform(PlatformSettings),
}

/// A deployment that does not change.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaticDeployment {
    /// Both lists.
    pub configuration: Configuration,
    /// Where the agents listen for entries.
    pub agents: Vec<SocketAddr>,
}

/// Why a deployment cannot be learnt.
#[derive(Debug, displaydoc::Display)]
pub enum DeploymentError {
    /// cannot read {0}: {1}
    Read(PathBuf, io::Error),
    /// {0} is not a deployment: {1}
    Syntax(PathBuf, Arc<str>),
}

impl std::error::Error for DeploymentError {}

impl StaticDeployment {
    /// Reads a deployment from a JSON file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not a deployment.
    pub fn read(path: &PathBuf) -> Result<Self, DeploymentError> {
        let text =
            std::fs::read(path).map_err(|error| DeploymentError::Read(path.clone(), error))?;
        serde_json::from_slice(&text)
            .map_err(|error| DeploymentError::Syntax(path.clone(), error.to_string().into()))
    }
}
