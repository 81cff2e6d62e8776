//! What changed between two configurations, so that a change costs bytes in its own
//! size and not in the size of the lists.

use std::collections::{BTreeMap, VecDeque};

use celerycrank_config::{ClientAccount, Configuration, PlanDefinition};
use celerycrank_types::{AccountId, PlanId, Revision};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Deltas kept for peers that are behind; older peers get the whole configuration.
const MAX_LOGGED_DELTAS: usize = 64;

/// Why a delta does not lead to the configuration it claims to lead to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum DeltaError {
    /// the delta begins at revision {expected}, not at {found}
    BaseMismatch {
        /// The revision at which the delta begins.
        expected: Revision,
        /// The revision it was applied to.
        found: Revision,
    },
    /// the delta's result does not match its checksum
    ChecksumMismatch,
}

impl std::error::Error for DeltaError {}

/// The difference between the configurations of two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// The revision that the delta applies to.
    pub base: Revision,
    /// The revision that it leads to.
    pub revision: Revision,
    /// Checksum of the configuration that it leads to.
    checksum: u64,
    accounts: Vec<ClientAccount>,
    removed_accounts: Vec<AccountId>,
    plans: Vec<PlanDefinition>,
    removed_plans: Vec<PlanId>,
}

impl ConfigurationDelta {
    /// The difference that leads from `old` to `new`.
    #[must_use]
    pub fn between(old: &Configuration, new: &Configuration) -> Self {
        let (accounts, removed_accounts) =
            changes(&old.customers.accounts, &new.customers.accounts, |entry| {
                &entry.account
            });
        let (plans, removed_plans) =
            changes(&old.plans.plans, &new.plans.plans, |entry| &entry.plan);
        Self {
            base: old.revision,
            revision: new.revision,
            checksum: checksum(new),
            accounts,
            removed_accounts,
            plans,
            removed_plans,
        }
    }

    /// Applies the delta, keeping both lists sorted by name.
    ///
    /// # Errors
    ///
    /// Fails if `old` is not the base, or if the result is not what the sender had.
    pub fn apply(&self, old: &Configuration) -> Result<Configuration, DeltaError> {
        if old.revision != self.base {
            return Err(DeltaError::BaseMismatch {
                expected: self.base,
                found: old.revision,
            });
        }
        let mut new = old.clone();
        new.revision = self.revision;
        merge(
            &mut new.customers.accounts,
            &self.accounts,
            &self.removed_accounts,
            |entry: &ClientAccount| &entry.account,
        );
        merge(
            &mut new.plans.plans,
            &self.plans,
            &self.removed_plans,
            |entry: &PlanDefinition| &entry.plan,
        );
        if checksum(&new) == self.checksum {
            Ok(new)
        } else {
            Err(DeltaError::ChecksumMismatch)
        }
    }
}

/// What a process sends to a peer that is behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateMessage {
    /// Changes to apply in order.
    Deltas(Vec<ConfigurationDelta>),
    /// The whole configuration, for a peer that is too far behind.
    Whole(Configuration),
}

/// The latest deltas of one process.
#[derive(Debug, Default)]
pub struct DeltaLog {
    /// Invariant: each delta begins where the one before it ends.
    deltas: VecDeque<ConfigurationDelta>,
}

impl DeltaLog {
    /// Records the step from `old` to `new`.
    pub fn record(&mut self, old: &Configuration, new: &Configuration) {
        if self
            .deltas
            .back()
            .is_some_and(|last| last.revision != old.revision)
        {
            self.deltas.clear();
        }
        self.deltas.push_back(ConfigurationDelta::between(old, new));
        if self.deltas.len() > MAX_LOGGED_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// What brings a peer from `peer` to `current`.
    #[must_use]
    pub fn update_for(&self, peer: Revision, current: &Configuration) -> UpdateMessage {
        let start = self.deltas.iter().position(|delta| delta.base == peer);
        let complete = self
            .deltas
            .back()
            .is_some_and(|last| last.revision == current.revision);
        match start {
            Some(start) if complete => {
                UpdateMessage::Deltas(self.deltas.iter().skip(start).cloned().collect())
            }
            _ => UpdateMessage::Whole(current.clone()),
        }
    }
}

fn checksum(configuration: &Configuration) -> u64 {
    let mut sorted = configuration.clone();
    sorted
        .customers
        .accounts
        .sort_by(|a, b| a.account.cmp(&b.account));
    sorted.plans.plans.sort_by(|a, b| a.plan.cmp(&b.plan));
    let text = serde_json::to_vec(&sorted).expect("a configuration always has a JSON form");
    xxh3_64(&text)
}

fn changes<T: Clone + PartialEq, K: Ord + Clone>(
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &K,
) -> (Vec<T>, Vec<K>) {
    let before = old
        .iter()
        .map(|entry| (name(entry), entry))
        .collect::<BTreeMap<_, _>>();
    let after = new
        .iter()
        .map(|entry| (name(entry), entry))
        .collect::<BTreeMap<_, _>>();
    let changed = new
        .iter()
        .filter(|entry| before.get(name(entry)) != Some(entry))
        .cloned();
    let removed = before
        .keys()
        .filter(|key| !after.contains_key(*key))
        .map(|key| (*key).clone());
    (changed.collect(), removed.collect())
}

fn merge<T: Clone, K: Ord + Clone>(
    entries: &mut Vec<T>,
    changed: &[T],
    removed: &[K],
    name: impl Fn(&T) -> &K,
) {
    let mut by_name = entries
        .drain(..)
        .map(|entry| (name(&entry).clone(), entry))
        .collect::<BTreeMap<_, _>>();
    for key in removed {
        by_name.remove(key);
    }
    for entry in changed {
        by_name.insert(name(entry).clone(), entry.clone());
    }
    entries.extend(by_name.into_values());
}
