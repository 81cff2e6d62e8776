//! Admission of requests by an entry, based on the grants that it holds.

use std::collections::BTreeMap;

use celerycrank_types::{AccountId, EntryId, TimePoint, TimeSpan, TokenCount};

use crate::{
    grant::{DemandReport, TokenGrant},
    request::ShareBand,
};

/// How long granted tokens may be used, measured from the report that requested them.
pub const GRANT_LIFETIME: TimeSpan = TimeSpan::from_secs(2);

/// The time span for which a report requests tokens in advance.
const PREFETCH_SPAN: TimeSpan = TimeSpan::from_millis(500);

/// Minimum number of requests for which tokens are requested in advance.
const MIN_PREFETCH_REQUESTS: u64 = 2;

/// How long an entry waits for a home's answer before it admits requests without one.
pub const GRANT_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);

/// Whether a request is admitted, and whether as part of its account's share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted and its cost has been charged.
    Admitted(ShareBand),
    /// The home must be queried first: send this report and try again once the grant has been
    /// applied.
    QueryHome(DemandReport),
    /// The home has not answered yet: try again once it has.
    Wait,
    /// The cap is used up.
    Refused {
        /// Time after which a request may be admitted again.
        retry_after: TimeSpan,
    },
}

#[derive(Debug, Clone)]
struct PendingReport {
    number: u64,
    sent: TimePoint,
}

/// The grant held for one account.
#[derive(Debug, Clone, Default)]
struct HeldGrant {
    within: TokenCount,
    /// `None` if the plan has no cap.
    excess: Option<TokenCount>,
    expires: TimePoint,
    /// Time until which the home has no more of the share to grant.
    share_empty_until: TimePoint,
    /// Time until which the home has no more of the cap to grant.
    cap_empty_until: TimePoint,
    pending: Option<PendingReport>,
    /// The home that was queried last.
    home: Option<EntryId>,
    /// Number of tokens from another home's grants, held or used, that are not yet reported to
    /// the current home.
    inherited: TokenCount,
    /// Tokens admitted in the current usage window and in the previous one.
    used: [TokenCount; 2],
    /// The part of `used` that was within the share.
    used_within: [TokenCount; 2],
    usage_window_start: TimePoint,
    last_used: TimePoint,
}

impl HeldGrant {
    fn rotate_usage_window(&mut self, now: TimePoint) {
        let age = now.since(self.usage_window_start);
        if age < GRANT_LIFETIME {
            return;
        }
        let recent = age < GRANT_LIFETIME + GRANT_LIFETIME;
        for used in [&mut self.used, &mut self.used_within] {
            let previous = if recent { used[0] } else { TokenCount(0) };
            *used = [TokenCount(0), previous];
        }
        self.usage_window_start = now;
    }

    /// Switches to another home, which doesn't know what the previous one granted.
    fn switch_home(&mut self, home: &EntryId) {
        if self.home.as_ref() == Some(home) {
            return;
        }
        if self.home.is_some() {
            let held = self.within + self.excess.unwrap_or_default();
            self.inherited = held + self.used[0];
        }
        self.pending = None;
        self.share_empty_until = TimePoint::default();
        self.cap_empty_until = TimePoint::default();
        self.home = Some(home.clone());
    }

    /// Discards tokens whose lifetime has ended.
    fn expire(&mut self, now: TimePoint) {
        if now >= self.expires {
            self.within = TokenCount(0);
            self.excess = self.excess.and(Some(TokenCount(0)));
        }
    }

    fn spend_within(&mut self, cost: TokenCount) -> bool {
        let enough = self.within >= cost;
        if enough {
            self.within = TokenCount(self.within.0 - cost.0);
            self.used[0] += cost;
            self.used_within[0] += cost;
        }
        enough
    }

    /// Spends tokens beyond the share; remaining tokens of the share cover a shortfall.
    fn spend_excess(&mut self, now: TimePoint, cost: TokenCount) -> bool {
        let Some(excess) = self.excess else {
            // Without a cap, everything is admitted until the grant that said so expires.
            let uncapped = now < self.expires;
            self.used[0] += if uncapped { cost } else { TokenCount(0) };
            return uncapped;
        };
        if (excess + self.within) < cost {
            return false;
        }
        let shortfall = cost.0.saturating_sub(excess.0);
        self.within = TokenCount(self.within.0 - shortfall);
        self.excess = Some(TokenCount(excess.0.saturating_sub(cost.0)));
        self.used[0] += cost;
        true
    }

    /// Applies a home's answer to a report that was sent at `sent`.
    fn apply(&mut self, now: TimePoint, sent: TimePoint, answer: &TokenGrant) {
        self.expire(now);
        if now >= self.expires {
            self.expires = sent + GRANT_LIFETIME;
        }
        // Tokens of two grants are pooled for the shorter of the two lifetimes.
        self.within += answer.within;
        self.excess = answer
            .excess
            .map(|excess| excess + self.excess.unwrap_or_default());
        self.share_empty_until = now + answer.share_retry;
        self.cap_empty_until = now + answer.cap_retry;
        self.inherited = TokenCount(0);
    }

    /// Allows usage at the previous rate for a prefetch span, since the home doesn't answer. Covers
    /// at least one request.
    fn apply_fallback_grant(&mut self, now: TimePoint, cost: TokenCount) {
        let no_grant_yet = self.expires == TimePoint::default();
        self.pending = None;
        let used_share = self.used_within.iter().any(|used| *used > TokenCount(0));
        let minimum = if used_share { cost } else { TokenCount(0) };
        self.within = expected_usage(self.used_within).max(minimum);
        if no_grant_yet || self.excess.is_some() {
            self.excess = Some(expected_usage(self.used).max(cost));
        }
        self.expires = now + PREFETCH_SPAN;
        self.share_empty_until = now + PREFETCH_SPAN;
        self.cap_empty_until = now + PREFETCH_SPAN;
    }
}

/// The tokens used per prefetch span, based on the window with the higher usage.
fn expected_usage(used: [TokenCount; 2]) -> TokenCount {
    let [current, previous] = used;
    TokenCount(current.max(previous).0 * PREFETCH_SPAN.0 / GRANT_LIFETIME.0)
}

/// Admits requests under the shares and rate caps of their accounts' plans.
///
/// Invariants:
/// - no more tokens are admitted than were granted, unless a home doesn't answer in time; then
///   as many tokens as before are admitted, or one request;
/// - a grant is used only once, and only within its lifetime.
#[derive(Debug, Default)]
pub struct GrantHolder {
    grants: BTreeMap<AccountId, HeldGrant>,
    next_number: u64,
}

impl GrantHolder {
    /// Creates a holder without grants.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of accounts for which the holder keeps state.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.grants.len()
    }

    /// Decides whether to admit a request of this cost, for an account with this home.
    ///
    /// # Panics
    ///
    /// Panics if a fallback grant doesn't cover the request that it was made for, which would
    /// violate an invariant.
    pub fn admit(
        &mut self,
        now: TimePoint,
        home: &EntryId,
        account: &AccountId,
        cost: TokenCount,
    ) -> Admission {
        let grant = self.grants.entry(account.clone()).or_default();
        grant.rotate_usage_window(now);
        grant.switch_home(home);
        grant.last_used = now;
        grant.expire(now);
        if grant.spend_within(cost) {
            return Admission::Admitted(ShareBand::Within);
        }
        if now < grant.share_empty_until {
            if grant.spend_excess(now, cost) {
                return Admission::Admitted(ShareBand::Excess);
            }
            if now < grant.cap_empty_until {
                let retry_after = grant.cap_empty_until.since(now);
                return Admission::Refused { retry_after };
            }
        }
        match &grant.pending {
            Some(pending) if now.since(pending.sent) < GRANT_TIMEOUT => Admission::Wait,
            Some(_) => self.admit_without_answer(now, account, cost),
            None => Admission::QueryHome(self.report(now, account, cost)),
        }
    }

    /// Applies a home's answer; late and duplicate answers have no effect.
    pub fn apply_grant(&mut self, now: TimePoint, answer: &TokenGrant) {
        let Some(grant) = self.grants.get_mut(&answer.account) else {
            return;
        };
        let Some(pending) = grant
            .pending
            .take_if(|pending| pending.number == answer.number)
        else {
            return;
        };
        if now < pending.sent + GRANT_LIFETIME {
            grant.apply(now, pending.sent, answer);
        }
    }

    /// Discards the state of accounts without requests for two grant lifetimes.
    pub fn forget_idle(&mut self, now: TimePoint) {
        self.grants
            .retain(|_, grant| now.since(grant.last_used) < GRANT_LIFETIME + GRANT_LIFETIME);
    }

    fn report(&mut self, now: TimePoint, account: &AccountId, cost: TokenCount) -> DemandReport {
        let number = self.next_number;
        self.next_number += 1;
        let grant = self.grants.entry(account.clone()).or_default();
        grant.pending = Some(PendingReport { number, sent: now });
        let mut prefetched_tokens = expected_usage(grant.used).0;
        if prefetched_tokens < MIN_PREFETCH_REQUESTS * cost.0 {
            // The next request may come only after the tokens have expired, so leave them at the
            // home.
            prefetched_tokens = 0;
        }
        DemandReport {
            account: account.clone(),
            number,
            wanted: TokenCount((cost.0 + prefetched_tokens).saturating_sub(grant.within.0)),
            inherited: grant.inherited,
        }
    }

    /// Admits a request without an answer, at the account's previous rate.
    fn admit_without_answer(
        &mut self,
        now: TimePoint,
        account: &AccountId,
        cost: TokenCount,
    ) -> Admission {
        let grant = self.grants.entry(account.clone()).or_default();
        grant.apply_fallback_grant(now, cost);
        if grant.spend_within(cost) {
            return Admission::Admitted(ShareBand::Within);
        }
        let admitted = grant.spend_excess(now, cost);
        assert!(
            admitted,
            "a fallback grant covers at least the request's cost"
        );
        Admission::Admitted(ShareBand::Excess)
    }
}
