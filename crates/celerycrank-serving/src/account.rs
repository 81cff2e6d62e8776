//! Maps API keys to client accounts.

use std::collections::HashMap;

use celerycrank_config::KeyHash;
use celerycrank_types::AccountId;

use crate::{AccountRule, KeyRequirement};

/// The valid API keys; only their hashes are stored.
#[derive(Debug, Clone)]
pub struct AccountTable {
    /// Whether requests need an API key.
    requires_key: bool,
    /// Indices into `accounts`, by key hash.
    account_by_hash: HashMap<[u8; 32], usize>,
    /// Each account with the priority of its requests, if it has one.
    accounts: Vec<(AccountId, Option<u8>)>,
}

impl AccountTable {
    /// Creates a table of the accounts whose API keys are valid.
    #[must_use]
    pub fn new(requirement: &KeyRequirement) -> Self {
        let mut table = Self {
            requires_key: *requirement != KeyRequirement::NotRequired,
            account_by_hash: HashMap::new(),
            accounts: Vec::new(),
        };
        for (index, rule) in requirement.accounts().iter().enumerate() {
            table.accounts.push((rule.account.clone(), rule.priority));
            for key in &rule.keys {
                let hash = KeyHash::of_key(key);
                table.account_by_hash.insert(*hash.as_bytes(), index);
            }
        }
        table
    }

    /// Whether requests need an API key; without accounts, no key is valid then.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.requires_key
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

impl KeyRequirement {
    /// The accounts whose API keys are valid.
    #[must_use]
    pub fn accounts(&self) -> &[AccountRule] {
        match self {
            Self::NotRequired => &[],
            Self::Required(accounts) => accounts,
        }
    }
}
