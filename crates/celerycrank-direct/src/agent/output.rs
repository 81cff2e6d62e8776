//! Executes the outputs of [`RankAgent`](celerycrank_groups::RankAgent), which decides what the
//! agent does.

use std::rc::Rc;

use celerycrank_groups::{
    LeaderEvent, MemberIndex, OrderAnswer, RankAction, RankMessage, RankOrder, RankOutput,
    RankOutputs,
};
use celerycrank_platform::{LISTS_TARGET, ORDER_TARGET, read_lists, write_order};

use super::{
    engine::{CallError, EngineAnswer, unreadable},
    state::AgentState,
};
use crate::message::PeerMessage;

/// Executes outputs of the `RankAgent` in their order.
pub(crate) fn apply_outputs(state: &Rc<AgentState>, outputs: RankOutputs) {
    for output in outputs {
        match output {
            RankOutput::Send(target, message) => send(state, target, message),
            RankOutput::Order(order) => {
                actix_rt::spawn(send_order(Rc::clone(state), order));
            }
            RankOutput::ReadReport => state.wake.notify_one(),
            RankOutput::ReadLists => {
                actix_rt::spawn(report_lists(Rc::clone(state)));
            }
            RankOutput::Event(event) => record_event(state, event),
        }
    }
}

fn send(state: &AgentState, target: MemberIndex, message: RankMessage) {
    let address = state.peers.borrow().get(&target).copied();
    let agent = state.agent.borrow();
    let (Some(address), Some(place)) = (address, agent.place()) else {
        return;
    };
    let datagram = PeerMessage::Rank {
        group: place.group.clone(),
        from: place.rank,
        message,
    };
    if let Err(error) = state.socket.try_send_to(&datagram.encode(), address) {
        // Messages without an answer are sent again.
        tracing::debug!(%target, %address, fault = %error, "cannot send a datagram");
    }
}

/// Sends an order to the engine and passes the outcome to the `RankAgent`.
async fn send_order(state: Rc<AgentState>, order: RankOrder) {
    let body = write_order(&order);
    let result = state.order_client.call(b"POST", ORDER_TARGET, body).await;
    let answer = classify_order_answer(&result);
    state.metrics.orders.inc();
    match answer {
        OrderAnswer::Accepted => {}
        OrderAnswer::Refused => state.metrics.orders_refused.inc(),
        OrderAnswer::Unanswered => state.metrics.orders_unanswered.inc(),
    }
    let status = result.as_ref().map_or(0, |answer| answer.status);
    tracing::info!(
        order = describe_order(&order),
        epoch = %order.epoch,
        expected = %order.expected,
        status,
        ?answer,
        "order given"
    );
    let now = state.clock.now();
    let outputs = state.agent.borrow_mut().on_answer(answer, now);
    apply_outputs(&state, outputs);
}

fn classify_order_answer(result: &Result<EngineAnswer, CallError>) -> OrderAnswer {
    match result {
        Ok(answer) if matches!(answer.status, 200 | 202) => OrderAnswer::Accepted,
        Ok(answer) if matches!(answer.status, 400..=499) => OrderAnswer::Refused,
        Err(CallError::Connect) => OrderAnswer::Refused,
        Ok(_) | Err(_) => OrderAnswer::Unanswered,
    }
}

fn describe_order(order: &RankOrder) -> String {
    match &order.action {
        RankAction::Prepare(map) => format!("prepare {}", map.version()),
        RankAction::Arm { version, step } => format!("arm {version} at {step}"),
        RankAction::Disarm { version } => format!("disarm {version}"),
        RankAction::Hold { step } => format!("hold {step}"),
        RankAction::Release { step } => format!("release {step}"),
    }
}

/// Reports to the leader which experts this rank holds.
async fn report_lists(state: Rc<AgentState>) {
    let result = state.read_client.get(LISTS_TARGET).await;
    match result.and_then(|body| read_lists(&body).map_err(unreadable)) {
        Ok(lists) => {
            let now = state.clock.now();
            let outputs = state.agent.borrow_mut().on_lists(lists, now);
            apply_outputs(&state, outputs);
        }
        // The leader asks again.
        Err(error) => tracing::info!(fault = %error, "cannot read the expert lists of the engine"),
    }
}

fn record_event(state: &AgentState, event: LeaderEvent) {
    match event {
        LeaderEvent::Began(attempt) => {
            state.metrics.attempts.inc();
            tracing::info!(%attempt, "map change begun");
        }
        LeaderEvent::Switched(attempt) => {
            state.metrics.switches.inc();
            tracing::info!(%attempt, "every rank armed");
        }
        LeaderEvent::AttemptFailed(attempt) => {
            state.metrics.taken_back.inc();
            tracing::warn!(%attempt, "map change taken back");
        }
        LeaderEvent::FoundHeld(step) => {
            tracing::warn!(%step, "group is held; asking the ranks which switch they are armed for");
        }
        LeaderEvent::FoundArmed(switch) => {
            tracing::info!(version = %switch.version, step = %switch.step, "every rank is armed for the same switch");
        }
    }
}
