//! Finds the client account that holds a key.

use std::collections::HashMap;

use celerycrank_types::AccountId;
use sha2::{Digest, Sha256};

use crate::AccountRule;

type KeyHash = [u8; 32];

/// The keys in force, kept as hashes only.
#[derive(Debug, Default, Clone)]
pub struct AccountTable {
    holders: HashMap<KeyHash, usize>,
    accounts: Vec<(AccountId, Option<u8>)>,
}

impl AccountTable {
    /// A table of these accounts.
    #[must_use]
    pub fn new(rules: &[AccountRule]) -> Self {
        let mut table = Self::default();
        for (index, rule) in rules.iter().enumerate() {
            table.accounts.push((rule.account.clone(), rule.priority));
            for key in &rule.keys {
                table.holders.insert(hash(key.as_bytes()), index);
            }
        }
        table
    }

    /// Whether requests need a key at all.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// The account that holds a key, and the priority of its requests if it has one.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<(&AccountId, Option<u8>)> {
        let index = *self.holders.get(&hash(key))?;
        let (account, priority) = &self.accounts[index];
        Some((account, *priority))
    }
}

fn hash(key: &[u8]) -> KeyHash {
    Sha256::digest(key).into()
}
