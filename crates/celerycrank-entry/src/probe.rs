//! Applies the member table's states to the agents, and probes the members that failed.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_membership::{MemberEvidence, VmDescriptor, VmRole};
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
            for descriptor in leaving_members(&state) {
                actix_rt::spawn(query_load(Rc::clone(&state), descriptor));
            }
        }
        for descriptor in state.sync.tick_members() {
            actix_rt::spawn(probe(Rc::clone(&state), descriptor));
        }
        refresh_member_states(&state);
        sleep(MEMBER_REFRESH_INTERVAL).await;
    }
}

/// Members that accept work according to the member table, but whose agents last reported that
/// they are leaving.
fn leaving_members(state: &EntryState) -> Vec<VmDescriptor> {
    let agents = state.agents.borrow();
    let members = state.sync.members();
    let leaving = agents.records().filter(|record| record.load().leaving);
    let descriptors = leaving.filter_map(|record| members.descriptor(&record.offer.vm).cloned());
    descriptors
        .filter(|descriptor| members.state(&descriptor.vm).accepts_work())
        .collect()
}

/// Queries an agent's current load on a new connection.
async fn query_load(state: Rc<EntryState>, descriptor: VmDescriptor) {
    if let Ok(link) = state.pool.open(descriptor.address, state.revision()).await {
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
    let agents = members
        .descriptors()
        .filter(|descriptor| !descriptor.role.is_entry());
    for descriptor in agents.filter(|descriptor| !state.agents.borrow().contains_vm(&descriptor.vm))
    {
        actix_rt::spawn(probe(Rc::clone(state), descriptor.clone()));
    }
}

/// Adds an agent from its welcome message; returns `None` if the peer is an entry.
pub(crate) fn register_agent(
    state: &EntryState,
    address: SocketAddr,
    welcome: &WelcomeReply,
) -> Option<VmDescriptor> {
    let descriptor = agent_descriptor(address, &welcome.offer)?;
    let is_known = state.agents.borrow().contains_vm(&descriptor.vm);
    if !is_known {
        let mut agents = state.agents.borrow_mut();
        agents.insert(
            address,
            welcome.offer.clone(),
            welcome.load,
            state.clock.now(),
        );
    }
    Some(descriptor)
}

async fn probe(state: Rc<EntryState>, descriptor: VmDescriptor) {
    let connecting = state.pool.connect(descriptor.address, state.revision());
    let Ok(link) = connecting.await else {
        state.sync.observe(&descriptor.vm, MemberEvidence::Failed);
        return;
    };
    let Some(found) = register_agent(&state, descriptor.address, &link.welcome) else {
        // The peer is an entry, whose welcome describes no backend server.
        state.sync.observe(&descriptor.vm, MemberEvidence::Answered);
        return;
    };
    if found.vm == descriptor.vm {
        state.sync.on_live_vm(&found);
        state.sync.observe(&descriptor.vm, MemberEvidence::Answered);
    }
    refresh_member_states(&state);
}

fn refresh_member_states(state: &EntryState) {
    let mut agents = state.agents.borrow_mut();
    agents.apply_member_states(&state.sync.members(), state.clock.now());
}

fn agent_descriptor(address: SocketAddr, offer: &BackendOffer) -> Option<VmDescriptor> {
    let role = match &offer.kind {
        OfferKind::Model(model) => VmRole::Engine(model.clone()),
        OfferKind::Service(service) => VmRole::Service(service.clone()),
        OfferKind::Entry => return None,
    };
    Some(VmDescriptor {
        vm: offer.vm.clone(),
        domain: offer.domain.clone(),
        address,
        role,
        backend: Some(offer.backend.clone()),
        group: None,
    })
}
