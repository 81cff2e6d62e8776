//! What the accounts demand, and what goes wrong meanwhile.

use celerycrank_config::PriorityClass;
use celerycrank_shares::AccountRates;
use celerycrank_types::{AccountId, ShareWeight, TokenRate};

/// Cap of an account's plan, as a multiple of its share.
const CAP_FACTOR: f64 = 4.0;

/// Demand of a flooding account, as a multiple of its share.
const FLOOD: f64 = 10.0;

/// Demand of a well-behaved account, as a part of its share.
const CALM: f64 = 0.9;

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
pub(super) enum Behaviour {
    /// Demands this multiple of its share throughout.
    Steady(f64),
    /// Demands ten times its share.
    Flood,
    /// Is idle every other while.
    OnAndOff,
}

/// One account.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) id: AccountId,
    pub(super) weight: ShareWeight,
    pub(super) class: PriorityClass,
    pub(super) behaviour: Behaviour,
}

impl Account {
    /// Demand as a multiple of the share.
    pub(super) fn demand(&self, second: u64) -> f64 {
        match self.behaviour {
            Behaviour::Steady(factor) => factor,
            Behaviour::Flood => FLOOD,
            Behaviour::OnAndOff if (second / IDLE_SECONDS).is_multiple_of(2) => CALM,
            Behaviour::OnAndOff => 0.0,
        }
    }

    /// Whether the account stays within its share.
    pub(super) fn is_calm(&self) -> bool {
        match self.behaviour {
            Behaviour::Steady(factor) => factor <= 1.0,
            Behaviour::Flood => false,
            Behaviour::OnAndOff => true,
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
    pub(super) disturbed: bool,
}

impl Scenario {
    /// Two in ten accounts flood, two fall idle now and then, the others stay within their share.
    pub(super) fn contention(accounts: usize, entries: usize, seconds: u64) -> Self {
        let behaviour = |number| match number % 10 {
            3 | 6 => Behaviour::Flood,
            4 | 8 => Behaviour::OnAndOff,
            _ => Behaviour::Steady(CALM),
        };
        Self {
            accounts: draw_accounts(accounts, behaviour),
            entries,
            seconds,
            disturbed: true,
        }
    }

    /// One in ten accounts is of the high class and within its share; the others overload.
    pub(super) fn overload(accounts: usize, entries: usize, seconds: u64, load: u32) -> Self {
        let behaviour = |number| match number % 10 {
            0 => Behaviour::Steady(CALM),
            _ => Behaviour::Steady(f64::from(load) / 100.0),
        };
        Self {
            accounts: draw_accounts(accounts, behaviour),
            entries,
            seconds,
            disturbed: false,
        }
    }

    /// Sum of the weights of all accounts.
    pub(super) fn total_weight(&self) -> f64 {
        let weight = |account: &Account| f64::from(account.weight.get());
        self.accounts.iter().map(weight).sum()
    }
}

/// What an account may use whose share is this many tokens a second.
pub(super) fn rates_of(share: f64) -> AccountRates {
    let rate = |tokens| TokenRate(std::time::Duration::from_secs_f64(tokens).as_secs());
    AccountRates {
        share: rate(share),
        cap: Some(rate(share * CAP_FACTOR)),
    }
}

fn draw_accounts(count: usize, behaviour: impl Fn(usize) -> Behaviour) -> Vec<Account> {
    (0..count)
        .map(|number| Account {
            id: format!("account-{number}").parse().expect("a valid name"),
            weight: weight_of(number),
            class: if number % 10 == 0 {
                PriorityClass::High
            } else {
                PriorityClass::Normal
            },
            behaviour: behaviour(number),
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
