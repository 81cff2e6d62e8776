//! Records of the key-value service and the revisions that order them.

use std::{fmt, sync::Arc};

use bytes::Bytes;

/// The service's revision at which a key was last modified; larger is newer.
///
/// Invariant: above zero for a key that exists.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct ModRevision(pub u64);

impl ModRevision {
    /// The revision that follows this one, at which a watch goes on.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ModRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
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
    /// The revision of the change.
    #[must_use]
    pub const fn revision(&self) -> ModRevision {
        match self {
            Self::Put(record) => record.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// A lease, as named by the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
