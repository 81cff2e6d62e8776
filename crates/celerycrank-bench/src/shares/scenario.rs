//! What the accounts demand, and what goes wrong meanwhile.

use celerycrank_config::PriorityClass;
use celerycrank_shares::AccountAllowance;
use celerycrank_types::{AccountId, ShareWeight, TokenRate};

/// Cap of an account's plan, as a multiple of its share.
const CAP_FACTOR: f64 = 4.0;

/// Demand of a flooding account, as a multiple of its share.
const FLOOD_DEMAND: f64 = 10.0;

/// Demand of a well-behaved account, as a part of its share.
const MODERATE_DEMAND: f64 = 0.9;

/// Span for which an account that falls idle asks for nothing, and then asks again.
const IDLE_SECONDS: u64 = 7;

/// How the accounts' shares are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SharePolicy {
    /// Fair queues in the agents, grants between the entries.
    Shares,
    /// One bounded queue in order of arrival.
    Fifo,
    /// Each entry holds each account to its equal part of the share.
    StaticSplit,
    /// One queue in order of arrival that refuses nothing.
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

/// How an account behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum DemandPattern {
    /// Demands this multiple of its share throughout.
    Steady(f64),
    /// Demands ten times its share.
    Flood,
    /// Is idle every other while.
    Intermittent,
}

/// One account.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) id: AccountId,
    pub(super) weight: ShareWeight,
    pub(super) class: PriorityClass,
    pub(super) pattern: DemandPattern,
}

impl Account {
    /// Demand as a multiple of the share.
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

    /// Whether the account stays within its share.
    pub(super) fn stays_within_share(&self) -> bool {
        match self.pattern {
            DemandPattern::Steady(factor) => factor <= 1.0,
            DemandPattern::Flood => false,
            DemandPattern::Intermittent => true,
        }
    }
}

/// A run's accounts and events.
#[derive(Debug, Clone)]
pub(super) struct Scenario {
    pub(super) accounts: Vec<Account>,
    pub(super) entries: usize,
    pub(super) seconds: u64,
    /// Whether an entry leaves and returns, and a home is lost.
    pub(super) with_entry_failures: bool,
}

impl Scenario {
    /// Two in ten accounts flood, two fall idle now and then, the others stay within their share.
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

    /// One in ten accounts is of the high class and within its share; the others overload.
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

    /// Sum of the weights of all accounts.
    pub(super) fn total_weight(&self) -> f64 {
        let weight = |account: &Account| f64::from(account.weight.get());
        self.accounts.iter().map(weight).sum()
    }
}

/// What an account may use whose share is this many tokens a second.
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

/// Few accounts are large.
fn weight_of(number: usize) -> ShareWeight {
    let weight = match number % 5 {
        0 => 4,
        1 => 2,
        _ => 1,
    };
    ShareWeight::try_from(weight).expect("above zero")
}
