//! Demand of the accounts, and failures during a run.

use celerycrank_config::PriorityClass;
use celerycrank_shares::AccountAllowance;
use celerycrank_types::{AccountId, ShareWeight, TokenRate};

/// Rate cap of an account's plan, as a multiple of its share.
const CAP_FACTOR: f64 = 4.0;

/// Demand of a flooding account, as a multiple of its share.
const FLOOD_DEMAND: f64 = 10.0;

/// Demand of an account that stays within its share, as a fraction of the share.
const MODERATE_DEMAND: f64 = 0.9;

/// Length of the alternating active and idle periods of an intermittent account, in seconds.
const IDLE_SECONDS: u64 = 7;

/// Policy that enforces the shares of accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SharePolicy {
    /// Fair queues in the agents, and token grants between the entries.
    Shares,
    /// A bounded FIFO queue per worker.
    Fifo,
    /// A bounded FIFO queue per worker; each entry limits each account to an equal part of its
    /// share.
    StaticSplit,
    /// An unbounded FIFO queue per worker, which refuses no request.
    Unrefused,
}

impl SharePolicy {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Shares => "celerycrank",
            Self::Fifo => "FIFO",
            Self::StaticSplit => "static split",
            Self::Unrefused => "FIFO without refusal",
        }
    }
}

/// Demand of an account over time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum DemandPattern {
    /// A constant multiple of its share.
    Steady(f64),
    /// Ten times its share.
    Flood,
    /// Alternates between active and idle periods.
    Intermittent,
}

/// An account and its demand.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) id: AccountId,
    pub(super) weight: ShareWeight,
    pub(super) class: PriorityClass,
    pub(super) pattern: DemandPattern,
}

impl Account {
    /// Returns the demand as a multiple of the share.
    pub(super) fn demand(&self, second: u64) -> f64 {
        match self.pattern {
            DemandPattern::Steady(factor) => factor,
            DemandPattern::Flood => FLOOD_DEMAND,
            DemandPattern::Intermittent if (second / IDLE_SECONDS).is_multiple_of(2) => {
                MODERATE_DEMAND
            }
            DemandPattern::Intermittent => 0.0,
        }
    }

    /// Returns whether the demand never exceeds the share.
    pub(super) fn stays_within_share(&self) -> bool {
        match self.pattern {
            DemandPattern::Steady(factor) => factor <= 1.0,
            DemandPattern::Flood => false,
            DemandPattern::Intermittent => true,
        }
    }
}

/// Accounts and failures of a run.
#[derive(Debug, Clone)]
pub(super) struct Scenario {
    pub(super) accounts: Vec<Account>,
    pub(super) entries: usize,
    pub(super) seconds: u64,
    /// Whether one entry leaves and returns, and another one, the home of some accounts, fails.
    pub(super) with_entry_failures: bool,
}

impl Scenario {
    /// Two in ten accounts flood, two are intermittent, and the others stay within their share.
    pub(super) fn contention(accounts: usize, entries: usize, seconds: u64) -> Self {
        let pattern = |number| match number % 10 {
            3 | 6 => DemandPattern::Flood,
            4 | 8 => DemandPattern::Intermittent,
            _ => DemandPattern::Steady(MODERATE_DEMAND),
        };
        Self {
            accounts: make_accounts(accounts, pattern),
            entries,
            seconds,
            with_entry_failures: true,
        }
    }

    /// One in ten accounts has the high priority class and stays within its share; the demand of
    /// the others is `load`, in percent of their share.
    pub(super) fn overload(accounts: usize, entries: usize, seconds: u64, load: u32) -> Self {
        let pattern = |number| match number % 10 {
            0 => DemandPattern::Steady(MODERATE_DEMAND),
            _ => DemandPattern::Steady(f64::from(load) / 100.0),
        };
        Self {
            accounts: make_accounts(accounts, pattern),
            entries,
            seconds,
            with_entry_failures: false,
        }
    }

    /// Returns the sum of the weights of all accounts.
    pub(super) fn total_weight(&self) -> f64 {
        let weight = |account: &Account| f64::from(account.weight.get());
        self.accounts.iter().map(weight).sum()
    }
}

/// Returns the allowance of an account whose share is given in tokens per second.
pub(super) fn allowance_of(share: f64) -> AccountAllowance {
    let rate = |tokens| TokenRate(std::time::Duration::from_secs_f64(tokens).as_secs());
    AccountAllowance {
        share: rate(share),
        cap: Some(rate(share * CAP_FACTOR)),
    }
}

fn make_accounts(count: usize, pattern: impl Fn(usize) -> DemandPattern) -> Vec<Account> {
    (0..count)
        .map(|number| Account {
            id: format!("account-{number}").parse().expect("a valid name"),
            weight: weight_of(number),
            class: if number % 10 == 0 {
                PriorityClass::High
            } else {
                PriorityClass::Normal
            },
            pattern: pattern(number),
        })
        .collect()
}

/// One in five accounts has a weight of four, one in five a weight of two, the others one.
fn weight_of(number: usize) -> ShareWeight {
    let weight = match number % 5 {
        0 => 4,
        1 => 2,
        _ => 1,
    };
    ShareWeight::try_from(weight).expect("above zero")
}
