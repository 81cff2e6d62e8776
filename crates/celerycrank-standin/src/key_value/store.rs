//! The state of the key-value stand-in: versioned keys, leases and a history of changes.

use std::collections::BTreeMap;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use celerycrank_types::TimeSpan;
use serde_json::{Value, json};

use crate::key_value::message::{CompareResult, CompareTarget, TxnCompare};

/// Largest accepted value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum number of changes kept for watches that start at a past revision.
const MAX_HISTORY: usize = 10_000;

/// Error of a request that the store rejected.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum StoreError {
    /// request is malformed: {0}
    Malformed(String),
    /// request is too large
    TooLarge,
    /// requested lease not found
    NoLease,
}

/// The keys that a request covers.
#[derive(Debug, Clone)]
pub(crate) struct KeyRange {
    start: Bytes,
    /// Empty for a single key; a zero byte for all keys from `start` on.
    end: Bytes,
}

impl KeyRange {
    pub(crate) const fn new(start: Bytes, end: Bytes) -> Self {
        Self { start, end }
    }

    pub(crate) fn covers(&self, key: &[u8]) -> bool {
        match &*self.end {
            [] => key == self.start,
            [0] => key >= &*self.start,
            end => key >= &*self.start && key < end,
        }
    }
}

#[derive(Debug, Clone)]
struct StoredValue {
    value: Bytes,
    created: u64,
    modified: u64,
    version: u64,
    /// Zero for a key without a lease.
    lease: u64,
}

#[derive(Debug, Clone, Copy)]
struct StoredLease {
    seconds: u64,
    end: TimeSpan,
}

/// A change of a key.
#[derive(Debug, Clone)]
pub(crate) struct StoredChange {
    key: Bytes,
    revision: u64,
    /// `None` if the key was deleted.
    stored: Option<StoredValue>,
}

impl StoredChange {
    pub(crate) fn key(&self) -> &[u8] {
        &self.key
    }

    pub(crate) fn message(&self) -> Value {
        let event = match &self.stored {
            Some(stored) => json!({ "kv": format_record(&self.key, stored) }),
            None => json!({
                "type": "DELETE",
                "kv": {
                    "key": STANDARD.encode(&self.key),
                    "mod_revision": self.revision.to_string(),
                },
            }),
        };
        json!({ "header": { "revision": self.revision.to_string() }, "events": [event] })
    }
}

/// Versioned keys with leases and a history of changes.
#[derive(Debug, Default)]
pub(crate) struct KeyValueStore {
    revision: u64,
    /// Whether the current transaction has already advanced the revision.
    revision_advanced: bool,
    values: BTreeMap<Bytes, StoredValue>,
    leases: BTreeMap<u64, StoredLease>,
    last_lease: u64,
    unpublished: Vec<StoredChange>,
    /// Invariant: all changes that were not compacted, in order, including `unpublished`.
    history: Vec<StoredChange>,
}

impl KeyValueStore {
    pub(crate) fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    /// Begins a transaction, whose changes all share one revision.
    pub(crate) const fn begin_txn(&mut self) {
        self.revision_advanced = false;
    }

    pub(crate) fn range(&self, range: &KeyRange) -> Value {
        let found = self.values.iter().filter(|(key, _)| range.covers(key));
        let records = found.map(|(key, stored)| format_record(key, stored));
        let kvs = records.collect::<Vec<_>>();
        let count = kvs.len().to_string();
        json!({ "header": self.header(), "kvs": kvs, "count": count })
    }

    pub(crate) fn compare(&self, compare: &TxnCompare) -> Result<bool, StoreError> {
        if compare.key.0.is_empty() {
            return Err(StoreError::Malformed("key is not provided".into()));
        }
        let stored = self.values.get(&compare.key.0);
        let (actual, expected) = match compare.target {
            CompareTarget::Mod => (stored.map(|s| s.modified), compare.mod_revision),
            CompareTarget::Create => (stored.map(|s| s.created), compare.create_revision),
            CompareTarget::Version => (stored.map(|s| s.version), compare.version),
        };
        let actual = actual.unwrap_or(0);
        Ok(match compare.result {
            CompareResult::Equal => actual == expected.0,
            CompareResult::NotEqual => actual != expected.0,
            CompareResult::Greater => actual > expected.0,
            CompareResult::Less => actual < expected.0,
        })
    }

    pub(crate) fn put(&mut self, key: Bytes, value: Bytes, lease: u64) -> Result<(), StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(StoreError::NoLease);
        }
        let revision = self.advance_revision();
        let old = self.values.get(&key);
        let stored = StoredValue {
            value,
            created: old.map_or(revision, |old| old.created),
            modified: revision,
            version: old.map_or(1, |old| old.version + 1),
            lease,
        };
        self.values.insert(key.clone(), stored.clone());
        self.record_change(key, Some(stored));
        Ok(())
    }

    pub(crate) fn delete(&mut self, range: &KeyRange) -> usize {
        let covered = self.values.keys().filter(|key| range.covers(key));
        let keys = covered.cloned().collect::<Vec<_>>();
        self.delete_keys(keys)
    }

    pub(crate) fn grant_lease(&mut self, seconds: u64, now: TimeSpan) -> Result<u64, StoreError> {
        if seconds == 0 {
            return Err(StoreError::Malformed("TTL must be above 0".into()));
        }
        self.last_lease += 1;
        let end = now + TimeSpan::from_secs(seconds);
        self.leases
            .insert(self.last_lease, StoredLease { seconds, end });
        Ok(self.last_lease)
    }

    pub(crate) fn renew_lease(&mut self, id: u64, now: TimeSpan) -> Option<u64> {
        let lease = self.leases.get_mut(&id)?;
        lease.end = now + TimeSpan::from_secs(lease.seconds);
        Some(lease.seconds)
    }

    pub(crate) fn revoke_lease(&mut self, id: u64) -> Result<(), StoreError> {
        self.leases.remove(&id).ok_or(StoreError::NoLease)?;
        self.begin_txn();
        let attached = self.values.iter().filter(|(_, stored)| stored.lease == id);
        let keys = attached.map(|(key, _)| key.clone()).collect::<Vec<_>>();
        self.delete_keys(keys);
        Ok(())
    }

    pub(crate) fn expire_leases(&mut self, now: TimeSpan) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.end <= now);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            // Cannot fail, since the lease was found above.
            drop(self.revoke_lease(id));
        }
    }

    /// Past changes in a range from revision `start` on; none if `start` is zero.
    pub(crate) fn history(&self, range: &KeyRange, start: u64) -> Vec<Value> {
        let is_requested = |change: &&StoredChange| {
            start != 0 && change.revision >= start && range.covers(&change.key)
        };
        let changes = self.history.iter().filter(is_requested);
        changes.map(StoredChange::message).collect()
    }

    /// Takes the changes that were not sent to watches yet.
    pub(crate) fn take_unpublished(&mut self) -> Vec<StoredChange> {
        std::mem::take(&mut self.unpublished)
    }

    fn delete_keys(&mut self, keys: Vec<Bytes>) -> usize {
        let count = keys.len();
        for key in keys {
            self.advance_revision();
            self.values.remove(&key);
            self.record_change(key, None);
        }
        count
    }

    const fn advance_revision(&mut self) -> u64 {
        if !self.revision_advanced {
            self.revision += 1;
            self.revision_advanced = true;
        }
        self.revision
    }

    fn record_change(&mut self, key: Bytes, stored: Option<StoredValue>) {
        let change = StoredChange {
            key,
            revision: self.revision,
            stored,
        };
        if self.history.len() >= MAX_HISTORY {
            self.history.drain(..MAX_HISTORY / 2);
        }
        self.history.push(change.clone());
        self.unpublished.push(change);
    }
}

fn format_record(key: &[u8], stored: &StoredValue) -> Value {
    let mut record = json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "create_revision": stored.created.to_string(),
        "mod_revision": stored.modified.to_string(),
        "version": stored.version.to_string(),
    });
    if stored.lease != 0 {
        record["lease"] = json!(stored.lease.to_string());
    }
    record
}
