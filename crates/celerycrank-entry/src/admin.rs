//! The entry's admin pages.

use std::{cell::Cell, collections::BTreeMap, rc::Rc};

use celerycrank_membership::{MemberState, StopTarget};
use celerycrank_process::AdminPages;
use celerycrank_types::{
    AccountId, BackendId, DomainId, EntryId, PlanId, Revision, ShareWeight, TokenCount,
};
use celerycrank_wire::{LoadReport, OfferKind};
use serde::Serialize;

use crate::state::EntryState;

/// The entry's admin pages.
pub(crate) struct EntryPages {
    pub(crate) state: Rc<EntryState>,
    pub(crate) connections: Rc<Cell<u32>>,
}

/// The entry's status, as `/status` shows it.
#[derive(Debug, Serialize)]
struct EntryStatus {
    entry: EntryId,
    revision: Revision,
    ready: bool,
    /// The planned stop of this entry, if it has begun.
    stopping: Option<StopTarget>,
    connections: u32,
    backends: Vec<BackendStatus>,
    accounts: Vec<AccountStatus>,
    refusals: BTreeMap<&'static str, u64>,
    retries: BTreeMap<&'static str, u64>,
    unknown: BTreeMap<&'static str, u64>,
}

#[derive(Debug, Serialize)]
struct BackendStatus {
    backend: BackendId,
    state: MemberState,
    kind: OfferKind,
    domain: DomainId,
    load: LoadReport,
}

#[derive(Debug, Serialize)]
struct AccountStatus {
    account: AccountId,
    plan: PlanId,
    share: Option<ShareWeight>,
    /// Estimated tokens of the requests that this entry has admitted.
    admitted_tokens: TokenCount,
}

impl EntryPages {
    fn backends(&self) -> Vec<BackendStatus> {
        let agents = self.state.agents.borrow();
        let mut backends = agents
            .records()
            .map(|record| BackendStatus {
                backend: record.offer.backend.clone(),
                state: record.member_state(),
                kind: record.offer.kind.clone(),
                domain: record.offer.domain.clone(),
                load: record.load(),
            })
            .collect::<Vec<_>>();
        backends.sort_by(|left, right| left.backend.cmp(&right.backend));
        backends
    }

    fn accounts(&self) -> Vec<AccountStatus> {
        let Some(in_force) = self.state.in_force() else {
            return Vec::new();
        };
        let plans = &in_force.configuration.plans.plans;
        let accounts = in_force.configuration.customers.accounts.iter();
        accounts
            .map(|account| AccountStatus {
                account: account.account.clone(),
                plan: account.plan.clone(),
                share: plans
                    .iter()
                    .find(|plan| plan.plan == account.plan)
                    .map(|plan| plan.share),
                admitted_tokens: self.state.admitted(&account.account),
            })
            .collect()
    }
}

impl AdminPages for EntryPages {
    fn metrics(&self) -> Vec<u8> {
        let connections = self.connections.get();
        self.state.metrics.connections.set(connections.into());
        self.state.metrics.set.render()
    }

    fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    fn status(&self) -> Vec<u8> {
        let status = EntryStatus {
            entry: self.state.settings.entry.clone(),
            revision: self.state.revision(),
            ready: self.state.is_ready(),
            stopping: self.state.sync.own_stop(),
            connections: self.connections.get(),
            backends: self.backends(),
            accounts: self.accounts(),
            refusals: self.state.metrics.refusals.counts().collect(),
            retries: self.state.metrics.retries.counts().collect(),
            unknown: self.state.metrics.unknowns.counts().collect(),
        };
        serde_json::to_vec(&status).expect("the status is serializable")
    }
}
