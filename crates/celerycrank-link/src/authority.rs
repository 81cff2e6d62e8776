//! A certificate authority (CA) that issues the credentials of a test deployment.

use std::{fmt, sync::Arc};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair, KeyUsagePurpose,
};

use crate::{LinkError, endpoint::SERVER_NAME};

/// The certificate authority that signs the certificates of one deployment.
pub struct DeploymentAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl fmt::Debug for DeploymentAuthority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DeploymentAuthority")
            .finish_non_exhaustive()
    }
}

/// Certificate and private key of one process, as PEM.
pub struct IssuedCredentials {
    /// The certificate.
    pub certificate: String,
    /// The private key; its holder is authenticated as a member of the deployment.
    pub key: String,
}

impl fmt::Debug for IssuedCredentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("IssuedCredentials").finish_non_exhaustive()
    }
}

impl DeploymentAuthority {
    /// Generates an authority with a self-signed certificate.
    ///
    /// # Errors
    ///
    /// Fails if the system's random number generator fails.
    pub fn generate() -> Result<Self, LinkError> {
        let mut params = CertificateParams::default();
        params
            .distinguished_name
            .push(DnType::CommonName, "celerycrank authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let key = KeyPair::generate().map_err(|error| credentials_error(&error))?;
        let issuer =
            CertifiedIssuer::self_signed(params, key).map_err(|error| credentials_error(&error))?;
        Ok(Self { issuer })
    }

    /// The authority's certificate as PEM.
    #[must_use]
    pub fn certificate(&self) -> String {
        self.issuer.pem()
    }

    /// Issues a certificate and a private key for a process.
    ///
    /// # Errors
    ///
    /// Fails if the system's random number generator fails.
    pub fn issue(&self, name: &str) -> Result<IssuedCredentials, LinkError> {
        let mut params = CertificateParams::new(vec![SERVER_NAME.to_owned()])
            .map_err(|error| credentials_error(&error))?;
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().map_err(|error| credentials_error(&error))?;
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(|error| credentials_error(&error))?;
        Ok(IssuedCredentials {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

fn credentials_error(error: &rcgen::Error) -> LinkError {
    LinkError::Credentials(Arc::from(error.to_string()))
}
