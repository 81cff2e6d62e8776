//! The record of the key-value service that holds both lists.

use std::sync::Arc;

use celerycrank_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{Configuration, CustomerList, ListChange, PlanList};

/// Most changes that are kept in the record.
pub const MAX_HISTORY: usize = 50;

/// Most differences that are kept of one change.
const MAX_RECORDED_CHANGES: usize = 20;

/// Both lists, who accepted them, and the last changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// One above the revision that it replaced.
    pub revision: Revision,
    /// Drawn at random for this write, so that its writer can recognise it.
    pub nonce: Arc<str>,
    /// Who accepted the lists.
    pub author: Arc<str>,
    /// Why, in the author's words.
    pub note: Arc<str>,
    /// When, in seconds since 1970 by the author's clock; for people only.
    pub at: u64,
    /// Which plan each client account holds.
    pub customers: CustomerList,
    /// What each plan may use.
    pub plans: PlanList,
    /// The last changes, oldest first, this one included.
    ///
    /// Invariant: at most [`MAX_HISTORY`] of them.
    pub changes: Vec<ChangeRecord>,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The revision that the change made.
    pub revision: Revision,
    /// The nonce of its write, by which a writer whose answer was lost finds it later.
    pub nonce: Arc<str>,
    /// Who made it.
    pub author: Arc<str>,
    /// Why, in the author's words.
    pub note: Arc<str>,
    /// When, in seconds since 1970 by the author's clock.
    pub at: u64,
    /// What it changed; the first of them if there were many.
    pub changes: Vec<ListChange>,
    /// How many more there were.
    #[serde(default)]
    pub more: usize,
}

impl ConfigurationRecord {
    /// The key of the record under a deployment's prefix.
    #[must_use]
    pub fn key(prefix: &str) -> String {
        format!("{}/configuration", prefix.trim_end_matches('/'))
    }

    /// The configuration that the record puts in force.
    #[must_use]
    pub fn configuration(&self) -> Configuration {
        Configuration {
            revision: self.revision,
            customers: self.customers.clone(),
            plans: self.plans.clone(),
        }
    }

    /// Notes a change, and drops the oldest ones beyond the bound.
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
