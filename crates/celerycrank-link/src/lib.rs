//! Mutually authenticated QUIC connections between the processes.
//!
//! Both ends of a connection prove a certificate of the deployment's authority, and the
//! ALPN name carries the protocol version, so that a peer of another deployment or
//! version is refused before a message is read.

mod authority;
mod endpoint;
mod fault;
mod keys;
mod pool;
mod serve;
mod stream;

pub use crate::{
    authority::{DeploymentAuthority, IssuedKeys},
    endpoint::{LinkEndpoint, LinkIncoming},
    fault::{LinkFault, StreamFault},
    keys::LinkKeys,
    pool::{LinkPool, PeerLink},
    serve::serve_streams,
    stream::{MessageReceiver, MessageSender},
};
