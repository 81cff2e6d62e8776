//! Weighted fair queueing over the accounts whose requests exceed their shares.

use std::collections::{BTreeMap, BTreeSet};

use celerycrank_config::PriorityClass;
use celerycrank_types::{AccountId, TokenCount};

use crate::{
    account::{AccountQueue, VirtualTime, WaitingRequest},
    request::QueueRequest,
};

/// Number of priority classes.
const CLASS_COUNT: usize = 3;

/// A weighted fair queue over accounts.
///
/// Each account has a virtual time up to which it has been served, in tokens per unit of weight.
/// The account that is furthest behind is always eligible, and so is each account that is ahead
/// of it by no more than the burst. Among the eligible accounts, the one with the highest class
/// is served first, then the one furthest behind. A higher class therefore shortens the wait, but
/// never increases the share.
///
/// Invariants:
/// - while requests wait, at least one account is eligible;
/// - an account is kept only while it has waiting or running requests or is ahead of the virtual
///   time;
/// - the virtual time never decreases.
#[derive(Debug)]
pub(crate) struct WeightedFairQueue {
    burst: TokenCount,
    accounts: BTreeMap<AccountId, AccountQueue>,
    /// Accounts with waiting requests that are ahead by no more than the burst, by class.
    eligible: [BTreeSet<(VirtualTime, AccountId)>; CLASS_COUNT],
    /// Accounts with waiting requests that are ahead by more than the burst.
    ahead: BTreeSet<(VirtualTime, AccountId)>,
    /// Accounts with waiting requests, by the virtual time up to which they were served.
    served: BTreeSet<(VirtualTime, AccountId)>,
    /// Accounts with waiting requests, by waiting work per unit of weight.
    backlog: BTreeSet<(i128, AccountId)>,
    /// Accounts without waiting or running requests that are still ahead of the virtual time.
    idle: BTreeSet<(VirtualTime, AccountId)>,
    virtual_time: VirtualTime,
    /// Invariant: equals the sum of the weights of the accounts in `served`.
    waiting_weight: u64,
    /// Invariant: equals the sum of the costs of all waiting requests.
    waiting_cost: u64,
}

impl WeightedFairQueue {
    pub(crate) fn new(burst: TokenCount) -> Self {
        Self {
            burst,
            accounts: BTreeMap::new(),
            eligible: Default::default(),
            ahead: BTreeSet::new(),
            served: BTreeSet::new(),
            backlog: BTreeSet::new(),
            idle: BTreeSet::new(),
            virtual_time: VirtualTime::default(),
            waiting_weight: 0,
            waiting_cost: 0,
        }
    }

    /// Number of accounts that are kept.
    pub(crate) fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Estimated work of all waiting requests.
    pub(crate) const fn waiting_cost(&self) -> TokenCount {
        TokenCount(self.waiting_cost)
    }

    /// Estimated work that is served before a new request: the account's own work, scaled by
    /// its fraction of the rate, and at most all waiting work.
    pub(crate) fn work_ahead(&self, request: &QueueRequest) -> f64 {
        let weight = f64::from(request.weight.get());
        let (own, others) = match self.accounts.get(&request.account) {
            Some(account) => {
                let tokens_ahead = account
                    .served
                    .tokens_ahead(self.virtual_time, account.weight);
                let counted = if account.waiting.is_empty() {
                    0
                } else {
                    u64::from(account.weight.get())
                };
                let others = self.waiting_weight - counted;
                (account.waiting_cost as f64 + tokens_ahead, others)
            }
            None => (0.0, self.waiting_weight),
        };
        let ahead = own * (others as f64 + weight) / weight;
        ahead.min(self.waiting_cost as f64)
    }

    /// Appends a request to its account's queue.
    pub(crate) fn append(&mut self, request: &QueueRequest, sequence: u64, item: WaitingRequest) {
        let virtual_time = self.virtual_time;
        self.accounts
            .entry(request.account.clone())
            .or_insert_with(|| AccountQueue::new(request.weight, request.class, virtual_time));
        self.update_account(&request.account, |account| {
            if account.waiting.is_empty() {
                // An account doesn't accumulate credit while it has no requests.
                account.served = account.served.max(virtual_time);
            }
            account.weight = request.weight;
            account.class = request.class;
            account.append(sequence, item);
        });
        self.waiting_cost += item.cost.0;
        self.advance_virtual_time();
    }

    /// Removes a request from any position of its account's queue.
    pub(crate) fn remove(&mut self, account: &AccountId, sequence: u64) -> WaitingRequest {
        let request = self
            .update_account(account, |account| account.take(sequence))
            .expect("a queue position refers to a waiting request");
        self.waiting_cost -= request.cost.0;
        self.advance_virtual_time();
        request
    }

    /// Removes the request that is served next and charges its account.
    pub(crate) fn start_first(&mut self) -> Option<(AccountId, WaitingRequest)> {
        let first = self.eligible.iter().find_map(BTreeSet::first);
        assert!(
            first.is_some() || self.served.is_empty(),
            "requests wait and no account is eligible"
        );
        let account = first?.1.clone();
        let request = self
            .update_account(&account, |account| {
                let (sequence, _) = account.waiting.first_key_value()?;
                let request = account.take(*sequence)?;
                account.running += 1;
                account.charge(i128::from(request.cost.0));
                Some(request)
            })
            .expect("an eligible account has a waiting request");
        self.waiting_cost -= request.cost.0;
        self.advance_virtual_time();
        Some((account, request))
    }

    /// Ends a running request and corrects the charge to its actual usage.
    pub(crate) fn settle(&mut self, account: &AccountId, cost: TokenCount, used: TokenCount) {
        self.update_account(account, |account| {
            account.running -= 1;
            account.charge(i128::from(used.0) - i128::from(cost.0));
        });
        self.advance_virtual_time();
    }

    /// The newest request of the account with the most waiting work relative to its weight.
    pub(crate) fn most_backlogged(&self) -> Option<WaitingRequest> {
        let (_, account) = self.backlog.last()?;
        let (_, request) = self.accounts[account].waiting.last_key_value()?;
        Some(*request)
    }

    /// Updates an account and the indexes that order the accounts.
    fn update_account<T>(
        &mut self,
        id: &AccountId,
        edit: impl FnOnce(&mut AccountQueue) -> T,
    ) -> T {
        let mut account = self
            .accounts
            .remove(id)
            .expect("a request in the queue has an account");
        self.remove_from_indexes(id, &account);
        let result = edit(&mut account);
        self.add_to_indexes(id, &account);
        self.accounts.insert(id.clone(), account);
        result
    }

    fn remove_from_indexes(&mut self, id: &AccountId, account: &AccountQueue) {
        let key = (account.served, id.clone());
        if account.waiting.is_empty() {
            self.idle.remove(&key);
            return;
        }
        let eligible_at = account.eligible_at(self.burst);
        self.ahead.remove(&(eligible_at, id.clone()));
        self.eligible[class_index(account.class)].remove(&key);
        self.backlog.remove(&(account.backlog(), id.clone()));
        self.served.remove(&key);
        self.waiting_weight -= u64::from(account.weight.get());
    }

    fn add_to_indexes(&mut self, id: &AccountId, account: &AccountQueue) {
        let key = (account.served, id.clone());
        if account.is_idle() {
            self.idle.insert(key);
            return;
        }
        if account.waiting.is_empty() {
            return;
        }
        let eligible_at = account.eligible_at(self.burst);
        if eligible_at <= self.virtual_time {
            self.eligible[class_index(account.class)].insert(key.clone());
        } else {
            self.ahead.insert((eligible_at, id.clone()));
        }
        self.backlog.insert((account.backlog(), id.clone()));
        self.served.insert(key);
        self.waiting_weight += u64::from(account.weight.get());
    }

    /// Advances the virtual time to that of the account furthest behind.
    fn advance_virtual_time(&mut self) {
        let furthest_behind = match self.served.first() {
            Some((served, _)) => *served,
            // Without contention, no account is ahead of its share.
            None => self.latest_idle(),
        };
        self.virtual_time = self.virtual_time.max(furthest_behind);
        self.promote_eligible();
        self.forget_idle();
    }

    fn latest_idle(&self) -> VirtualTime {
        let latest = self.idle.last().map(|(served, _)| *served);
        latest.unwrap_or_default()
    }

    fn promote_eligible(&mut self) {
        while let Some((eligible_at, _)) = self.ahead.first() {
            if *eligible_at > self.virtual_time {
                break;
            }
            if let Some((_, id)) = self.ahead.pop_first() {
                let account = &self.accounts[&id];
                self.eligible[class_index(account.class)].insert((account.served, id));
            }
        }
    }

    fn forget_idle(&mut self) {
        while let Some((served, _)) = self.idle.first() {
            if *served > self.virtual_time {
                break;
            }
            if let Some((_, id)) = self.idle.pop_first() {
                self.accounts.remove(&id);
            }
        }
    }
}

const fn class_index(class: PriorityClass) -> usize {
    match class {
        PriorityClass::High => 0,
        PriorityClass::Normal => 1,
        PriorityClass::Low => 2,
    }
}
