//! Knows callers by their API keys.

use std::collections::HashMap;

use actix_http::header::{AUTHORIZATION, HeaderMap};
use celerycrank_config::{Configuration, KeyHash};
use celerycrank_types::AccountId;
use smallvec::SmallVec;

const BEARER_PREFIX: &str = "Bearer ";

/// Bytes of a hash by which keys are found; the rest is compared in constant time.
const PREFIX_BYTES: usize = 8;

/// Whose key a caller has presented.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyOwner {
    /// Position of the account in the customer list.
    pub account: usize,
    /// Position of the account's plan in the plan list.
    pub plan: usize,
}

/// The keys of every account of one configuration.
///
/// Keys are found by a part of their hash, which tells an attacker who times the search
/// nothing about a key; the whole hashes are compared in constant time.
#[derive(Debug, Default)]
pub struct KeyIndex {
    owners: HashMap<[u8; PREFIX_BYTES], SmallVec<[(KeyHash, KeyOwner); 1]>>,
}

impl KeyIndex {
    /// Indexes the keys of a configuration.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut index = Self::default();
        for (account, entry) in configuration.customers.accounts.iter().enumerate() {
            let mut plans = configuration.plans.plans.iter();
            let Some(plan) = plans.position(|plan| plan.plan == entry.plan) else {
                continue;
            };
            for key in &entry.keys {
                let place = index.owners.entry(hash_prefix(key)).or_default();
                place.push((*key, KeyOwner { account, plan }));
            }
        }
        index
    }

    /// Whose key the headers carry.
    #[must_use]
    pub fn authenticate(&self, headers: &HeaderMap) -> Option<KeyOwner> {
        let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
        let hash = KeyHash::of_key(text.strip_prefix(BEARER_PREFIX)?.trim());
        let owners = self.owners.get(&hash_prefix(&hash))?;
        let (_, owner) = owners.iter().find(|(key, _)| *key == hash)?;
        Some(*owner)
    }
}

fn hash_prefix(hash: &KeyHash) -> [u8; PREFIX_BYTES] {
    let mut prefix = [0; PREFIX_BYTES];
    prefix.copy_from_slice(&hash.as_bytes()[..PREFIX_BYTES]);
    prefix
}

/// The account of an owner.
pub(crate) fn account_of(configuration: &Configuration, owner: KeyOwner) -> &AccountId {
    &configuration.customers.accounts[owner.account].account
}
