//! Bootstrap of the configuration from watchers while the key-value service is unavailable.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_types::{Revision, VmId};

/// The state of a bootstrap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapOutcome<T> {
    /// Too few watchers have answered; the process must not serve yet.
    Waiting {
        /// Number of watchers that have answered.
        answered: usize,
        /// Number of watchers that make a majority.
        needed: usize,
    },
    /// A majority has answered; holds the newest document among the answers.
    QuorumReached(Revision, Arc<T>),
}

/// Collects the documents of a failure domain's watchers until a majority has answered.
///
/// A single watcher may be stale because it was frozen during the last change. As long as
/// a majority of a domain's watchers is never frozen simultaneously, every majority holds at
/// least one that is up to date, so the newest answer is not older than the revision in
/// force.
#[derive(Debug)]
pub struct BootstrapQuorum<T> {
    /// The largest watcher count that any answer reported.
    watchers: usize,
    answers: BTreeMap<VmId, (Revision, Arc<T>)>,
}

impl<T> BootstrapQuorum<T> {
    /// Records one watcher's document and the number of watchers that it knows of.
    ///
    /// A watcher that has no document yet doesn't count towards the majority: it may have
    /// known a newer revision before it restarted.
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

    /// Returns the newest document once a majority has answered.
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
