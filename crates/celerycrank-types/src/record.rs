//! Records of the key-value service and their revisions.

use std::sync::Arc;

use bytes::Bytes;

use crate::number_type;

number_type! {
    /// The revision of the service at which a key was last modified; a larger one is newer.
    ///
    /// Invariant: above zero for a key that exists.
    ModRevision;
    /// The id of a lease, assigned by the service.
    LeaseId;
}

/// One key with its value, as stored by the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValueRecord {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// The revision at which the key was last modified.
    pub revision: ModRevision,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KeyValueRecord),
    /// The key was deleted, or its lease expired.
    Deleted {
        /// The key.
        key: Arc<str>,
        /// The revision at which the key was deleted.
        revision: ModRevision,
    },
}

impl WatchEvent {
    /// Returns the changed key.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(record) => &record.key,
            Self::Deleted { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    #[must_use]
    pub const fn revision(&self) -> ModRevision {
        match self {
            Self::Put(record) => record.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}
