//! Handles orders from other entries: configuration updates and demand reports.

use std::rc::Rc;

use celerycrank_link::{LinkEndpoint, MessageReceiver, MessageSender, StreamError, serve_streams};
use celerycrank_types::Incarnation;
use celerycrank_wire::{BackendOffer, LoadReport, OfferKind, PeerOrder, PeerReply, WelcomeReply};

use crate::state::EntryState;

/// Serves other entries until the endpoint is closed.
pub(crate) async fn accept_peers(state: Rc<EntryState>, endpoint: LinkEndpoint) {
    let metrics_state = Rc::clone(&state);
    let on_handshake_error = move || metrics_state.metrics.wire_faults.inc();
    let serve = move |sender, receiver| serve_stream(Rc::clone(&state), sender, receiver);
    serve_streams(endpoint, on_handshake_error, serve).await;
}

async fn serve_stream(
    state: Rc<EntryState>,
    mut sender: MessageSender,
    mut receiver: MessageReceiver,
) {
    let order = match receiver.receive::<PeerOrder>().await {
        Ok(Some(order)) => order,
        Err(StreamError::Wire(_)) => {
            state.metrics.wire_faults.inc();
            return;
        }
        Ok(None) | Err(_) => return,
    };
    let reply = match order {
        PeerOrder::Hello(_) => PeerReply::Welcome(welcome(&state)),
        PeerOrder::Offer(order) => PeerReply::Configuration(state.sync.answer_offer(&order)),
        PeerOrder::Update(order) => PeerReply::Configuration(state.sync.answer_update(&order)),
        PeerOrder::Pull(order) => PeerReply::Configuration(state.sync.answer_pull(&order)),
        PeerOrder::Demand(report) => PeerReply::Grant(state.allowances.grant(&state, &report)),
        // An entry runs no requests. The sender handles the closed stream like a lost
        // connection.
        PeerOrder::Run(_) | PeerOrder::Revoke(_) => {
            state.metrics.wire_faults.inc();
            return;
        }
    };
    if sender.send(&reply).await.is_ok() {
        sender.finish();
    }
}

fn welcome(state: &EntryState) -> WelcomeReply {
    let entry = state.settings.entry.as_str();
    WelcomeReply {
        incarnation: Incarnation(0),
        clock: state.clock.now(),
        revision: state.revision(),
        offer: BackendOffer {
            backend: entry.parse().expect("an entry id is a valid backend id"),
            vm: entry.parse().expect("an entry id is a valid VM id"),
            domain: state.settings.domain.clone(),
            kind: OfferKind::Entry,
        },
        load: LoadReport::default(),
    }
}
