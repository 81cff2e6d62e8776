//! Runs one attempt by performing the actions of the attempt ledger's state machine.

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
    forward::{ForwardResult, forward},
    reply::{final_message, replay_head},
    slots::QueueTicket,
    state::AgentState,
};

/// Interval at which an entry is notified that its request still waits or runs.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) enum AttemptOutcome {
    /// The complete answer was sent to the entry.
    Answered,
    /// The entry no longer reads the answer.
    Cancelled,
    /// The request was not run; a retry may succeed after the duration, if known.
    Refused(RefusalReason, Option<TimeSpan>),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Runs a request and sends its answer, refusal or unknown outcome to the entry.
pub(crate) async fn run_order(state: Rc<AgentState>, order: RunOrder, mut sender: MessageSender) {
    let guard = state.track_request();
    let outcome = match check_order(&state, &order) {
        Ok(key) => {
            AttemptTask::new(&state, &order, key, &mut sender)
                .run()
                .await
        }
        Err(reason) => AttemptOutcome::Refused(reason, None),
    };
    if let Some(message) = final_message(&state, &order, outcome)
        && sender.send(&message).await.is_ok()
    {
        sender.finish();
        // The answer counts as in flight until the entry has acknowledged it.
        sender.closed().await;
    }
    drop(guard);
}

/// Performs the checks that do not depend on the ledger, and returns the idempotency key.
fn check_order(state: &AgentState, order: &RunOrder) -> Result<Option<CallKey>, RefusalReason> {
    if state.refuses_work() {
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

/// The task that runs one attempt.
struct AttemptTask<'task> {
    state: &'task Rc<AgentState>,
    order: &'task RunOrder,
    sender: &'task mut MessageSender,
    attempt: AttemptId,
    key: Option<CallKey>,
    claimant: ClaimantId,
    ticket: Option<QueueTicket>,
    /// The outcome, once it is known.
    outcome: Option<AttemptOutcome>,
}

impl<'task> AttemptTask<'task> {
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
            claimant: state.generate_claimant(),
            ticket: None,
            outcome: None,
        }
    }

    /// Applies events to the ledger and performs its actions until none is left.
    async fn run(mut self) -> AttemptOutcome {
        let mut event = AttemptEvent::Arrived {
            incarnation: self.order.agent,
            deadline: self.order.start_by,
            call: match self.key {
                Some(_) => CallKind::Keyed,
                None => CallKind::Plain,
            },
        };
        loop {
            let actions = self.state.apply_attempt_event(self.attempt, event);
            let Some(next) = self.perform(actions).await else {
                return self.outcome.unwrap_or_else(|| self.end_revoked());
            };
            event = next;
        }
    }

    /// Releases the claim of an attempt that was revoked while it waited.
    fn end_revoked(&self) -> AttemptOutcome {
        self.release_claim();
        AttemptOutcome::Refused(RefusalReason::Revoked, None)
    }

    /// Performs actions in order and returns the event that the last `Claim`, `Queue` or `Start`
    /// among them resulted in, if there is one.
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
                    self.outcome
                        .get_or_insert(AttemptOutcome::Refused(reason, None));
                }
                AttemptAction::TellUnproved(reason) => {
                    self.outcome.get_or_insert(AttemptOutcome::Unknown(reason));
                }
                AttemptAction::Replay(status) => self.replay(status).await,
                // Revocations are answered on their own stream, and the call was already
                // cancelled when the backend server's answer was dropped.
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
        let mut claim = pin!(self.state.claims.claim(order));
        let mut closed = pin!(self.sender.closed());
        loop {
            tokio::select! {
                answer = &mut claim => return AttemptEvent::Claimed(answer),
                () = &mut closed => break,
                () = sleep(HEARTBEAT_INTERVAL) => {}
            }
            let waiting = PeerReply::Waiting(self.state.load());
            if self.sender.send(&waiting).await.is_err() {
                break;
            }
        }
        self.outcome = Some(AttemptOutcome::Cancelled);
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
        let refusal = match self.state.slots.enqueue(&request) {
            Ok(ticket) => match self.wait_for_slot(ticket).await {
                Ok(event) => return event,
                Err(refusal) => refusal,
            },
            Err(refusal) => refusal,
        };
        let retry_after = Some(refusal.retry_after).filter(|span| *span > TimeSpan::ZERO);
        self.outcome = Some(AttemptOutcome::Refused(refusal.reason, retry_after));
        AttemptEvent::AdmissionRefused(refusal.reason)
    }

    async fn wait_for_slot(
        &mut self,
        mut ticket: QueueTicket,
    ) -> Result<AttemptEvent, celerycrank_shares::QueueRefusal> {
        let mut closed = pin!(self.sender.closed());
        loop {
            let time_left = self.order.start_by.since(self.state.clock.now());
            tokio::select! {
                biased;
                result = ticket.wait() => {
                    let waited = result?;
                    self.state.metrics.queue_wait.observe(waited.as_secs_f64());
                    self.ticket = Some(ticket);
                    return Ok(AttemptEvent::SlotFree);
                }
                () = &mut closed => break,
                () = sleep(time_left.as_duration().min(HEARTBEAT_INTERVAL)) => {
                    self.state.slots.advance();
                }
            }
            let waiting = PeerReply::Waiting(self.state.load());
            if self.sender.send(&waiting).await.is_err() {
                break;
            }
        }
        self.outcome = Some(AttemptOutcome::Cancelled);
        Ok(AttemptEvent::Cancelled)
    }

    async fn start(&mut self) -> AttemptEvent {
        self.state.metrics.started.inc();
        let ForwardResult {
            outcome,
            status,
            used_tokens,
        } = forward(self.state, self.order, self.sender).await;
        if let Some(ticket) = &mut self.ticket {
            ticket.set_used_tokens(used_tokens);
        }
        self.outcome = Some(outcome);
        match outcome {
            AttemptOutcome::Refused(reason, _) => AttemptEvent::NotBegun(reason),
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

    /// Answers from the record of the call's idempotency key.
    async fn replay(&mut self, status: CallStatus) {
        let head = replay_head(self.state, self.order, status);
        self.outcome = match self.sender.send(&PeerReply::Head(head)).await {
            Ok(()) => Some(AttemptOutcome::Answered),
            Err(_) => Some(AttemptOutcome::Cancelled),
        };
    }
}
