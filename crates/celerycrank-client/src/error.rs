//! Errors of calls, distinguished by whether the call may have had an effect.

use std::sync::Arc;

use celerycrank_types::ByteSize;

/// Why a call to the key-value service failed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[ignore_extra_doc_attributes]
pub enum KeyValueError {
    /// the call to the key-value service was not sent: {0}
    ///
    /// Invariant: the call had no effect.
    NotSent(SendError),
    /// the key-value service may have carried out the call: {0}
    Unknown(AnswerError),
    /// the key-value service refused the call with status {status}: {message}
    ///
    /// Invariant: the call had no effect.
    Refused {
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer.
        message: Arc<str>,
    },
}

impl std::error::Error for KeyValueError {}

impl KeyValueError {
    /// Whether it is certain that the call had no effect.
    #[must_use]
    pub const fn proves_no_effect(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Refused { .. } => true,
            Self::Unknown(_) => false,
        }
    }
}

/// Why a call was not sent.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum SendError {
    /// no connection: {0}
    Connect(Arc<str>),
    /// no address is configured
    NoAddress,
    /// the value of {0} exceeds the limit of 1MiB
    ValueTooLarge(ByteSize),
}

/// Why a call that was sent has no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum AnswerError {
    /// no answer in time
    Timeout,
    /// the connection was lost: {0}
    Lost(Arc<str>),
    /// the answer has status {0}
    Status(u16),
    /// the answer is malformed: {0}
    Malformed(Arc<str>),
    /// the watch ended
    WatchEnded,
}
