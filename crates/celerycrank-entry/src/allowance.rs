//! Enforces the rate caps of plans across entries, by grants from each account's home.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use actix_rt::time::{sleep, timeout};
use celerycrank_membership::MemberEvidence;
use celerycrank_shares::{
    AccountRates, Admission, DemandReport, GRANT_TIMEOUT, GrantHolder, GrantHome, TokenGrant,
    home_of,
};
use celerycrank_types::{AccountId, EntryId, TimeSpan, TokenCount, TokenRate};
use celerycrank_wire::{PeerOrder, PeerReply};

use crate::state::EntryState;

/// Interval at which a request checks for a grant while another request's query is in flight.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The grants that an entry holds, and those that it issues as a home.
#[derive(Debug, Default)]
pub(crate) struct AllowanceService {
    holder: RefCell<GrantHolder>,
    home: RefCell<GrantHome>,
    /// The entries that may be homes, including this one.
    entries: RefCell<Vec<EntryId>>,
}

impl AllowanceService {
    /// Updates the list of live entries and removes idle accounts.
    pub(crate) fn refresh(&self, state: &EntryState) {
        let members = state.sync.members();
        let live = members
            .descriptors()
            .filter(|descriptor| descriptor.role.is_entry());
        let live = live.filter(|descriptor| members.state(&descriptor.vm).accepts_work());
        let mut entries = live
            .filter_map(|descriptor| descriptor.vm.as_str().parse().ok())
            .collect::<Vec<_>>();
        if !entries.contains(&state.settings.entry) {
            entries.push(state.settings.entry.clone());
        }
        self.entries.replace(entries);
        let now = state.clock.now();
        self.holder.borrow_mut().forget_idle(now);
        self.home.borrow_mut().forget_idle(now);
    }

    /// Charges a request to its account's rate cap.
    ///
    /// Fails with the time after which a retry may succeed.
    pub(crate) async fn charge(
        &self,
        state: &EntryState,
        account: &AccountId,
        cost: TokenCount,
    ) -> Result<(), TimeSpan> {
        loop {
            let home = self.home_of(state, account);
            let now = state.clock.now();
            let admission = self.holder.borrow_mut().admit(now, &home, account, cost);
            match admission {
                Admission::Admitted(_) => return Ok(()),
                Admission::Refused { retry_after } => return Err(retry_after),
                Admission::Wait => sleep(GRANT_POLL_INTERVAL).await,
                Admission::QueryHome(report) => self.query_home(state, &home, report).await,
            }
        }
    }

    /// Answers a demand report as the account's home.
    pub(crate) fn grant(&self, state: &EntryState, report: &DemandReport) -> TokenGrant {
        let cap = state
            .in_force()
            .and_then(|known| known.table.rate_cap(&report.account));
        // Entries enforce only the rate cap, and agents divide contended capacity. With a share
        // as large as the cap, all tokens granted under the cap count as within the share. An
        // account without a cap needs no share, since its use is not limited here.
        let share = cap.unwrap_or(TokenRate(0));
        let rates = AccountRates { share, cap };
        self.home
            .borrow_mut()
            .grant(state.clock.now(), report, rates)
    }

    fn home_of(&self, state: &EntryState, account: &AccountId) -> EntryId {
        let entries = self.entries.borrow();
        home_of(account, &*entries)
            .unwrap_or(&state.settings.entry)
            .clone()
    }

    /// Queries the home for a grant; without an answer, the holder continues on its own after
    /// its timeout.
    async fn query_home(&self, state: &EntryState, home: &EntryId, report: DemandReport) {
        let grant = if *home == state.settings.entry {
            Some(self.grant(state, &report))
        } else {
            query_peer(state, home, report).await
        };
        match grant {
            Some(grant) => self
                .holder
                .borrow_mut()
                .apply_grant(state.clock.now(), &grant),
            None => sleep(GRANT_POLL_INTERVAL).await,
        }
    }
}

async fn query_peer(
    state: &EntryState,
    home: &EntryId,
    report: DemandReport,
) -> Option<TokenGrant> {
    let vm = home.as_str().parse().ok()?;
    let address = state.sync.members().descriptor(&vm)?.address;
    let request = request_grant(state, address, report);
    let grant = timeout(GRANT_TIMEOUT.as_duration(), request)
        .await
        .ok()
        .flatten();
    if grant.is_none() {
        state.sync.observe(&vm, MemberEvidence::Failed);
    }
    grant
}

async fn request_grant(
    state: &EntryState,
    address: SocketAddr,
    report: DemandReport,
) -> Option<TokenGrant> {
    let link = state.pool.connect(address, state.revision()).await.ok()?;
    let (_sender, mut receiver) = link.send(&PeerOrder::Demand(report)).await.ok()?;
    match receiver.receive().await {
        Ok(Some(PeerReply::Grant(grant))) => Some(grant),
        _ => None,
    }
}
