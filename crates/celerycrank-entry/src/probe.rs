//! Applies the member table's states to the agents, and probes the members that failed.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_membership::{MemberEvidence, VmFact, VmRole};
use celerycrank_wire::{BackendOffer, OfferKind, WelcomeReply};

use crate::{agents::AgentRecord, state::EntryState};

/// Interval at which the member table's states are applied to the agents.
const MEMBER_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Number of refreshes between two load queries to an agent that reported that it is leaving.
const REFRESHES_PER_LOAD_QUERY: u64 = 20;

/// Reports an agent's failure to the member table, so that it gets no work until it answers
/// again.
pub(crate) fn report_failure(state: &EntryState, record: &AgentRecord) {
    state.sync.observe(&record.offer.vm, MemberEvidence::Failed);
    refresh_member_states(state);
}

/// Periodically applies the member table's states to the agents and probes the members that
/// the table selects.
///
/// An agent that reported that it is leaving is queried again, since it gets no requests whose
/// replies could report that it accepts work again.
pub(crate) async fn monitor_members(state: Rc<EntryState>) {
    for refresh in 0_u64.. {
        if refresh.is_multiple_of(REFRESHES_PER_LOAD_QUERY) {
            for fact in leaving_members(&state) {
                actix_rt::spawn(query_load(Rc::clone(&state), fact));
            }
        }
        for fact in state.sync.tick_members() {
            actix_rt::spawn(probe(Rc::clone(&state), fact));
        }
        refresh_member_states(&state);
        sleep(MEMBER_REFRESH_INTERVAL).await;
    }
}

/// Members that accept work according to the member table, but whose agents last reported that
/// they are leaving.
fn leaving_members(state: &EntryState) -> Vec<VmFact> {
    let agents = state.agents.borrow();
    let members = state.sync.members();
    let leaving = agents.records().filter(|record| record.load().leaving);
    let facts = leaving.filter_map(|record| members.fact(&record.offer.vm).cloned());
    facts
        .filter(|fact| members.state(&fact.vm).takes_work())
        .collect()
}

/// Queries an agent's current load on a new connection.
async fn query_load(state: Rc<EntryState>, fact: VmFact) {
    if let Ok(link) = state.pool.open(fact.address, state.revision()).await {
        let agents = state.agents.borrow();
        let record = agents
            .records()
            .find(|record| record.offer.vm == link.welcome.offer.vm);
        if let Some(record) = record {
            record.update_load(link.welcome.load, state.clock.now());
        }
    }
}

/// Identifies the agents in the VM list that are not yet known.
pub(crate) fn discover_members(state: &Rc<EntryState>) {
    refresh_member_states(state);
    state.allowances.refresh(state);
    let members = state.sync.members();
    let agents = members.facts().filter(|fact| !fact.role.is_entry());
    for fact in agents.filter(|fact| !state.agents.borrow().contains_vm(&fact.vm)) {
        actix_rt::spawn(probe(Rc::clone(state), fact.clone()));
    }
}

/// Adds an agent from its welcome message; returns `None` if the peer is an entry.
pub(crate) fn register_agent(
    state: &EntryState,
    address: SocketAddr,
    welcome: &WelcomeReply,
) -> Option<VmFact> {
    let fact = agent_fact(address, &welcome.offer)?;
    let is_known = state.agents.borrow().contains_vm(&fact.vm);
    if !is_known {
        let mut agents = state.agents.borrow_mut();
        agents.insert(
            address,
            welcome.offer.clone(),
            welcome.load,
            state.clock.now(),
        );
    }
    Some(fact)
}

async fn probe(state: Rc<EntryState>, fact: VmFact) {
    let connecting = state.pool.connect(fact.address, state.revision());
    let Ok(link) = connecting.await else {
        state.sync.observe(&fact.vm, MemberEvidence::Failed);
        return;
    };
    let Some(found) = register_agent(&state, fact.address, &link.welcome) else {
        // The peer is an entry, whose welcome describes no backend server.
        state.sync.observe(&fact.vm, MemberEvidence::Answered);
        return;
    };
    if found.vm == fact.vm {
        state.sync.on_fact(&found);
        state.sync.observe(&fact.vm, MemberEvidence::Answered);
    }
    refresh_member_states(&state);
}

fn refresh_member_states(state: &EntryState) {
    let mut agents = state.agents.borrow_mut();
    agents.apply_member_states(&state.sync.members(), state.clock.now());
}

fn agent_fact(address: SocketAddr, offer: &BackendOffer) -> Option<VmFact> {
    let role = match &offer.kind {
        OfferKind::Model(model) => VmRole::Engine(model.clone()),
        OfferKind::Service(service) => VmRole::Service(service.clone()),
        OfferKind::Entry => return None,
    };
    Some(VmFact {
        vm: offer.vm.clone(),
        domain: offer.domain.clone(),
        address,
        role,
        backend: Some(offer.backend.clone()),
        group: None,
    })
}
