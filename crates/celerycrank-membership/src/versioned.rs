//! The revision that a process acts under, which never decreases.

use std::sync::Arc;

use celerycrank_types::Revision;

/// What became of a document offered to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is newer and is now in force.
    Adopted,
    /// The document has the revision already in force.
    Same,
    /// The document is older and was dropped.
    Older,
}

/// How a peer's revision compares with one's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevisionComparison {
    /// Both act under one revision.
    Equal,
    /// The peer is behind: refuse its work and send it the newer document.
    PeerBehind,
    /// The peer is ahead: pull its document before acting on its message.
    SelfBehind,
    /// Neither has learnt a document yet.
    BothEmpty,
}

/// The document in force at one process.
#[derive(Debug)]
pub struct VersionedDocument<T> {
    /// Invariant: never decreases; zero exactly while `document` is absent.
    revision: Revision,
    document: Option<Arc<T>>,
}

impl<T> VersionedDocument<T> {
    /// A gate of a process that has learnt nothing yet.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            revision: Revision(0),
            document: None,
        }
    }

    /// The revision in force; zero before the first document.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The document in force.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<T>> {
        self.document.as_ref()
    }

    /// Puts a document in force if it is newer than the present one.
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

    /// Compares the revision that a message carries with the one in force.
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
