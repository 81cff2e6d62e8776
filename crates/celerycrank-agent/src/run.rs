//! Runs one attempt, as the start ledger's chart tells.

use std::{pin::pin, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_config::BackendKind;
use celerycrank_link::MessageSender;
use celerycrank_requests::{
    AttemptAction, AttemptActions, AttemptEvent, AttemptId, CallKey, CallKind, CallStatus,
    ClaimOrder, ClaimantId, RequestDigest,
};
use celerycrank_shares::QueueRequest;
use celerycrank_types::{RefusalReason, Revision, TimeSpan, UnknownReason};
use celerycrank_wire::{PeerReply, RunOrder};

use crate::{
    forward::{ForwardEnd, forward},
    reply::{end_message, replay_head},
    slots::QueueTicket,
    state::AgentState,
};

/// Silence after which an entry is told that its request still waits or runs.
pub(crate) const HEARTBEAT: Duration = Duration::from_secs(1);

/// How the work on an attempt ended.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RunEnd {
    /// The whole answer was passed on.
    Answered,
    /// The entry does not want the answer any more.
    Cancelled,
    /// The request was not run; a new attempt may succeed after the span, if known.
    Refused(RefusalReason, Option<TimeSpan>),
    /// The request may have run.
    Broken(UnknownReason),
}

/// Runs a request and sends its answer, refusal or unknown outcome.
pub(crate) async fn run_order(state: Rc<AgentState>, order: RunOrder, mut sender: MessageSender) {
    let flight = state.track();
    let end = match admit(&state, &order) {
        Ok(key) => {
            AttemptRun::new(&state, &order, key, &mut sender)
                .run()
                .await
        }
        Err(reason) => RunEnd::Refused(reason, None),
    };
    if let Some(message) = end_message(&state, &order, end)
        && sender.send(&message).await.is_ok()
    {
        sender.finish();
        // The answer is in flight until the entry has it.
        sender.abandoned().await;
    }
    drop(flight);
}

/// Checks everything that does not depend on the ledger.
fn admit(state: &AgentState, order: &RunOrder) -> Result<Option<CallKey>, RefusalReason> {
    if state.is_leaving() {
        return Err(RefusalReason::BackendLeaving);
    }
    if state.revision() == Revision(0) {
        return Err(RefusalReason::NoConfiguration);
    }
    if order.revision < state.revision() {
        return Err(RefusalReason::OldRevision);
    }
    let Some(text) = &order.key else {
        return Ok(None);
    };
    let BackendKind::Service(service) = &state.settings.backend.kind else {
        return Err(RefusalReason::BadRequest);
    };
    match CallKey::parse(&order.account, service, text) {
        Ok(key) => Ok(Some(key)),
        Err(_) => Err(RefusalReason::BadRequest),
    }
}

/// One attempt while a task works on it.
struct AttemptRun<'task> {
    state: &'task Rc<AgentState>,
    order: &'task RunOrder,
    sender: &'task mut MessageSender,
    attempt: AttemptId,
    key: Option<CallKey>,
    claimant: ClaimantId,
    ticket: Option<QueueTicket>,
    /// How the work ended, once it has.
    end: Option<RunEnd>,
}

impl<'task> AttemptRun<'task> {
    fn new(
        state: &'task Rc<AgentState>,
        order: &'task RunOrder,
        key: Option<CallKey>,
        sender: &'task mut MessageSender,
    ) -> Self {
        Self {
            state,
            order,
            sender,
            attempt: AttemptId {
                request: order.id,
                number: order.attempt,
            },
            key,
            claimant: state.draw_claimant(),
            ticket: None,
            end: None,
        }
    }

    /// Feeds the ledger with what happens until nothing more is to be done.
    async fn run(mut self) -> RunEnd {
        let mut event = AttemptEvent::Arrived {
            incarnation: self.order.agent,
            deadline: self.order.start_by,
            call: match self.key {
                Some(_) => CallKind::Keyed,
                None => CallKind::Plain,
            },
        };
        loop {
            let actions = self.state.handle_attempt(self.attempt, event);
            let Some(next) = self.perform(actions).await else {
                return self.end.unwrap_or_else(|| self.revoked());
            };
            event = next;
        }
    }

    /// Ends an attempt that was revoked while it waited.
    fn revoked(&self) -> RunEnd {
        self.release_claim();
        RunEnd::Refused(RefusalReason::Revoked, None)
    }

    /// Carries actions out; returns what came of the last, if it had to be waited for.
    async fn perform(&mut self, actions: AttemptActions) -> Option<AttemptEvent> {
        let mut next = None;
        for action in actions {
            match action {
                AttemptAction::Claim => next = Some(self.claim().await),
                AttemptAction::Queue => next = Some(self.queue().await),
                AttemptAction::Start => next = Some(self.start().await),
                AttemptAction::ReleaseClaim => self.release_claim(),
                AttemptAction::RecordClaim(status) => self.record_claim(status),
                AttemptAction::Refuse(reason) => {
                    self.end.get_or_insert(RunEnd::Refused(reason, None));
                }
                AttemptAction::TellUnproved(reason) => {
                    self.end.get_or_insert(RunEnd::Broken(reason));
                }
                AttemptAction::Replay(status) => self.replay(status).await,
                // Answers to revocations go to their own stream, and dropping the answer of
                // the backend server has cancelled the call.
                AttemptAction::Answer(_) | AttemptAction::Cancel => {}
            }
        }
        next
    }

    async fn claim(&mut self) -> AttemptEvent {
        let Some(key) = self.key else {
            return AttemptEvent::AdmissionRefused(RefusalReason::BadRequest);
        };
        let head = &self.order.head;
        let order = ClaimOrder::builder()
            .key(key)
            .request(RequestDigest::of(
                &head.method,
                &head.path,
                &self.order.body,
            ))
            .claimant(self.claimant)
            .deadline(self.order.start_by)
            .build();
        let mut claiming = pin!(self.state.claims.claim(order));
        let mut abandoned = pin!(self.sender.abandoned());
        loop {
            tokio::select! {
                answer = &mut claiming => return AttemptEvent::Claimed(answer),
                () = &mut abandoned => break,
                () = sleep(HEARTBEAT) => {}
            }
            let waiting = PeerReply::Waiting(self.state.load());
            if self.sender.send(&waiting).await.is_err() {
                break;
            }
        }
        self.end = Some(RunEnd::Cancelled);
        AttemptEvent::Cancelled
    }

    async fn queue(&mut self) -> AttemptEvent {
        let request = QueueRequest::builder()
            .id(self.order.id)
            .account(self.order.account.clone())
            .weight(self.order.share)
            .class(self.order.priority)
            .cost(self.order.cost)
            .start_by(self.order.start_by)
            .build();
        let refusal = match self.state.slots.enter(&request) {
            Ok(ticket) => match self.wait_slot(ticket).await {
                Ok(event) => return event,
                Err(refusal) => refusal,
            },
            Err(refusal) => refusal,
        };
        let retry_after = Some(refusal.retry_after).filter(|span| *span > TimeSpan::ZERO);
        self.end = Some(RunEnd::Refused(refusal.reason, retry_after));
        AttemptEvent::AdmissionRefused(refusal.reason)
    }

    async fn wait_slot(
        &mut self,
        mut ticket: QueueTicket,
    ) -> Result<AttemptEvent, celerycrank_shares::QueueRefusal> {
        let mut abandoned = pin!(self.sender.abandoned());
        loop {
            let left = self.order.start_by.since(self.state.clock.now());
            tokio::select! {
                biased;
                verdict = ticket.slot() => {
                    let waited = verdict?;
                    self.state.metrics.queue_wait.observe(waited.as_secs_f64());
                    self.ticket = Some(ticket);
                    return Ok(AttemptEvent::SlotFree);
                }
                () = &mut abandoned => break,
                () = sleep(left.as_duration().min(HEARTBEAT)) => self.state.slots.advance(),
            }
            let waiting = PeerReply::Waiting(self.state.load());
            if self.sender.send(&waiting).await.is_err() {
                break;
            }
        }
        self.end = Some(RunEnd::Cancelled);
        Ok(AttemptEvent::Cancelled)
    }

    async fn start(&mut self) -> AttemptEvent {
        self.state.metrics.started.inc();
        let ForwardEnd { end, status, used } = forward(self.state, self.order, self.sender).await;
        if let Some(ticket) = &mut self.ticket {
            ticket.note_used(used);
        }
        self.end = Some(end);
        match end {
            RunEnd::Refused(reason, _) => AttemptEvent::NotBegun(reason),
            _ => AttemptEvent::Finished(status),
        }
    }

    fn release_claim(&self) {
        if let Some(key) = self.key {
            self.state.claims.release(key, self.claimant);
        }
    }

    fn record_claim(&self, status: CallStatus) {
        if let Some(key) = self.key {
            self.state.claims.finish(key, self.claimant, status);
        }
    }

    /// Answers from the record of the call's key.
    async fn replay(&mut self, status: CallStatus) {
        let head = replay_head(self.state, self.order, status);
        self.end = match self.sender.send(&PeerReply::Head(head)).await {
            Ok(()) => Some(RunEnd::Answered),
            Err(_) => Some(RunEnd::Cancelled),
        };
    }
}
