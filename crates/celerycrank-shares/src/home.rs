//! The home of accounts: hands out their rate caps.

use std::collections::BTreeMap;

use celerycrank_types::{AccountId, TimePoint, TimeSpan, TokenCount, TokenRate};

use crate::grant::{DemandReport, TokenGrant};

/// Tokens granted at once at most, as time at the capped rate.
const BURST: TimeSpan = TimeSpan::from_secs(1);

/// What is left of one account's cap.
///
/// Invariant: `level` is at most the burst.
#[derive(Debug, Clone)]
struct CapBucket {
    rate: f64,
    level: f64,
    updated: TimePoint,
}

impl CapBucket {
    fn new(now: TimePoint, rate: f64) -> Self {
        Self {
            rate,
            level: rate * BURST.as_secs_f64(),
            updated: now,
        }
    }

    fn refill(&mut self, now: TimePoint, rate: f64) {
        let earned = self.rate * now.since(self.updated).as_secs_f64();
        self.rate = rate;
        self.level = (self.level + earned).min(self.burst());
        self.updated = self.updated.max(now);
    }

    fn burst(&self) -> f64 {
        self.rate * BURST.as_secs_f64()
    }

    /// Charges what an entry used under an earlier home.
    fn inherit(&mut self, inherited: TokenCount) {
        self.level = (self.level - inherited.0 as f64).max(-self.burst());
    }

    /// Takes whole tokens, as many as there are.
    fn take(&mut self, wanted: TokenCount) -> TokenCount {
        let mut granted = wanted;
        if self.level < wanted.0 as f64 {
            granted = TokenCount(whole_tokens(self.level));
        }
        self.level -= granted.0 as f64;
        granted
    }

    /// Time until so many tokens will have come in.
    fn time_until(&self, missing: f64) -> TimeSpan {
        let seconds = (missing - self.level).max(0.0) / self.rate.max(1.0);
        TimeSpan::from(std::time::Duration::from_secs_f64(seconds))
    }
}

/// Hands out the rate caps of the accounts whose home this entry is.
///
/// Invariant: what is granted for an account in any span is at most its rate over that span
/// plus one burst.
#[derive(Debug, Default)]
pub struct GrantHome {
    buckets: BTreeMap<AccountId, HomeRecord>,
}

#[derive(Debug, Clone)]
struct HomeRecord {
    bucket: CapBucket,
    /// Tokens granted since the record was made.
    granted: f64,
    /// Tokens that could have been granted since then: rate over time, plus one burst.
    allowed: f64,
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
        self.buckets.len()
    }

    /// Answers an entry's report, given the rate cap of the account's plan.
    ///
    /// # Panics
    ///
    /// If more was granted than the cap allows: that is a broken invariant.
    pub fn grant(&mut self, now: TimePoint, report: &DemandReport, cap: TokenRate) -> TokenGrant {
        let rate = cap.0 as f64;
        let record = self
            .buckets
            .entry(report.account.clone())
            .or_insert_with(|| HomeRecord {
                bucket: CapBucket::new(now, rate),
                granted: 0.0,
                allowed: rate * BURST.as_secs_f64(),
            });
        let elapsed = now.since(record.bucket.updated).as_secs_f64();
        record.allowed += record.bucket.rate.max(rate) * elapsed;
        record.bucket.refill(now, rate);
        record.bucket.inherit(report.inherited);
        let tokens = record.bucket.take(report.wanted);
        record.granted += tokens.0 as f64;
        assert!(
            record.granted <= record.allowed + 1.0,
            "account {} was granted more than its cap",
            report.account
        );
        let missing = report.wanted.0.saturating_sub(tokens.0);
        TokenGrant {
            account: report.account.clone(),
            number: report.number,
            tokens,
            retry_after: record.bucket.time_until(missing as f64),
        }
    }

    /// Forgets accounts whose cap has filled up again.
    pub fn forget_idle(&mut self, now: TimePoint) {
        self.buckets.retain(|_, record| {
            let mut bucket = record.bucket.clone();
            bucket.refill(now, bucket.rate);
            bucket.level < bucket.burst()
        });
    }
}

/// The whole part of a level; zero if it is negative.
fn whole_tokens(level: f64) -> u64 {
    // Durations round down and check the range, which a plain cast does not.
    std::time::Duration::try_from_secs_f64(level).map_or(0, |whole| whole.as_secs())
}
