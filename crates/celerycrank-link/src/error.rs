//! Why a link or one of its streams cannot be used.

use std::{io, path::PathBuf, sync::Arc};

use celerycrank_types::RefusalReason;
use celerycrank_wire::WireFault;
use quinn::{ConnectionError, TransportErrorCode};

/// TLS alert of a peer that shares no ALPN name.
const ALERT_NO_APPLICATION_PROTOCOL: u8 = 120;

/// Why a link could not be set up.
#[derive(Debug, Clone, displaydoc::Display)]
pub enum LinkError {
    /// cannot read {0}: {1}
    KeyFile(PathBuf, Arc<str>),
    /// the keys cannot be used: {0}
    Keys(Arc<str>),
    /// cannot listen for peers: {0}
    Listen(Arc<io::Error>),
    /// the peer did not answer within the connect timeout
    Timeout,
    /// the peer speaks another protocol version
    ProtocolVersion,
    /// the connection failed: {0}
    Connection(Arc<ConnectionError>),
    /// the peer's introduction failed: {0}
    Hello(StreamError),
}

impl std::error::Error for LinkError {}

impl LinkError {
    /// The refusal that this fault amounts to for a request that was never sent.
    #[must_use]
    pub const fn refusal_reason(&self) -> RefusalReason {
        match self {
            Self::ProtocolVersion | Self::Hello(StreamError::Wire(_)) => {
                RefusalReason::ProtocolVersion
            }
            _ => RefusalReason::AgentUnreachable,
        }
    }
}

impl From<ConnectionError> for LinkError {
    fn from(error: ConnectionError) -> Self {
        let alert = TransportErrorCode::crypto(ALERT_NO_APPLICATION_PROTOCOL);
        let code = match &error {
            ConnectionError::TransportError(error) => Some(error.code),
            ConnectionError::ConnectionClosed(close) => Some(close.error_code),
            _ => None,
        };
        if code == Some(alert) {
            return Self::ProtocolVersion;
        }
        Self::Connection(Arc::new(error))
    }
}

/// Why a stream gave no message.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum StreamError {
    /// the link was lost
    LinkLost,
    /// the peer gave the stream up
    Aborted,
    /// {0}
    Wire(WireFault),
}

impl std::error::Error for StreamError {}

impl From<WireFault> for StreamError {
    fn from(error: WireFault) -> Self {
        Self::Wire(error)
    }
}
