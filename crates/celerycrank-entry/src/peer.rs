//! Takes the orders of other entries: about the configuration, and demands for tokens.

use std::rc::Rc;

use celerycrank_link::{LinkEndpoint, MessageReceiver, MessageSender, StreamError, serve_streams};
use celerycrank_types::Incarnation;
use celerycrank_wire::{BackendOffer, LoadReport, OfferKind, PeerOrder, PeerReply, WelcomeReply};

use crate::state::EntryState;

/// Serves other entries until the endpoint is closed.
pub(crate) async fn accept_peers(state: Rc<EntryState>, endpoint: LinkEndpoint) {
    let observed = Rc::clone(&state);
    let refused = move || observed.metrics.wire_faults.inc();
    let serve = move |sender, receiver| serve_stream(Rc::clone(&state), sender, receiver);
    serve_streams(endpoint, refused, serve).await;
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
        // An entry runs nothing; the sender takes the closed stream for a lost link.
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
            backend: entry.parse().expect("every id has one form"),
            vm: entry.parse().expect("every id has one form"),
            domain: state.settings.domain.clone(),
            kind: OfferKind::Entry,
        },
        load: LoadReport::default(),
    }
}
