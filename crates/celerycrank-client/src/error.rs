//! What can go wrong in a call, told apart by what it proves.

use std::sync::Arc;

use celerycrank_types::ByteSize;

/// Why a call to the key-value service gave no answer to use.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[ignore_extra_doc_attributes]
pub enum KeyValueError {
    /// the key-value service was not asked: {0}
    ///
    /// Invariant: the call has had no effect.
    NotSent(SendError),
    /// the key-value service may have carried out the call: {0}
    Unknown(AnswerError),
    /// the key-value service refused the call with status {status}: {message}
    ///
    /// Invariant: the call has had no effect.
    Refused {
        /// The HTTP status of the answer.
        status: u16,
        /// The service's own words.
        message: Arc<str>,
    },
}

impl std::error::Error for KeyValueError {}

impl KeyValueError {
    /// Whether the call is proved to have had no effect.
    #[must_use]
    pub const fn proves_no_effect(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Refused { .. } => true,
            Self::Unknown(_) => false,
        }
    }
}

/// Why a call was never sent.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum SendError {
    /// no connection: {0}
    Connect(Arc<str>),
    /// no address is set
    NoAddress,
    /// the value has {0}, above the limit of 1MiB
    ValueTooLarge(ByteSize),
}

/// Why the answer to a sent call cannot be used.
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
