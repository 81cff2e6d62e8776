//! How a process that starts while the key-value service is down learns a revision.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_types::{Revision, VmId};

/// What a starting process may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapOutcome<T> {
    /// Too few watchers have answered; serve nothing.
    Waiting {
        /// Watchers that have answered.
        answered: usize,
        /// Watchers that must answer.
        needed: usize,
    },
    /// The newest document among a majority of the watchers.
    QuorumReached(Revision, Arc<T>),
}

/// Collects the documents of a failure domain's watchers until a majority has answered.
///
/// A single watcher may have been frozen since before the last change. Among a majority
/// at least one was not, as long as a majority of a domain's watchers is never frozen
/// at once; the newest answer is therefore not older than what was in force.
#[derive(Debug)]
pub struct BootstrapQuorum<T> {
    /// The largest number of watchers that any of them named.
    watchers: usize,
    answers: BTreeMap<VmId, (Revision, Arc<T>)>,
}

impl<T> BootstrapQuorum<T> {
    /// Takes one watcher's document and the number of watchers that it knows of.
    ///
    /// A watcher that has learnt nothing itself has no document to send and so vouches
    /// for nothing: it may have known a newer revision before it restarted.
    pub fn record_answer(
        &mut self,
        watcher: &VmId,
        watchers: usize,
        revision: Revision,
        document: Arc<T>,
    ) {
        self.watchers = self.watchers.max(watchers);
        self.answers.insert(watcher.clone(), (revision, document));
    }

    /// What the process may do now.
    #[must_use]
    pub fn outcome(&self) -> BootstrapOutcome<T> {
        let needed = self.watchers / 2 + 1;
        let answered = self.answers.len();
        let newest = self.answers.values().max_by_key(|(revision, _)| *revision);
        match newest {
            Some((revision, document)) if answered >= needed => {
                BootstrapOutcome::QuorumReached(*revision, Arc::clone(document))
            }
            _ => BootstrapOutcome::Waiting { answered, needed },
        }
    }
}

impl<T> Default for BootstrapQuorum<T> {
    fn default() -> Self {
        Self {
            watchers: 0,
            answers: BTreeMap::new(),
        }
    }
}
