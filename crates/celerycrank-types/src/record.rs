//! Records of the key-value service and the revisions that order them.

use std::sync::Arc;

use bytes::Bytes;

use crate::number_type;

number_type! {
    /// The service's revision at which a key was last modified; larger is newer.
    ///
    /// Invariant: above zero for a key that exists.
    ModRevision;
    /// A lease, as named by the service.
    LeaseId;
}

/// One key with its value, as the service holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValueRecord {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// When the key was last modified.
    pub revision: ModRevision,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KeyValueRecord),
    /// The key was deleted, or its lease ended.
    Deleted {
        /// The key.
        key: Arc<str>,
        /// When it was deleted.
        revision: ModRevision,
    },
}

impl WatchEvent {
    /// The key that was changed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(record) => &record.key,
            Self::Deleted { key, .. } => key,
        }
    }

    /// The revision of the change.
    #[must_use]
    pub const fn revision(&self) -> ModRevision {
        match self {
            Self::Put(record) => record.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}
