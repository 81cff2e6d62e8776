//! Judges agents by the member table, and probes those that failed.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_membership::{MemberEvidence, VmFact, VmRole};
use celerycrank_wire::{BackendOffer, OfferKind, WelcomeReply};

use crate::{roster::AgentRecord, state::EntryState};

/// Interval at which the member table's judgements are taken.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Notes that an agent failed, so that it gets no work until it answers again.
pub(crate) fn note_failure(state: &EntryState, record: &AgentRecord) {
    state.sync.observe(&record.offer.vm, MemberEvidence::Failed);
    judge_agents(state);
}

/// Takes the member table's judgements again and again, and probes whom it names.
pub(crate) async fn follow_members(state: Rc<EntryState>) {
    loop {
        for fact in state.sync.tick_members() {
            actix_rt::spawn(probe(Rc::clone(&state), fact));
        }
        judge_agents(&state);
        sleep(JUDGE_INTERVAL).await;
    }
}

/// Learns who the agents named by the VM list are.
pub(crate) fn learn_members(state: &Rc<EntryState>) {
    judge_agents(state);
    let members = state.sync.members();
    let agents = members.facts().filter(|fact| !fact.role.is_entry());
    for fact in agents.filter(|fact| !state.roster.borrow().knows(&fact.vm)) {
        actix_rt::spawn(probe(Rc::clone(state), fact.clone()));
    }
}

/// Takes what an agent says of itself; `false` if the VM is not the one that was meant.
pub(crate) fn take_welcome(
    state: &EntryState,
    address: SocketAddr,
    welcome: &WelcomeReply,
) -> Option<VmFact> {
    let fact = agent_fact(address, &welcome.offer)?;
    let known = state.roster.borrow().knows(&fact.vm);
    if !known {
        let mut roster = state.roster.borrow_mut();
        roster.insert(address, welcome.offer.clone(), welcome.load);
    }
    Some(fact)
}

async fn probe(state: Rc<EntryState>, fact: VmFact) {
    let connecting = state.pool.connect(fact.address, state.revision());
    let Ok(link) = connecting.await else {
        state.sync.observe(&fact.vm, MemberEvidence::Failed);
        return;
    };
    let Some(found) = take_welcome(&state, fact.address, &link.welcome) else {
        return;
    };
    let evidence = if link.welcome.load.leaving {
        MemberEvidence::AgentLeaving
    } else {
        MemberEvidence::Answered
    };
    if found.vm == fact.vm {
        state.sync.observe(&fact.vm, evidence);
    }
    judge_agents(&state);
}

fn judge_agents(state: &EntryState) {
    let mut roster = state.roster.borrow_mut();
    roster.judge_all(&state.sync.members(), state.clock.now());
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
