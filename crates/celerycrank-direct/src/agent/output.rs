//! Executes the outputs of [`RankAgent`](celerycrank_groups::RankAgent), which decides what the
//! agent does.

use std::rc::Rc;

use celerycrank_groups::{
    LeaderEvent, MemberSet, OrderAnswer, RankAction, RankMessage, RankOrder, RankOutput,
    RankOutputs,
};
use celerycrank_platform::{LISTS_TARGET, ORDER_TARGET, read_lists, write_order};

use super::{
    engine::{CallError, EngineAnswer, unreadable},
    relay::send_to_all,
    state::AgentState,
};
use crate::message::PeerMessage;

/// Executes outputs of the `RankAgent` in their order.
pub(crate) fn apply_outputs(state: &Rc<AgentState>, outputs: RankOutputs) {
    for output in outputs {
        match output {
            RankOutput::Send(targets, message) => send(state, &targets, message),
            RankOutput::Order(order) => {
                spawn_once(state, "order", send_order(Rc::clone(state), order));
            }
            RankOutput::ReadReport => state.wake.notify_one(),
            RankOutput::ReadLists => {
                spawn_once(state, "lists", report_lists(Rc::clone(state)));
            }
            RankOutput::Event(event) => record_event(state, event),
        }
    }
}

/// Starts a task whose answer the logic waits for; if it panics, the logic starts over.
fn spawn_once(
    state: &Rc<AgentState>,
    task: &'static str,
    future: impl Future<Output = ()> + 'static,
) {
    let failed = Rc::clone(state);
    let recover = move || failed.reset_agent();
    state.tasks.spawn(task, future, recover);
}

fn send(state: &AgentState, targets: &MemberSet, message: RankMessage) {
    let agent = state.agent.borrow();
    let Some(place) = agent.place() else {
        return;
    };
    let datagram = PeerMessage::Rank {
        group: place.group.clone(),
        from: place.rank,
        message,
    };
    let datagram = datagram.encode();
    let peers = state.peers.borrow();
    let addresses = targets.iter().filter_map(|target| peers.get(&target));
    let addresses = addresses.copied().collect::<Vec<_>>();
    // Messages without an answer are sent again, by then also to a rank whose agent is not known
    // yet.
    let unaddressed = targets.len() - addresses.len();
    state
        .metrics
        .datagrams_unaddressed
        .inc_by(unaddressed as u64);
    send_to_all(state, addresses, &datagram);
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
            let has_waited = state.agent.borrow().is_group_waiting();
            if has_waited {
                state.metrics.waits.inc();
            }
            tracing::info!(%attempt, has_waited, "every rank armed");
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
