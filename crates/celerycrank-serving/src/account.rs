//! Finds the client account that holds a key.

use std::collections::HashMap;

use celerycrank_config::KeyHash;
use celerycrank_types::AccountId;

use crate::AccountRule;

/// The keys in force, kept as hashes only.
#[derive(Debug, Default, Clone)]
pub struct AccountTable {
    /// By the bytes of a key's hash.
    holders: HashMap<[u8; 32], usize>,
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
                let hash = KeyHash::of_key(key);
                table.holders.insert(*hash.as_bytes(), index);
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
        let hash = KeyHash::of_key(str::from_utf8(key).ok()?);
        let index = *self.holders.get(hash.as_bytes())?;
        let (account, priority) = &self.accounts[index];
        Some((account, *priority))
    }
}
