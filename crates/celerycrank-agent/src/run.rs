//! Runs one request.

use std::{pin::pin, rc::Rc, time::Duration};

use actix_rt::time::{Instant, sleep, sleep_until};
use celerycrank_link::MessageSender;
use celerycrank_types::{RefusalReason, Revision, TimeSpan, UnknownReason};
use celerycrank_wire::{AnswerEnd, AnswerHead, BrokenReply, PeerReply, RefusedReply, RunOrder};

use crate::{
    backend::{BackendAnswer, BackendFault},
    ledger::ReceiveVerdict,
    slots::{BackendSlot, QueuePlace, QueueVerdict},
    state::AgentState,
};

/// Silence after which an entry is told that its request still waits or runs.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// How the work on a request ended.
enum RunEnd {
    /// The whole answer was passed on.
    Answered,
    /// The entry does not want the answer any more.
    Cancelled,
    /// The request was not run.
    Refused(RefusalReason),
    /// The request may have run.
    Broken(UnknownReason),
}

/// Runs a request and sends its answer, refusal or unknown outcome.
pub(crate) async fn run_order(state: Rc<AgentState>, order: RunOrder, mut sender: MessageSender) {
    let flight = state.track();
    let end = match admit(&state, &order) {
        Ok(()) => run_admitted(&state, &order, &mut sender).await,
        Err(end) => end,
    };
    let message = count_end(&state, &order, &end);
    let Some(message) = message else {
        return;
    };
    if sender.send(&message).await.is_ok() {
        sender.finish();
        // The answer is in flight until the entry has it.
        sender.abandoned().await;
    }
    drop(flight);
}

/// Checks everything that needs no waiting.
fn admit(state: &AgentState, order: &RunOrder) -> Result<(), RunEnd> {
    if state.shutdown.is_raised() {
        return Err(RunEnd::Refused(RefusalReason::BackendLeaving));
    }
    if state.revision() == Revision(0) {
        return Err(RunEnd::Refused(RefusalReason::NoConfiguration));
    }
    if order.revision < state.revision() {
        return Err(RunEnd::Refused(RefusalReason::OldRevision));
    }
    let now = state.clock.now();
    match state.ledger.borrow_mut().receive(order.id, now) {
        ReceiveVerdict::Fresh => Ok(()),
        ReceiveVerdict::Revoked => Err(RunEnd::Refused(RefusalReason::Revoked)),
        ReceiveVerdict::Duplicate => Err(RunEnd::Broken(UnknownReason::ClaimedElsewhere)),
    }
}

async fn run_admitted(state: &AgentState, order: &RunOrder, sender: &mut MessageSender) -> RunEnd {
    let arrival = state.clock.now();
    let _slot = match take_slot(state, order, sender).await {
        Ok(slot) => slot,
        Err(end) => {
            // Nothing was started, and a late wake-up must not start it.
            state
                .ledger
                .borrow_mut()
                .revoke(order.id, state.clock.now());
            return end;
        }
    };
    let now = state.clock.now();
    if !state.ledger.borrow_mut().start(order.id, now) {
        return RunEnd::Refused(RefusalReason::Revoked);
    }
    let waited = now.since(arrival);
    state.metrics.started.inc();
    state.metrics.queue_wait.observe(waited.as_secs_f64());
    let end = forward(state, order, sender, waited).await;
    let mut ledger = state.ledger.borrow_mut();
    match end {
        RunEnd::Refused(_) => ledger.undo_start(order.id, state.clock.now()),
        _ => ledger.finish(order.id, state.clock.now()),
    }
    end
}

async fn take_slot(
    state: &AgentState,
    order: &RunOrder,
    sender: &mut MessageSender,
) -> Result<BackendSlot, RunEnd> {
    match state.slots.enter() {
        QueueVerdict::Run(slot) => Ok(slot),
        QueueVerdict::Refused(reason) => Err(RunEnd::Refused(reason)),
        QueueVerdict::Wait(place) => wait_slot(state, order, sender, &place).await,
    }
}

async fn wait_slot(
    state: &AgentState,
    order: &RunOrder,
    sender: &mut MessageSender,
    place: &QueuePlace,
) -> Result<BackendSlot, RunEnd> {
    let mut slot = pin!(place.slot());
    let mut abandoned = pin!(sender.abandoned());
    let mut deadline = pin!(sleep(order.deadline.as_duration()));
    loop {
        tokio::select! {
            slot = &mut slot => return Ok(slot),
            () = &mut abandoned => return Err(RunEnd::Cancelled),
            () = &mut deadline => {
                return Err(RunEnd::Refused(RefusalReason::DeadlineUnreachable));
            }
            () = sleep(HEARTBEAT) => {}
        }
        if sender
            .send(&PeerReply::Waiting(state.load()))
            .await
            .is_err()
        {
            return Err(RunEnd::Cancelled);
        }
    }
}

/// Hands the request to the backend server and passes its answer on.
async fn forward(
    state: &AgentState,
    order: &RunOrder,
    sender: &mut MessageSender,
    waited: TimeSpan,
) -> RunEnd {
    let idle = state.settings.backend.idle_timeout.as_duration();
    let mut abandoned = pin!(sender.abandoned());
    let mut sending = pin!(state.backend.send(order));
    let mut silence = pin!(sleep(idle));
    let mut answer = loop {
        tokio::select! {
            result = &mut sending => match result {
                Ok(answer) => break answer,
                Err(fault) => return fault.into(),
            },
            () = &mut abandoned => return RunEnd::Cancelled,
            () = &mut silence => return RunEnd::Broken(UnknownReason::BackendTimeout),
            () = sleep(HEARTBEAT) => {}
        }
        if sender
            .send(&PeerReply::Waiting(state.load()))
            .await
            .is_err()
        {
            return RunEnd::Cancelled;
        }
    };
    let head = answer_head(state, order, &mut answer, waited);
    if sender.send(&PeerReply::Head(head)).await.is_err() {
        return RunEnd::Cancelled;
    }
    loop {
        silence.as_mut().reset(Instant::now() + idle);
        let mut heartbeat = pin!(sleep_until(Instant::now() + HEARTBEAT));
        let message = tokio::select! {
            result = answer.next_chunk() => match result {
                Ok(Some(chunk)) => PeerReply::Chunk(chunk),
                Ok(None) => return RunEnd::Answered,
                Err(fault) => return fault.into(),
            },
            () = &mut abandoned => return RunEnd::Cancelled,
            () = &mut silence => return RunEnd::Broken(UnknownReason::BackendTimeout),
            () = &mut heartbeat => PeerReply::Waiting(state.load()),
        };
        if sender.send(&message).await.is_err() {
            return RunEnd::Cancelled;
        }
    }
}

fn answer_head(
    state: &AgentState,
    order: &RunOrder,
    answer: &mut BackendAnswer,
    waited: TimeSpan,
) -> AnswerHead {
    AnswerHead {
        id: order.id,
        incarnation: state.incarnation,
        revision: state.revision(),
        status: answer.status,
        fields: std::mem::take(&mut answer.fields),
        waited,
        load: state.load(),
    }
}

/// Counts how a request ended, and makes the message that ends its answer.
fn count_end(state: &AgentState, order: &RunOrder, end: &RunEnd) -> Option<PeerReply> {
    let id = order.id;
    let load = state.load();
    match end {
        RunEnd::Answered => {
            state.metrics.answered.inc();
            Some(PeerReply::End(AnswerEnd { id, load }))
        }
        RunEnd::Cancelled => {
            state.metrics.cancelled.inc();
            None
        }
        RunEnd::Refused(reason) => {
            state.metrics.refusals.count(*reason);
            let reply = RefusedReply::builder()
                .id(id)
                .incarnation(state.incarnation)
                .revision(state.revision())
                .reason(*reason)
                .maybe_configuration(state.sync.update_for(order.revision))
                .load(load)
                .build();
            Some(PeerReply::Refused(Box::new(reply)))
        }
        RunEnd::Broken(reason) => {
            state.metrics.unknowns.count(*reason);
            Some(PeerReply::Broken(BrokenReply {
                id,
                incarnation: state.incarnation,
                reason: *reason,
                load,
            }))
        }
    }
}

impl From<BackendFault> for RunEnd {
    fn from(fault: BackendFault) -> Self {
        match fault {
            BackendFault::NotRun(reason) => Self::Refused(reason),
            BackendFault::Unknown(reason) => Self::Broken(reason),
        }
    }
}
