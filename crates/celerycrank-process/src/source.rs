//! Sources of the configuration and of the agents' addresses.

use std::{io, net::SocketAddr, path::PathBuf, sync::Arc};

use celerycrank_config::{Configuration, PlatformSettings};
use serde::Deserialize;

/// Source of the configuration and of the agents' addresses.
#[derive(Debug, Clone)]
pub enum DeploymentSource {
    /// A file that is read once, for trial runs without the platform's services.
    Static(PathBuf),
    /// The platform's key-value service and VM list.
    Platform(PlatformSettings),
}

/// A fixed deployment, read from a file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaticDeployment {
    /// The customer list and the plan list.
    pub configuration: Configuration,
    /// Addresses at which the agents accept connections of entries.
    pub agents: Vec<SocketAddr>,
}

/// Why a deployment file could not be loaded.
#[derive(Debug, displaydoc::Display)]
pub enum DeploymentError {
    /// cannot read {0}: {1}
    Read(PathBuf, io::Error),
    /// {0} is not a valid deployment: {1}
    Syntax(PathBuf, Arc<str>),
}

impl std::error::Error for DeploymentError {}

impl StaticDeployment {
    /// Reads a deployment from a JSON file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not a valid deployment.
    pub fn read(path: &PathBuf) -> Result<Self, DeploymentError> {
        let text =
            std::fs::read(path).map_err(|error| DeploymentError::Read(path.clone(), error))?;
        serde_json::from_slice(&text)
            .map_err(|error| DeploymentError::Syntax(path.clone(), error.to_string().into()))
    }
}
