//! Messages between the entries about plans' rate caps.

use celerycrank_types::{AccountId, EntryId, TimeSpan, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// What an entry asks of an account's home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The account.
    pub account: AccountId,
    /// Distinguishes the reports of one entry; the grant repeats it.
    pub number: u64,
    /// Tokens that the entry could use until its next report.
    pub wanted: TokenCount,
    /// Tokens that the entry holds or lately spent by the grants of another home.
    pub inherited: TokenCount,
}

/// What a home grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The account.
    pub account: AccountId,
    /// The number of the report that this answers.
    pub number: u64,
    /// Tokens that the entry may admit as within the account's share.
    pub within: TokenCount,
    /// Tokens that it may admit beyond the share; `None` where the plan has no cap.
    pub excess: Option<TokenCount>,
    /// When a further report may bring more of the share.
    pub share_retry: TimeSpan,
    /// When a further report may bring more of the cap.
    pub cap_retry: TimeSpan,
}

/// What an account may use of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountAllowance {
    /// The account's part of the fleet's measured rate.
    pub share: TokenRate,
    /// Most that its plan allows; `None` where the plan has no cap.
    pub cap: Option<TokenRate>,
}

/// The entry that is an account's home among these entries.
///
/// Each entry works it out for itself. Two entries that know different peers may disagree
/// for a while; then the account has two homes, and its cap counts twice for as long.
pub fn home_of<'a>(
    account: &AccountId,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    let seed = xxh3_64(account.as_str().as_bytes());
    entries
        .into_iter()
        .max_by_key(|entry| (xxh3_64_with_seed(entry.as_str().as_bytes(), seed), *entry))
}
