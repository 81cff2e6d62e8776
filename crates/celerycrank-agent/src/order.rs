//! Handles orders from entries.

use std::rc::Rc;

use celerycrank_link::{LinkEndpoint, MessageReceiver, MessageSender, StreamError, serve_streams};
use celerycrank_requests::{AttemptAction, AttemptEvent, AttemptId, RevokeAnswer};
use celerycrank_wire::{PeerOrder, PeerReply, RevokeOrder, RevokeReply, RevokeVerdict};

use crate::{run::run_order, state::AgentState};

/// Serves entries until the endpoint is closed.
pub(crate) async fn accept_entries(state: Rc<AgentState>, endpoint: LinkEndpoint) {
    let metrics_state = Rc::clone(&state);
    let on_handshake_error = move || metrics_state.metrics.handshake_faults.inc();
    let serve = move |sender, receiver| serve_stream(Rc::clone(&state), sender, receiver);
    serve_streams(endpoint, on_handshake_error, serve).await;
}

async fn serve_stream(
    state: Rc<AgentState>,
    mut sender: MessageSender,
    mut receiver: MessageReceiver,
) {
    let order = match receiver.receive().await {
        Ok(Some(order)) => order,
        Err(StreamError::Wire(_)) => {
            state.metrics.wire_faults.inc();
            return;
        }
        Ok(None) | Err(_) => return,
    };
    match order {
        PeerOrder::Run(order) => run_order(state, order.into_owned(), sender).await,
        PeerOrder::Hello(_) => reply(&mut sender, PeerReply::Welcome(state.welcome())).await,
        PeerOrder::Revoke(order) => {
            let answer = revoke(&state, order);
            reply(&mut sender, PeerReply::Revoked(answer)).await;
        }
        PeerOrder::Pull(order) => {
            let answer = state.sync.answer_pull(&order);
            reply(&mut sender, PeerReply::Configuration(answer)).await;
        }
        PeerOrder::Offer(order) => {
            let answer = state.sync.answer_offer(&order);
            reply(&mut sender, PeerReply::Configuration(answer)).await;
        }
        // Only entries grant allowances. The sender handles the closed stream like a lost
        // connection.
        PeerOrder::Demand(_) => state.metrics.wire_faults.inc(),
        PeerOrder::Update(order) => {
            let answer = state.sync.answer_update(&order);
            reply(&mut sender, PeerReply::Configuration(answer)).await;
        }
    }
}

async fn reply(sender: &mut MessageSender, message: PeerReply) {
    // If the entry disconnected, it asks again in case it still needs the reply.
    if sender.send(&message).await.is_ok() {
        sender.finish();
    }
}

fn revoke(state: &AgentState, order: RevokeOrder) -> RevokeReply {
    state.metrics.revoked.inc();
    let attempt = AttemptId {
        request: order.id,
        number: order.attempt,
    };
    let event = AttemptEvent::Revoked {
        incarnation: order.agent,
        deadline: order.start_by,
    };
    let actions = state.apply_attempt_event(attempt, event);
    let answer = actions.iter().find_map(|action| match action {
        AttemptAction::Answer(answer) => Some(*answer),
        // The attempt's task releases its claim once it finds the tombstone in the ledger.
        _ => None,
    });
    RevokeReply {
        id: order.id,
        incarnation: state.incarnation,
        verdict: answer.map_or(RevokeVerdict::Forgotten, to_verdict),
    }
}

const fn to_verdict(answer: RevokeAnswer) -> RevokeVerdict {
    match answer {
        RevokeAnswer::NeverStarted => RevokeVerdict::NeverStarted,
        RevokeAnswer::Started => RevokeVerdict::Started,
        RevokeAnswer::Finished => RevokeVerdict::Finished,
        RevokeAnswer::Unproved(reason) => RevokeVerdict::Unproved(reason),
        RevokeAnswer::Forgotten => RevokeVerdict::Forgotten,
        RevokeAnswer::OtherIncarnation => RevokeVerdict::OtherIncarnation,
    }
}
