//! The home of accounts: hands out their shares and rate caps.

use std::{collections::BTreeMap, time::Duration};

use celerycrank_types::{AccountId, TimePoint, TimeSpan, TokenCount, TokenRate};

use crate::{
    grant::{AccountAllowance, DemandReport, TokenGrant},
    holder::GRANT_LIFETIME,
};

/// Tokens of a share granted at once at most, as time at its rate.
const SHARE_BURST: TimeSpan = TimeSpan::from_secs(4);

/// What is granted of a share, in hundredths: makes up for tokens that entries leave unused.
const SHARE_HEADROOM: u64 = 110;

/// Tokens of a cap granted at once at most, as time at its rate.
const CAP_BURST: TimeSpan = TimeSpan::from_secs(1);

/// Tokens that come in at a rate.
///
/// Invariant: `level` is at most the burst.
#[derive(Debug, Clone)]
struct TokenBucket {
    rate: TokenRate,
    span: TimeSpan,
    level: f64,
    updated: TimePoint,
}

impl TokenBucket {
    /// Begins with one grant life's worth at most, by which a second home may overshoot.
    fn new(now: TimePoint, rate: TokenRate, span: TimeSpan) -> Self {
        Self {
            rate,
            span,
            level: rate.0 as f64 * span.min(GRANT_LIFETIME).as_secs_f64(),
            updated: now,
        }
    }

    /// Adds what has come in, at the old rate, and returns it.
    fn refill(&mut self, now: TimePoint, rate: TokenRate) -> f64 {
        let earned = self.rate.0 as f64 * now.since(self.updated).as_secs_f64();
        self.rate = rate;
        self.level = (self.level + earned).min(self.burst());
        self.updated = self.updated.max(now);
        earned
    }

    fn burst(&self) -> f64 {
        self.rate.0 as f64 * self.span.as_secs_f64()
    }

    fn is_full(&self) -> bool {
        self.level >= self.burst()
    }

    /// Charges what an entry used under an earlier home.
    fn inherit(&mut self, inherited: TokenCount) {
        self.level = (self.level - inherited.0 as f64).max(-self.burst());
    }

    /// Takes whole tokens, as many as there are, and says when the rest will have come in.
    fn take(&mut self, wanted: TokenCount) -> (TokenCount, TimeSpan) {
        let mut taken = wanted;
        if self.level < wanted.0 as f64 {
            taken = TokenCount(whole_tokens(self.level));
        }
        self.level -= taken.0 as f64;
        (taken, self.time_until((wanted.0 - taken.0) as f64))
    }

    /// Time until so many tokens will have come in.
    fn time_until(&self, missing: f64) -> TimeSpan {
        if missing <= 0.0 {
            return TimeSpan::ZERO;
        }
        let seconds = (missing - self.level).max(0.0) / (self.rate.0 as f64).max(1.0);
        TimeSpan::from(Duration::from_secs_f64(seconds))
    }
}

/// What one account has been granted.
///
/// Invariant: `granted` is at most `allowed`, which counts the cap over time and one burst.
#[derive(Debug, Clone)]
struct AccountBuckets {
    share: TokenBucket,
    cap: Option<TokenBucket>,
    granted: f64,
    allowed: f64,
}

impl AccountBuckets {
    fn new(now: TimePoint, allowance: AccountAllowance) -> Self {
        let cap = allowance
            .cap
            .map(|cap| TokenBucket::new(now, cap, CAP_BURST));
        Self {
            share: TokenBucket::new(now, with_headroom(allowance.share), SHARE_BURST),
            granted: 0.0,
            allowed: cap.as_ref().map_or(0.0, TokenBucket::burst),
            cap,
        }
    }

    fn refill(&mut self, now: TimePoint, allowance: AccountAllowance) {
        self.share.refill(now, with_headroom(allowance.share));
        match (&mut self.cap, allowance.cap) {
            (Some(bucket), Some(cap)) => self.allowed += bucket.refill(now, cap),
            (_, cap) => {
                self.cap = cap.map(|cap| TokenBucket::new(now, cap, CAP_BURST));
                self.granted = 0.0;
                self.allowed = self.cap.as_ref().map_or(0.0, TokenBucket::burst);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.share.is_full() && self.cap.as_ref().is_none_or(TokenBucket::is_full)
    }
}

/// Hands out the shares and rate caps of the accounts whose home this entry is.
///
/// Invariant: what is granted for a capped account in any span is at most its cap over that
/// span plus one burst; so is what is granted as within its share.
#[derive(Debug, Default)]
pub struct GrantHome {
    records: BTreeMap<AccountId, AccountBuckets>,
}

impl GrantHome {
    /// A home that knows no account yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of accounts that the home remembers.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.records.len()
    }

    /// Answers an entry's report, given what the account may use now.
    ///
    /// # Panics
    ///
    /// If more was granted than the cap allows: that is a broken invariant.
    pub fn grant(
        &mut self,
        now: TimePoint,
        report: &DemandReport,
        allowance: AccountAllowance,
    ) -> TokenGrant {
        let record = self
            .records
            .entry(report.account.clone())
            .or_insert_with(|| AccountBuckets::new(now, allowance));
        record.refill(now, allowance);
        if let Some(cap) = &mut record.cap {
            cap.inherit(report.inherited);
        }
        let (total, cap_retry) = match &mut record.cap {
            Some(cap) => cap.take(report.wanted),
            None => (report.wanted, TimeSpan::ZERO),
        };
        let (within, _) = record.share.take(total);
        let missing = report.wanted.0 - within.0;
        // Where the cap is what holds back, more of the share waits for the cap.
        let share_retry = record.share.time_until(missing as f64).max(cap_retry);
        if record.cap.is_some() {
            record.granted += total.0 as f64;
            assert!(
                record.granted <= record.allowed + 1.0,
                "account {} was granted more than its cap",
                report.account
            );
        }
        let excess = TokenCount(total.0 - within.0);
        TokenGrant {
            account: report.account.clone(),
            number: report.number,
            within,
            excess: record.cap.is_some().then_some(excess),
            share_retry,
            cap_retry,
        }
    }

    /// Forgets accounts whose share and cap have filled up again.
    pub fn forget_idle(&mut self, now: TimePoint) {
        self.records.retain(|_, record| {
            record.share.refill(now, record.share.rate);
            if let Some(cap) = &mut record.cap {
                record.allowed += cap.refill(now, cap.rate);
            }
            !record.is_full()
        });
    }
}

const fn with_headroom(share: TokenRate) -> TokenRate {
    TokenRate(share.0 * SHARE_HEADROOM / 100)
}

/// The whole part of a level; zero if it is negative.
fn whole_tokens(level: f64) -> u64 {
    // Durations round down and check the range, which a plain cast does not.
    Duration::try_from_secs_f64(level).map_or(0, |whole| whole.as_secs())
}
