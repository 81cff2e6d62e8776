//! A document whose revision never decreases.

use std::sync::Arc;

use celerycrank_types::Revision;

/// The result of offering a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is newer and is now in force.
    Adopted,
    /// The document has the revision that is already in force.
    Same,
    /// The document is older and was discarded.
    Older,
}

/// How a peer's revision compares with the local one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevisionComparison {
    /// Both have the same revision.
    Equal,
    /// The peer has an older revision: refuse its work and send it the newer document.
    PeerBehind,
    /// The peer has a newer revision: pull its document before acting on its message.
    SelfBehind,
    /// Neither has a document yet.
    BothEmpty,
}

/// The document in force at a process, replaced only by newer revisions.
#[derive(Debug)]
pub struct VersionedDocument<T> {
    /// Invariant: never decreases, and is zero exactly while `document` is `None`.
    revision: Revision,
    document: Option<Arc<T>>,
}

impl<T> VersionedDocument<T> {
    /// Creates a value without a document.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            revision: Revision(0),
            document: None,
        }
    }

    /// The revision in force; zero if there is no document yet.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The document in force.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<T>> {
        self.document.as_ref()
    }

    /// Puts a document in force if its revision is newer than the current one.
    pub fn offer(&mut self, revision: Revision, document: Arc<T>) -> OfferOutcome {
        if revision == self.revision {
            return OfferOutcome::Same;
        }
        if revision < self.revision {
            return OfferOutcome::Older;
        }
        self.replace(revision, document);
        OfferOutcome::Adopted
    }

    /// Compares the revision in a peer's message with the one in force.
    #[must_use]
    pub fn compare_revision(&self, peer: Revision) -> RevisionComparison {
        match peer.cmp(&self.revision) {
            std::cmp::Ordering::Less => RevisionComparison::PeerBehind,
            std::cmp::Ordering::Greater => RevisionComparison::SelfBehind,
            std::cmp::Ordering::Equal if self.document.is_none() => RevisionComparison::BothEmpty,
            std::cmp::Ordering::Equal => RevisionComparison::Equal,
        }
    }

    fn replace(&mut self, revision: Revision, document: Arc<T>) {
        assert!(
            revision > self.revision,
            "a revision must never be replaced by an older one"
        );
        self.revision = revision;
        self.document = Some(document);
    }
}

impl<T> Default for VersionedDocument<T> {
    fn default() -> Self {
        Self::new()
    }
}
