//! Mutually authenticated QUIC connections between the processes.
//!
//! Both ends authenticate with a certificate signed by the deployment's certificate authority
//! (CA), and the ALPN name carries the protocol version. A peer of another deployment or
//! protocol version is therefore rejected during the handshake, before any message is read.

mod authority;
mod credentials;
mod endpoint;
mod error;
mod pool;
mod serve;
mod stream;

pub use crate::{
    authority::{DeploymentAuthority, IssuedCredentials},
    credentials::LinkCredentials,
    endpoint::{IncomingLink, LinkEndpoint},
    error::{LinkError, StreamError},
    pool::{LinkPool, PeerLink},
    serve::serve_streams,
    stream::{MessageReceiver, MessageSender},
};
