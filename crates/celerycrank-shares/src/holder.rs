//! The holder of grants at an entry.

use std::collections::BTreeMap;

use celerycrank_types::{AccountId, EntryId, TimePoint, TimeSpan, TokenCount};

use crate::{
    grant::{DemandReport, TokenGrant},
    request::ShareBand,
};

/// How long granted tokens may be used, counted from the report that asked for them.
pub const GRANT_LIFETIME: TimeSpan = TimeSpan::from_secs(2);

/// Time for which a report asks for tokens in advance.
const PREFETCH_SPAN: TimeSpan = TimeSpan::from_millis(500);

/// Least number of requests for which tokens are asked in advance.
const MIN_PREFETCH_REQUESTS: u64 = 2;

/// How long an entry waits for a home before it goes on without.
pub const GRANT_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);

/// Whether a request may be taken, and whether as part of its account's share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It may; its cost has been charged.
    Admitted(ShareBand),
    /// The home must be asked first; send this and decide again when the answer is noted.
    QueryHome(DemandReport),
    /// The home has been asked and has not answered yet; decide again when it has.
    Wait,
    /// The cap is used up.
    Refused {
        /// When a request has a chance again.
        retry_after: TimeSpan,
    },
}

#[derive(Debug, Clone)]
struct PendingReport {
    number: u64,
    sent: TimePoint,
}

/// One account's grant.
#[derive(Debug, Clone, Default)]
struct HeldGrant {
    within: TokenCount,
    /// `None` where the plan has no cap.
    excess: Option<TokenCount>,
    expires: TimePoint,
    /// Until then the home has no more of the share to give.
    share_empty_until: TimePoint,
    /// Until then the home has no more of the cap to give.
    cap_empty_until: TimePoint,
    pending: Option<PendingReport>,
    /// The home that was asked last.
    home: Option<EntryId>,
    /// What the present home has not been told of yet, held or spent by another's grants.
    inherited: TokenCount,
    /// Tokens admitted in the current span and in the one before it.
    spent: [TokenCount; 2],
    /// Part of `spent` that was within the share.
    spent_within: [TokenCount; 2],
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
        for spent in [&mut self.spent, &mut self.spent_within] {
            let previous = if recent { spent[0] } else { TokenCount(0) };
            *spent = [TokenCount(0), previous];
        }
        self.usage_window_start = now;
    }

    /// Turns to another home, which knows nothing of what the former one granted.
    fn switch_home(&mut self, home: &EntryId) {
        if self.home.as_ref() == Some(home) {
            return;
        }
        if self.home.is_some() {
            let held = self.within + self.excess.unwrap_or_default();
            self.inherited = held + self.spent[0];
        }
        self.pending = None;
        self.share_empty_until = TimePoint::default();
        self.cap_empty_until = TimePoint::default();
        self.home = Some(home.clone());
    }

    /// Drops tokens whose life has ended.
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
            self.spent[0] += cost;
            self.spent_within[0] += cost;
        }
        enough
    }

    /// Spends beyond the share; what is left of the share makes up for a shortfall.
    fn spend_excess(&mut self, now: TimePoint, cost: TokenCount) -> bool {
        let Some(excess) = self.excess else {
            // Without a cap all is admitted while the grant that said so lives.
            let known = now < self.expires;
            self.spent[0] += if known { cost } else { TokenCount(0) };
            return known;
        };
        if (excess + self.within) < cost {
            return false;
        }
        let shortfall = cost.0.saturating_sub(excess.0);
        self.within = TokenCount(self.within.0 - shortfall);
        self.excess = Some(TokenCount(excess.0.saturating_sub(cost.0)));
        self.spent[0] += cost;
        true
    }

    /// Takes in a home's answer to a report that was sent at this point.
    fn accept(&mut self, now: TimePoint, sent: TimePoint, answer: &TokenGrant) {
        self.expire(now);
        if now >= self.expires {
            self.expires = sent + GRANT_LIFETIME;
        }
        // Tokens of two grants are kept together, for the shorter of their lives.
        self.within += answer.within;
        self.excess = answer
            .excess
            .map(|excess| excess + self.excess.unwrap_or_default());
        self.share_empty_until = now + answer.share_retry;
        self.cap_empty_until = now + answer.cap_retry;
        self.inherited = TokenCount(0);
    }

    /// Goes on for a while as before, since the home does not answer.
    fn apply_fallback_grant(&mut self, now: TimePoint, cost: TokenCount) {
        let unknown = self.expires == TimePoint::default();
        self.pending = None;
        let was_within = self.spent_within.iter().any(|spent| *spent > TokenCount(0));
        let least = if was_within { cost } else { TokenCount(0) };
        self.within = advance(self.spent_within).max(least);
        if unknown || self.excess.is_some() {
            self.excess = Some(advance(self.spent).max(cost));
        }
        self.expires = now + PREFETCH_SPAN;
        self.share_empty_until = now + PREFETCH_SPAN;
        self.cap_empty_until = now + PREFETCH_SPAN;
    }
}

/// Tokens used in a while like the one that a report asks for.
fn advance(spent: [TokenCount; 2]) -> TokenCount {
    let [current, previous] = spent;
    TokenCount(current.max(previous).0 * PREFETCH_SPAN.0 / GRANT_LIFETIME.0)
}

/// Admits requests under the shares and rate caps of their accounts' plans.
///
/// Invariants: no more tokens are admitted than were granted, but where a home does not answer
/// in time: then as many as before, or one request; a grant is used once, within its life.
#[derive(Debug, Default)]
pub struct GrantHolder {
    grants: BTreeMap<AccountId, HeldGrant>,
    next_number: u64,
}

impl GrantHolder {
    /// A holder without grants.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of accounts that the holder remembers.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.grants.len()
    }

    /// Decides about a request of this cost, for an account with this home.
    ///
    /// # Panics
    ///
    /// If an allowance is smaller than what it was made for: that is a broken invariant.
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

    /// Takes in a home's answer; late and doubled ones change nothing.
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
            grant.accept(now, pending.sent, answer);
        }
    }

    /// Forgets accounts that have asked for nothing for a while.
    pub fn forget_idle(&mut self, now: TimePoint) {
        self.grants
            .retain(|_, grant| now.since(grant.last_used) < GRANT_LIFETIME + GRANT_LIFETIME);
    }

    fn report(&mut self, now: TimePoint, account: &AccountId, cost: TokenCount) -> DemandReport {
        let number = self.next_number;
        self.next_number += 1;
        let grant = self.grants.entry(account.clone()).or_default();
        grant.pending = Some(PendingReport { number, sent: now });
        let mut prefetched_tokens = advance(grant.spent).0;
        if prefetched_tokens < MIN_PREFETCH_REQUESTS * cost.0 {
            // Tokens for a request that may not come in their life are better left at the home.
            prefetched_tokens = 0;
        }
        DemandReport {
            account: account.clone(),
            number,
            wanted: TokenCount((cost.0 + prefetched_tokens).saturating_sub(grant.within.0)),
            inherited: grant.inherited,
        }
    }

    /// Without an answer an account goes on at the pace that it had, for a while.
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
        assert!(admitted, "an allowance is at least the request's cost");
        Admission::Admitted(ShareBand::Excess)
    }
}
