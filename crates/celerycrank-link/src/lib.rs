//! Mutually authenticated QUIC connections between the processes.
//!
//! Both ends of a connection prove a certificate of the deployment's authority, and the
//! ALPN name carries the protocol version, so that a peer of another deployment or
//! version is refused before a message is read.

mod authority;
mod endpoint;
mod error;
mod keys;
mod pool;
mod serve;
mod stream;

pub use crate::{
    authority::{DeploymentAuthority, IssuedKeys},
    endpoint::{IncomingLink, LinkEndpoint},
    error::{LinkError, StreamError},
    keys::LinkKeys,
    pool::{LinkPool, PeerLink},
    serve::serve_streams,
    stream::{MessageReceiver, MessageSender},
};
