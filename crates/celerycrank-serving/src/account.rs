//! Maps API keys to client accounts.

use std::collections::HashMap;

use celerycrank_config::KeyHash;
use celerycrank_types::AccountId;

use crate::AccountRule;

/// The valid API keys; only their hashes are stored.
#[derive(Debug, Default, Clone)]
pub struct AccountTable {
    /// Indices into `accounts`, by key hash.
    account_by_hash: HashMap<[u8; 32], usize>,
    /// Each account with the priority of its requests, if it has one.
    accounts: Vec<(AccountId, Option<u8>)>,
}

impl AccountTable {
    /// Creates a table of the given accounts.
    #[must_use]
    pub fn new(rules: &[AccountRule]) -> Self {
        let mut table = Self::default();
        for (index, rule) in rules.iter().enumerate() {
            table.accounts.push((rule.account.clone(), rule.priority));
            for key in &rule.keys {
                let hash = KeyHash::of_key(key);
                table.account_by_hash.insert(*hash.as_bytes(), index);
            }
        }
        table
    }

    /// Whether there are no accounts, so that requests need no API key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the account that owns `key` and the priority of its requests, if it has one.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<(&AccountId, Option<u8>)> {
        let hash = KeyHash::of_key(str::from_utf8(key).ok()?);
        let index = *self.account_by_hash.get(hash.as_bytes())?;
        let (account, priority) = &self.accounts[index];
        Some((account, *priority))
    }
}
