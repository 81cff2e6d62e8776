//! The TLS credentials by which a process proves that it belongs to the deployment.

use std::{
    fmt,
    path::{Path, PathBuf},
    sync::Arc,
};

use ring::hmac;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};

use crate::LinkError;

/// Certificate and private key of a process, and the certificate of the certificate authority
/// (CA) that must have signed the certificates of its peers.
pub struct LinkCredentials {
    authority: CertificateDer<'static>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl fmt::Debug for LinkCredentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkCredentials").finish_non_exhaustive()
    }
}

impl LinkCredentials {
    /// Reads the certificates and the private key from PEM files.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or does not contain a PEM section of the expected kind.
    pub fn load(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, LinkError> {
        Ok(Self {
            authority: read_pem(authority)?,
            chain: vec![read_pem(certificate)?],
            key: read_pem(key)?,
        })
    }

    /// TLS configuration for outgoing connections.
    pub(crate) fn client_config(&self, protocol: &[u8]) -> Result<ClientConfig, LinkError> {
        let mut config =
            ClientConfig::builder_with_provider(Arc::new(rustls::crypto::ring::default_provider()))
                .with_protocol_versions(&[&rustls::version::TLS13])
                .map_err(|error| credentials_error(&error))?
                .with_root_certificates(self.roots()?)
                .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
                .map_err(|error| credentials_error(&error))?;
        config.alpn_protocols = vec![protocol.to_vec()];
        Ok(config)
    }

    /// TLS configuration for incoming connections.
    pub(crate) fn server_config(&self, protocol: &[u8]) -> Result<ServerConfig, LinkError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.roots()?),
            Arc::clone(&provider),
        )
        .build()
        .map_err(|error| LinkError::Credentials(error.to_string().into()))?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| credentials_error(&error))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| credentials_error(&error))?;
        config.alpn_protocols = vec![protocol.to_vec()];
        Ok(config)
    }

    /// The key from which QUIC stateless reset tokens are derived.
    ///
    /// It is derived from the private key, so that a restarted process can reset the
    /// connections of its previous incarnation immediately.
    pub(crate) fn reset_key(&self) -> hmac::Key {
        let seed = hmac::Key::new(hmac::HMAC_SHA256, self.key.secret_der());
        let tag = hmac::sign(&seed, b"celerycrank stateless reset");
        hmac::Key::new(hmac::HMAC_SHA256, tag.as_ref())
    }

    fn roots(&self) -> Result<RootCertStore, LinkError> {
        let mut roots = RootCertStore::empty();
        roots
            .add(self.authority.clone())
            .map_err(|error| credentials_error(&error))?;
        Ok(roots)
    }
}

fn read_pem<T: PemObject>(path: &Path) -> Result<T, LinkError> {
    T::from_pem_file(path)
        .map_err(|error| LinkError::KeyFile(PathBuf::from(path), format!("{error:?}").into()))
}

fn credentials_error(error: &rustls::Error) -> LinkError {
    LinkError::Credentials(error.to_string().into())
}
