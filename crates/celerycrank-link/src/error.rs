//! Errors of connections and streams.

use std::{io, path::PathBuf, sync::Arc};

use celerycrank_types::RefusalReason;
use celerycrank_wire::WireError;
use quinn::{ConnectionError, TransportErrorCode};

/// TLS alert `no_application_protocol`: the peers have no ALPN name in common.
const ALERT_NO_APPLICATION_PROTOCOL: u8 = 120;

/// An error while a connection is set up.
#[derive(Debug, Clone, displaydoc::Display)]
pub enum LinkError {
    /// cannot read {0}: {1}
    KeyFile(PathBuf, Arc<str>),
    /// invalid credentials: {0}
    Credentials(Arc<str>),
    /// cannot listen for peers: {0}
    Listen(Arc<io::Error>),
    /// the peer did not respond within the connect timeout
    Timeout,
    /// the peer uses another protocol version
    ProtocolVersion,
    /// connection failed: {0}
    Connection(Arc<ConnectionError>),
    /// hello exchange with the peer failed: {0}
    Hello(StreamError),
}

impl std::error::Error for LinkError {}

impl LinkError {
    /// The refusal reason for a request that was not sent because of this error.
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

/// An error while messages are sent or received.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum StreamError {
    /// the connection was lost
    LinkLost,
    /// the peer aborted the stream
    Aborted,
    /// {0}
    Wire(WireError),
}

impl std::error::Error for StreamError {}

impl From<WireError> for StreamError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}
