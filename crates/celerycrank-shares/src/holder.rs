//! The holder of grants at an entry.

use std::collections::BTreeMap;

use celerycrank_types::{AccountId, EntryId, TimePoint, TimeSpan, TokenCount};

use crate::grant::{DemandReport, TokenGrant};

/// How long granted tokens may be used, counted from the report that asked for them.
pub const GRANT_LIFE: TimeSpan = TimeSpan::from_secs(2);

/// Time for which a report asks for tokens in advance.
const ADVANCE: TimeSpan = TimeSpan::from_millis(500);

/// How long an entry waits for a home before it goes on without.
pub const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);

/// Whether a request may be taken under its account's rate cap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It may; its cost has been charged.
    Admitted,
    /// The home must be asked first; send this and decide again when the answer is noted.
    Ask(DemandReport),
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
    tokens: TokenCount,
    expires: TimePoint,
    /// Until then the home has nothing more to give.
    empty_until: TimePoint,
    pending: Option<PendingReport>,
    /// The home that was asked last.
    home: Option<EntryId>,
    /// What the present home has not been told of yet, held or spent by another's grants.
    inherited: TokenCount,
    /// Tokens admitted in the current span and in the one before it.
    spent: [TokenCount; 2],
    span_start: TimePoint,
    last_used: TimePoint,
}

impl HeldGrant {
    fn turn_span(&mut self, now: TimePoint) {
        let age = now.since(self.span_start);
        if age < GRANT_LIFE {
            return;
        }
        let previous = if age < GRANT_LIFE + GRANT_LIFE {
            self.spent[0]
        } else {
            TokenCount(0)
        };
        self.spent = [TokenCount(0), previous];
        self.span_start = now;
    }

    /// Turns to another home, which knows nothing of what the former one granted.
    fn turn_to(&mut self, home: &EntryId) {
        if self.home.as_ref() == Some(home) {
            return;
        }
        if self.home.is_some() {
            self.inherited = self.tokens + self.spent[0] + self.spent[1];
        }
        self.pending = None;
        self.empty_until = TimePoint::default();
        self.home = Some(home.clone());
    }

    fn spend(&mut self, cost: TokenCount) {
        self.tokens = TokenCount(self.tokens.0.saturating_sub(cost.0));
        self.spent[0] += cost;
    }

    /// Tokens used in a while like the one that a report asks for.
    fn advance(&self) -> u64 {
        let used = self.spent[0].0.max(self.spent[1].0);
        used * ADVANCE.0 / GRANT_LIFE.0
    }
}

/// Admits requests under the rate caps of their accounts' plans.
///
/// Invariants: no more tokens are admitted than were granted, but for one request for each
/// home that does not answer in time; a grant is used once, and only within its life.
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
    pub fn admit(
        &mut self,
        now: TimePoint,
        home: &EntryId,
        account: &AccountId,
        cost: TokenCount,
    ) -> Admission {
        let grant = self.grants.entry(account.clone()).or_default();
        grant.turn_span(now);
        grant.turn_to(home);
        grant.last_used = now;
        if now >= grant.expires {
            grant.tokens = TokenCount(0);
        }
        if grant.tokens >= cost {
            grant.spend(cost);
            return Admission::Admitted;
        }
        if now < grant.empty_until {
            let retry_after = grant.empty_until.since(now);
            return Admission::Refused { retry_after };
        }
        match &grant.pending {
            Some(pending) if now.since(pending.sent) < ANSWER_TIMEOUT => Admission::Wait,
            Some(_) => self.admit_unanswered(now, account, cost),
            None => Admission::Ask(self.report(now, account, cost)),
        }
    }

    /// Takes in a home's answer; late and doubled ones change nothing.
    pub fn note_grant(&mut self, now: TimePoint, answer: &TokenGrant) {
        let Some(grant) = self.grants.get_mut(&answer.account) else {
            return;
        };
        let Some(pending) = grant
            .pending
            .take_if(|pending| pending.number == answer.number)
        else {
            return;
        };
        let expires = pending.sent + GRANT_LIFE;
        if now >= expires {
            return;
        }
        if grant.tokens == TokenCount(0) || now >= grant.expires {
            grant.tokens = answer.tokens;
            grant.expires = expires;
        } else {
            // Tokens of two grants are kept together for the shorter of their lives.
            grant.tokens += answer.tokens;
        }
        grant.inherited = TokenCount(0);
        grant.empty_until = now + answer.retry_after;
    }

    /// Forgets accounts that have asked for nothing for a while.
    pub fn forget_idle(&mut self, now: TimePoint) {
        self.grants
            .retain(|_, grant| now.since(grant.last_used) < GRANT_LIFE + GRANT_LIFE);
    }

    fn report(&mut self, now: TimePoint, account: &AccountId, cost: TokenCount) -> DemandReport {
        let number = self.next_number;
        self.next_number += 1;
        let grant = self.grants.entry(account.clone()).or_default();
        grant.pending = Some(PendingReport { number, sent: now });
        DemandReport {
            account: account.clone(),
            number,
            wanted: TokenCount((cost.0 + grant.advance()).saturating_sub(grant.tokens.0)),
            inherited: grant.inherited,
        }
    }

    /// A home that does not answer costs one request above the cap, not the account's service.
    fn admit_unanswered(
        &mut self,
        now: TimePoint,
        account: &AccountId,
        cost: TokenCount,
    ) -> Admission {
        let grant = self.grants.entry(account.clone()).or_default();
        grant.pending = None;
        grant.spent[0] += cost;
        grant.empty_until = now + ANSWER_TIMEOUT;
        Admission::Admitted
    }
}
