//! Messages by which entries request and grant tokens of accounts' shares and rate caps.

use celerycrank_types::{AccountId, EntryId, TimeSpan, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// An entry's request for tokens, sent to the account's home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The account.
    pub account: AccountId,
    /// Identifies the report among those of the same entry; echoed in the grant.
    pub number: u64,
    /// Number of tokens that the entry could use until its next report.
    pub wanted: TokenCount,
    /// Number of tokens granted by another home that the entry holds or recently spent.
    pub inherited: TokenCount,
}

/// A home's answer to a demand report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The account.
    pub account: AccountId,
    /// The number of the report that this grant answers.
    pub number: u64,
    /// Number of tokens that the entry may admit within the account's share.
    pub within: TokenCount,
    /// Number of tokens that it may admit beyond the share; `None` if the plan has no cap.
    pub excess: Option<TokenCount>,
    /// Time after which another report may be granted more of the share.
    pub share_retry: TimeSpan,
    /// Time after which another report may be granted more of the cap.
    pub cap_retry: TimeSpan,
}

/// The rates at which an account may use the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountAllowance {
    /// The account's share of the fleet's measured rate.
    pub share: TokenRate,
    /// The maximum rate that its plan allows; `None` if the plan has no cap.
    pub cap: Option<TokenRate>,
}

/// Selects an account's home among these entries by rendezvous hashing.
///
/// Each entry computes the home on its own. Entries that know different peers may temporarily
/// disagree. The account then has two homes, and twice its cap may be granted meanwhile.
pub fn home_of<'a>(
    account: &AccountId,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    let seed = xxh3_64(account.as_str().as_bytes());
    entries
        .into_iter()
        .max_by_key(|entry| (xxh3_64_with_seed(entry.as_str().as_bytes(), seed), *entry))
}
