//! Admission of requests at the entries.

use celerycrank_shares::{Admission, DemandReport, GRANT_TIMEOUT, TokenGrant, home_of};
use celerycrank_types::{AccountId, TokenCount};

use super::{Fleet, MEAN_TOKENS, NETWORK_DELAY, Request, RunEvent};
use crate::shares::scenario::{SharePolicy, rates_of};

impl Fleet {
    /// Routes a request if its entry admits it; under token grants it may first wait for a grant.
    pub(super) fn admit(&mut self, request: usize) {
        match self.policy {
            SharePolicy::Shares => self.admit_by_grant(request),
            SharePolicy::StaticSplit => {
                if self.admit_by_static_split(request) {
                    self.route(request);
                }
            }
            SharePolicy::Fifo | SharePolicy::Unrefused => self.route(request),
        }
    }

    pub(super) fn admit_by_grant(&mut self, index: usize) {
        let Request { account, entry, .. } = self.requests[index];
        let id: AccountId = self.scenario.accounts[account].id.clone();
        let listed = self.entries.iter().filter(|entry| entry.listed);
        let home = home_of(&id, listed.map(|entry| &entry.id))
            .expect("an entry is listed")
            .clone();
        let home_index = self.entries.iter().position(|entry| entry.id == home);
        let home_index = home_index.expect("the home is a listed entry");
        let holder = &mut self.entries[entry].holder;
        match holder.admit(self.now, &home, &id, TokenCount(MEAN_TOKENS)) {
            Admission::Admitted(band) => {
                self.requests[index].band = band;
                self.route(index);
            }
            Admission::QueryHome(report) => {
                self.await_grant(index);
                self.control_traffic.record(entry, home_index, &report);
                let event = RunEvent::Report {
                    entry,
                    home: home_index,
                    report,
                };
                self.schedule(NETWORK_DELAY, event);
                self.schedule(GRANT_TIMEOUT, RunEvent::GrantTimeout { request: index });
            }
            Admission::Wait => {
                self.await_grant(index);
                self.schedule(GRANT_TIMEOUT, RunEvent::GrantTimeout { request: index });
            }
            Admission::Refused { .. } => self.remove_awaiting(index),
        }
    }

    pub(super) fn await_grant(&mut self, request: usize) {
        let Request { account, entry, .. } = self.requests[request];
        let waiting = self.entries[entry]
            .awaiting_grant
            .entry(account)
            .or_default();
        if !waiting.contains(&request) {
            waiting.push_back(request);
        }
    }

    pub(super) fn is_awaiting_grant(&self, request: usize) -> bool {
        let Request { account, entry, .. } = self.requests[request];
        let waiting = self.entries[entry].awaiting_grant.get(&account);
        waiting.is_some_and(|waiting| waiting.contains(&request))
    }

    pub(super) fn remove_awaiting(&mut self, request: usize) {
        let Request { account, entry, .. } = self.requests[request];
        if let Some(waiting) = self.entries[entry].awaiting_grant.get_mut(&account) {
            waiting.retain(|other| *other != request);
        }
    }

    pub(super) fn handle_report(&mut self, entry: usize, home: usize, report: &DemandReport) {
        if !self.entries[home].alive {
            return;
        }
        let account = self
            .scenario
            .accounts
            .iter()
            .position(|a| a.id == report.account);
        let share = self.tallies[account.expect("a known account")].share;
        let rates = rates_of(share);
        let grant = self.entries[home].home.grant(self.now, report, rates);
        self.control_traffic.record(home, entry, &grant);
        self.schedule(NETWORK_DELAY, RunEvent::Grant { entry, home, grant });
    }

    pub(super) fn apply_grant(&mut self, entry: usize, _home: usize, grant: &TokenGrant) {
        self.entries[entry].holder.apply_grant(self.now, grant);
        let account = self
            .scenario
            .accounts
            .iter()
            .position(|a| a.id == grant.account);
        let account = account.expect("a known account");
        let waiting = self.entries[entry].awaiting_grant.remove(&account);
        for request in waiting.unwrap_or_default() {
            self.admit_by_grant(request);
        }
    }

    /// Admits a request by the account's token bucket at the entry, which refills with an equal
    /// part of the account's share.
    pub(super) fn admit_by_static_split(&mut self, request: usize) -> bool {
        let Request { account, entry, .. } = self.requests[request];
        let rate = self.tallies[account].share / self.entries.len() as f64;
        let burst = rate.max(MEAN_TOKENS as f64);
        let (tokens, updated) = self.entries[entry]
            .split_buckets
            .get(&account)
            .copied()
            .unwrap_or((burst, self.now));
        let tokens = (tokens + rate * self.now.since(updated).as_secs_f64()).min(burst);
        let is_admitted = tokens >= MEAN_TOKENS as f64;
        let remaining = if is_admitted {
            tokens - MEAN_TOKENS as f64
        } else {
            tokens
        };
        self.entries[entry]
            .split_buckets
            .insert(account, (remaining, self.now));
        is_admitted
    }
}
