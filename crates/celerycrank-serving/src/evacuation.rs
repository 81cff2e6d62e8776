//! The failure domains that operators have evacuated.
//!
//! The load pattern: operators empty a failure domain before they work on it, or after a part of it
//! has failed. From then on its backend servers receive no new requests, also none that were queued
//! or sent elsewhere before.

use std::collections::BTreeSet;

use celerycrank_types::DomainId;

/// Maximum number of failure domains that are evacuated at the same time.
const MAX_DOMAINS: usize = 256;

/// The evacuated failure domains.
///
/// Invariant: at most [`MAX_DOMAINS`].
#[derive(Debug, Default)]
pub(crate) struct EvacuationSet {
    domains: BTreeSet<DomainId>,
}

/// A change of the evacuated failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Failure domains that are evacuated from now on.
    pub begun: Vec<DomainId>,
    /// Failure domains that are evacuated no longer.
    pub ended: Vec<DomainId>,
    /// Failure domains whose evacuation is ignored, since too many are evacuated.
    pub ignored: Vec<DomainId>,
}

impl EvacuationSet {
    pub(crate) fn contains(&self, domain: &DomainId) -> bool {
        self.domains.contains(domain)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &DomainId> {
        self.domains.iter()
    }

    /// Replaces the whole set.
    ///
    /// Beyond the maximum, those that are evacuated already are preferred.
    pub(crate) fn replace(&mut self, domains: BTreeSet<DomainId>) -> EvacuationChange {
        let ended = self.domains.difference(&domains).cloned();
        let ended = ended.collect::<Vec<_>>();
        for domain in &ended {
            self.domains.remove(domain);
        }
        let mut change = EvacuationChange {
            ended,
            ..EvacuationChange::default()
        };
        for domain in domains {
            self.insert(domain, &mut change);
        }
        change
    }

    /// Records that an evacuation begins.
    pub(crate) fn begin(&mut self, domain: DomainId) -> EvacuationChange {
        let mut change = EvacuationChange::default();
        self.insert(domain, &mut change);
        change
    }

    /// Records that an evacuation ends.
    pub(crate) fn end(&mut self, domain: &DomainId) -> EvacuationChange {
        let mut change = EvacuationChange::default();
        change.ended.extend(self.domains.take(domain));
        change
    }

    fn insert(&mut self, domain: DomainId, change: &mut EvacuationChange) {
        if self.domains.contains(&domain) {
            return;
        }
        if self.domains.len() >= MAX_DOMAINS {
            change.ignored.push(domain);
            return;
        }
        change.begun.push(domain.clone());
        self.domains.insert(domain);
    }
}
