//! Deltas between configurations, so that the cost of sending a change depends on the size
//! of the change and not on the size of the lists.

use std::collections::{BTreeMap, VecDeque};

use celerycrank_config::{ClientAccount, Configuration, PlanDefinition};
use celerycrank_types::{AccountId, PlanId, Revision};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of deltas kept for peers that are behind. A peer that needs older ones gets the
/// complete configuration.
const MAX_LOGGED_DELTAS: usize = 64;

/// Why a delta cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum DeltaError {
    /// delta applies to revision {expected}, not to {found}
    BaseMismatch {
        /// The base revision of the delta.
        expected: Revision,
        /// The revision that it was applied to.
        found: Revision,
    },
    /// checksum mismatch after applying the delta
    ChecksumMismatch,
}

impl std::error::Error for DeltaError {}

/// The difference between two configuration revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// The revision that the delta applies to.
    pub base: Revision,
    /// The resulting revision.
    pub revision: Revision,
    /// Checksum of the resulting configuration.
    checksum: u64,
    accounts: Vec<ClientAccount>,
    removed_accounts: Vec<AccountId>,
    plans: Vec<PlanDefinition>,
    removed_plans: Vec<PlanId>,
}

impl ConfigurationDelta {
    /// Computes the difference between `old` and `new`.
    #[must_use]
    pub fn between(old: &Configuration, new: &Configuration) -> Self {
        let (accounts, removed_accounts) =
            diff_by_key(&old.customers.accounts, &new.customers.accounts, |entry| {
                &entry.account
            });
        let (plans, removed_plans) =
            diff_by_key(&old.plans.plans, &new.plans.plans, |entry| &entry.plan);
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

    /// Applies the delta. Both lists of the result are sorted by name.
    ///
    /// # Errors
    ///
    /// Fails if `old` doesn't have the base revision, or if the checksum of the result differs
    /// from the sender's.
    pub fn apply(&self, old: &Configuration) -> Result<Configuration, DeltaError> {
        if old.revision != self.base {
            return Err(DeltaError::BaseMismatch {
                expected: self.base,
                found: old.revision,
            });
        }
        let mut new = old.clone();
        new.revision = self.revision;
        merge_by_key(
            &mut new.customers.accounts,
            &self.accounts,
            &self.removed_accounts,
            |entry: &ClientAccount| &entry.account,
        );
        merge_by_key(
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

/// An update for a peer with an older configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateMessage {
    /// Deltas to apply in order.
    Deltas(Vec<ConfigurationDelta>),
    /// The complete configuration, for a peer whose revision is no longer covered by the delta log.
    Whole(Configuration),
}

/// The most recent deltas of one process.
#[derive(Debug, Default)]
pub struct DeltaLog {
    /// Invariant: the base of each delta is the revision of the one before it.
    deltas: VecDeque<ConfigurationDelta>,
}

impl DeltaLog {
    /// Appends the delta from `old` to `new`.
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

    /// Returns the update that brings a peer from revision `peer` to `current`.
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
    let json = serde_json::to_vec(&sorted).expect("a configuration is always serializable as JSON");
    xxh3_64(&json)
}

fn diff_by_key<T: Clone + PartialEq, K: Ord + Clone>(
    old: &[T],
    new: &[T],
    key_of: impl Fn(&T) -> &K,
) -> (Vec<T>, Vec<K>) {
    let before = old
        .iter()
        .map(|entry| (key_of(entry), entry))
        .collect::<BTreeMap<_, _>>();
    let after = new
        .iter()
        .map(|entry| (key_of(entry), entry))
        .collect::<BTreeMap<_, _>>();
    let changed = new
        .iter()
        .filter(|entry| before.get(key_of(entry)) != Some(entry))
        .cloned();
    let removed = before
        .keys()
        .filter(|key| !after.contains_key(*key))
        .map(|key| (*key).clone());
    (changed.collect(), removed.collect())
}

fn merge_by_key<T: Clone, K: Ord + Clone>(
    entries: &mut Vec<T>,
    changed: &[T],
    removed: &[K],
    key_of: impl Fn(&T) -> &K,
) {
    let mut by_key = entries
        .drain(..)
        .map(|entry| (key_of(&entry).clone(), entry))
        .collect::<BTreeMap<_, _>>();
    for key in removed {
        by_key.remove(key);
    }
    for entry in changed {
        by_key.insert(key_of(entry).clone(), entry.clone());
    }
    entries.extend(by_key.into_values());
}
