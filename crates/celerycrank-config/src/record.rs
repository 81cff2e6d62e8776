//! The key-value record that stores both lists.

use std::sync::Arc;

use celerycrank_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{Configuration, CustomerList, ListChange, PlanList};

/// Maximum number of changes kept in the record.
pub const MAX_HISTORY: usize = 50;

/// Maximum number of differences kept for one change.
const MAX_RECORDED_CHANGES: usize = 20;

/// Both lists with the author of the current revision and the most recent changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// One above the revision that this one replaced.
    pub revision: Revision,
    /// Random value of this write, by which its writer can recognise it.
    pub nonce: Arc<str>,
    /// Author of this revision.
    pub author: Arc<str>,
    /// The author's note on the reason.
    pub note: Arc<str>,
    /// Time of the write in seconds since the Unix epoch, by the author's clock; only for display.
    pub at: u64,
    /// The plan of each client account.
    pub customers: CustomerList,
    /// The plans and what each may use.
    pub plans: PlanList,
    /// The most recent changes, oldest first, including this one.
    ///
    /// Invariant: at most [`MAX_HISTORY`] entries.
    pub changes: Vec<ChangeRecord>,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The revision that the change created.
    pub revision: Revision,
    /// The nonce of the write, by which a writer that lost the answer can find the change.
    pub nonce: Arc<str>,
    /// Author of the change.
    pub author: Arc<str>,
    /// The author's note on the reason.
    pub note: Arc<str>,
    /// Time of the change in seconds since the Unix epoch, by the author's clock.
    pub at: u64,
    /// The differences; only the first ones if there were many.
    pub changes: Vec<ListChange>,
    /// Number of differences left out of `changes`.
    #[serde(default)]
    pub more: usize,
}

impl ConfigurationRecord {
    /// Returns the key of the record under a deployment's prefix.
    #[must_use]
    pub fn key(prefix: &str) -> String {
        format!("{}/configuration", prefix.trim_end_matches('/'))
    }

    /// Returns the configuration that the record contains.
    #[must_use]
    pub fn configuration(&self) -> Configuration {
        Configuration {
            revision: self.revision,
            customers: self.customers.clone(),
            plans: self.plans.clone(),
        }
    }

    /// Appends a change to the history and drops the oldest ones beyond [`MAX_HISTORY`].
    pub fn append_change(&mut self, mut changes: Vec<ListChange>) {
        let more = changes.len().saturating_sub(MAX_RECORDED_CHANGES);
        changes.truncate(MAX_RECORDED_CHANGES);
        self.changes.push(ChangeRecord {
            revision: self.revision,
            nonce: Arc::clone(&self.nonce),
            author: Arc::clone(&self.author),
            note: Arc::clone(&self.note),
            at: self.at,
            changes,
            more,
        });
        let surplus = self.changes.len().saturating_sub(MAX_HISTORY);
        self.changes.drain(..surplus);
    }
}
