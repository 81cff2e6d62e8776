//! Admission of requests at the entries of a fleet.

use celerycrank_shares::{Admission, DemandReport, GRANT_TIMEOUT, TokenGrant, home_of};
use celerycrank_types::{AccountId, TokenCount};

use super::{Fleet, HOP, Happening, MEAN_TOKENS, Request};
use crate::shares::scenario::{SharePolicy, allowance_of};

impl Fleet {
    /// Decides whether an entry takes a request under its account's cap.
    pub(super) fn decide(&mut self, request: usize) {
        match self.policy {
            SharePolicy::Shares => self.decide_by_grant(request),
            SharePolicy::StaticSplit => {
                if self.within_split(request) {
                    self.route(request);
                }
            }
            SharePolicy::Fifo | SharePolicy::Unrefused => self.route(request),
        }
    }

    pub(super) fn decide_by_grant(&mut self, index: usize) {
        let Request { account, entry, .. } = self.requests[index];
        let id: AccountId = self.scenario.accounts[account].id.clone();
        let listed = self.entries.iter().filter(|entry| entry.listed);
        let home = home_of(&id, listed.map(|entry| &entry.id))
            .expect("an entry is listed")
            .clone();
        let home_index = self.entries.iter().position(|entry| entry.id == home);
        let home_index = home_index.expect("a listed entry");
        let holder = &mut self.entries[entry].holder;
        match holder.admit(self.now, &home, &id, TokenCount(MEAN_TOKENS)) {
            Admission::Admitted(band) => {
                self.requests[index].band = band;
                self.route(index);
            }
            Admission::QueryHome(report) => {
                self.park(index);
                self.control.record(entry, home_index, &report);
                let happening = Happening::Report {
                    entry,
                    home: home_index,
                    report,
                };
                self.schedule(HOP, happening);
                self.schedule(GRANT_TIMEOUT, Happening::GiveUp { request: index });
            }
            Admission::Wait => {
                self.park(index);
                self.schedule(GRANT_TIMEOUT, Happening::GiveUp { request: index });
            }
            Admission::Refused { .. } => self.unpark(index),
        }
    }

    pub(super) fn park(&mut self, request: usize) {
        let Request { account, entry, .. } = self.requests[request];
        let parked = self.entries[entry].parked.entry(account).or_default();
        if !parked.contains(&request) {
            parked.push_back(request);
        }
    }

    pub(super) fn is_parked(&self, request: usize) -> bool {
        let Request { account, entry, .. } = self.requests[request];
        let parked = self.entries[entry].parked.get(&account);
        parked.is_some_and(|parked| parked.contains(&request))
    }

    pub(super) fn unpark(&mut self, request: usize) {
        let Request { account, entry, .. } = self.requests[request];
        if let Some(parked) = self.entries[entry].parked.get_mut(&account) {
            parked.retain(|other| *other != request);
        }
    }

    pub(super) fn report(&mut self, entry: usize, home: usize, report: &DemandReport) {
        if !self.entries[home].alive {
            return;
        }
        let account = self
            .scenario
            .accounts
            .iter()
            .position(|a| a.id == report.account);
        let share = self.tallies[account.expect("a known account")].share;
        let allowance = allowance_of(share);
        let grant = self.entries[home].home.grant(self.now, report, allowance);
        self.control.record(home, entry, &grant);
        self.schedule(HOP, Happening::Grant { entry, home, grant });
    }

    pub(super) fn apply_grant(&mut self, entry: usize, _home: usize, grant: &TokenGrant) {
        self.entries[entry].holder.apply_grant(self.now, grant);
        let account = self
            .scenario
            .accounts
            .iter()
            .position(|a| a.id == grant.account);
        let account = account.expect("a known account");
        let parked = self.entries[entry].parked.remove(&account);
        for request in parked.unwrap_or_default() {
            self.decide_by_grant(request);
        }
    }

    /// A token bucket for each account at each entry, with an equal part of the share.
    pub(super) fn within_split(&mut self, request: usize) -> bool {
        let Request { account, entry, .. } = self.requests[request];
        let rate = self.tallies[account].share / self.entries.len() as f64;
        let burst = rate.max(MEAN_TOKENS as f64);
        let (level, since) = self.entries[entry]
            .split
            .get(&account)
            .copied()
            .unwrap_or((burst, self.now));
        let level = (level + rate * self.now.since(since).as_secs_f64()).min(burst);
        let within = level >= MEAN_TOKENS as f64;
        let left = if within {
            level - MEAN_TOKENS as f64
        } else {
            level
        };
        self.entries[entry].split.insert(account, (left, self.now));
        within
    }
}
