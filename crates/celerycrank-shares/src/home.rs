//! The home of accounts, which grants tokens of their shares and rate caps.

use std::{collections::BTreeMap, time::Duration};

use celerycrank_types::{AccountId, TimePoint, TimeSpan, TokenCount, TokenRate};

use crate::{
    grant::{AccountAllowance, DemandReport, TokenGrant},
    holder::GRANT_LIFETIME,
};

/// Maximum burst of a share, as time at its rate.
const SHARE_BURST: TimeSpan = TimeSpan::from_secs(4);

/// Percentage of a share that is granted. More than 100, to compensate for granted tokens that
/// entries leave unused.
const SHARE_HEADROOM: u64 = 110;

/// Maximum burst of a cap, as time at its rate.
const CAP_BURST: TimeSpan = TimeSpan::from_secs(1);

/// A token bucket that refills at a rate.
///
/// Invariant: `level` is at most the burst.
#[derive(Debug, Clone)]
struct TokenBucket {
    rate: TokenRate,
    burst_span: TimeSpan,
    level: f64,
    updated: TimePoint,
}

impl TokenBucket {
    /// Creates a bucket that initially holds at most one grant lifetime's tokens, which limits how
    /// much a second home may grant in excess.
    fn new(now: TimePoint, rate: TokenRate, burst_span: TimeSpan) -> Self {
        Self {
            rate,
            burst_span,
            level: rate.0 as f64 * burst_span.min(GRANT_LIFETIME).as_secs_f64(),
            updated: now,
        }
    }

    /// Refills the bucket at the old rate, sets the new rate and returns the refilled tokens.
    fn refill(&mut self, now: TimePoint, rate: TokenRate) -> f64 {
        let refilled = self.rate.0 as f64 * now.since(self.updated).as_secs_f64();
        self.rate = rate;
        self.level = (self.level + refilled).min(self.burst());
        self.updated = self.updated.max(now);
        refilled
    }

    fn burst(&self) -> f64 {
        self.rate.0 as f64 * self.burst_span.as_secs_f64()
    }

    fn is_full(&self) -> bool {
        self.level >= self.burst()
    }

    /// Charges tokens that an entry holds or used from an earlier home.
    fn charge_inherited(&mut self, inherited: TokenCount) {
        self.level = (self.level - inherited.0 as f64).max(-self.burst());
    }

    /// Takes up to `wanted` whole tokens; returns their number and the time until the rest is
    /// refilled.
    fn take(&mut self, wanted: TokenCount) -> (TokenCount, TimeSpan) {
        let mut taken = wanted;
        if self.level < wanted.0 as f64 {
            taken = TokenCount(whole_tokens(self.level));
        }
        self.level -= taken.0 as f64;
        (taken, self.time_until((wanted.0 - taken.0) as f64))
    }

    /// Time until the bucket holds this many tokens.
    fn time_until(&self, missing: f64) -> TimeSpan {
        if missing <= 0.0 {
            return TimeSpan::ZERO;
        }
        let seconds = (missing - self.level).max(0.0) / (self.rate.0 as f64).max(1.0);
        TimeSpan::from(Duration::from_secs_f64(seconds))
    }
}

/// The token buckets of one account.
///
/// Invariant: `granted` is at most `allowed`, which is the cap over time plus one burst.
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

/// Grants tokens of the shares and rate caps of the accounts whose home this entry is.
///
/// Invariant: the tokens granted to a capped account in any time span are at most its cap over
/// that span plus one burst. The tokens granted within a share are bounded in the same way by
/// the rate of the share with its headroom.
#[derive(Debug, Default)]
pub struct GrantHome {
    records: BTreeMap<AccountId, AccountBuckets>,
}

impl GrantHome {
    /// Creates a home without accounts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of accounts for which the home keeps state.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.records.len()
    }

    /// Answers an entry's report, given the account's current allowance.
    ///
    /// # Panics
    ///
    /// Panics if more was granted than the cap allows, which would violate an invariant.
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
            cap.charge_inherited(report.inherited);
        }
        let (total, cap_retry) = match &mut record.cap {
            Some(cap) => cap.take(report.wanted),
            None => (report.wanted, TimeSpan::ZERO),
        };
        let (within, _) = record.share.take(total);
        let missing = report.wanted.0 - within.0;
        // If the cap is the limit, more of the share is only available once the cap is refilled.
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

    /// Discards the state of accounts whose share and cap are full again.
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

/// The integer part of a level; zero if it is negative.
fn whole_tokens(level: f64) -> u64 {
    // Unlike a plain cast, converting to a duration rounds down and checks the range.
    Duration::try_from_secs_f64(level).map_or(0, |whole| whole.as_secs())
}
