//! Runs the state machine of one request until an answer starts or the outcome is known.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use actix_http::{Response, body::BoxBody};
use actix_rt::time::timeout;
use celerycrank_link::PeerLink;
use celerycrank_requests::{
    AttemptId, PeerClock, RequestAction, RequestActions, RequestContext, RequestEvent,
    RequestMachine, RequestPolicy,
};
use celerycrank_routing::PromptPrefix;
use celerycrank_types::{
    BackendId, RefusalReason, RequestOutcome, RetryReason, TimePoint, TimeSpan, TokenRate,
    UnknownReason,
};
use celerycrank_wire::{AnswerHead, OfferKind, PeerReply, RefusedReply, RevokeVerdict, RunOrder};

use crate::{
    accept::{RequestDraft, admit},
    agents::AgentRecord,
    answer::relay_answer,
    choose::choose_agent,
    forward::{AttemptAnswer, AttemptStream, Revocation, StreamEvent, to_revoke_answer},
    probe::report_failure,
    refusal::{refusal_response, unknown_response},
    state::EntryState,
};

/// Maximum time for which one request waits for a connection to the chosen agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that passed all checks.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) order: RunOrder,
    pub(crate) kind: OfferKind,
    /// The rate cap of the account, if its plan has one.
    pub(crate) rate: Option<TokenRate>,
    /// The prompt's prefix blocks; empty for a service.
    pub(crate) prefix: PromptPrefix,
    pub(crate) arrival: TimePoint,
    pub(crate) deadline: TimePoint,
    /// The caller's request, to admit it again under a newer configuration.
    pub(crate) draft: RequestDraft,
}

/// Sends an admitted request to an agent and returns the response to its caller.
pub(crate) async fn dispatch(state: Rc<EntryState>, request: AdmittedRequest) -> Response<BoxBody> {
    RequestTask::start(state, request).run().await
}

/// The task that runs the state machine of one request.
struct RequestTask {
    state: Rc<EntryState>,
    request: AdmittedRequest,
    machine: RequestMachine,
    actions: VecDeque<RequestAction>,
    /// The agent that was chosen last.
    record: Option<Rc<AgentRecord>>,
    /// The connection that the machine requested, until it is used.
    connected_link: Option<Rc<PeerLink>>,
    attempt: Option<AttemptStream>,
    revocation: Option<Revocation>,
    /// The head of the answer, until it is delivered.
    head: Option<AnswerHead>,
    /// Why the last attempt was not run; reported if no other agent is available.
    refusal: Option<RefusalReason>,
    retry_after: Option<TimeSpan>,
    /// The reason of the pending retry, counted once an agent is chosen for it.
    retry: Option<RetryReason>,
    guard: CallerDisconnectGuard,
}

impl RequestTask {
    fn start(state: Rc<EntryState>, request: AdmittedRequest) -> Self {
        let now = state.clock.now();
        let policy = RequestPolicy::builder()
            .repeat(request.order.repeat)
            .deadline(request.deadline.since(now))
            .build();
        let (machine, actions) = state.with_retry_budget(&request.order.account, |budget, _| {
            RequestMachine::start(request.order.id, policy, now, budget)
        });
        Self {
            guard: CallerDisconnectGuard::new(&state),
            state,
            request,
            machine,
            actions: actions.into_iter().collect(),
            record: None,
            connected_link: None,
            attempt: None,
            revocation: None,
            head: None,
            refusal: None,
            retry_after: None,
            retry: None,
        }
    }

    async fn run(mut self) -> Response<BoxBody> {
        loop {
            while let Some(action) = self.actions.pop_front() {
                match action {
                    RequestAction::DeliverHead => return self.deliver().await,
                    RequestAction::Report(outcome) => return self.report(outcome),
                    other => self.perform(other).await,
                }
            }
            let event = self.next_event().await;
            self.handle(&event);
        }
    }

    fn handle(&mut self, event: &RequestEvent) {
        let now = self.state.clock.now();
        let machine = &mut self.machine;
        let account = &self.request.order.account;
        let actions: RequestActions = self.state.with_retry_budget(account, |budget, random| {
            let mut context = RequestContext {
                now,
                budget,
                random,
            };
            machine.handle(event, &mut context)
        });
        self.actions.extend(actions);
    }

    async fn perform(&mut self, action: RequestAction) {
        match action {
            RequestAction::Choose { avoid } => {
                let event = self.choose(&avoid);
                self.handle(&event);
            }
            RequestAction::Connect { link, .. } => {
                let event = match self.connect().await {
                    Some(peer) => {
                        let received_at = self.state.clock.now() - peer.welcome_age();
                        let event = RequestEvent::Connected {
                            link,
                            incarnation: peer.welcome.incarnation,
                            clock: PeerClock::new(peer.welcome.clock, received_at),
                        };
                        self.connected_link = Some(peer);
                        event
                    }
                    None => RequestEvent::ConnectFailed(link),
                };
                self.handle(&event);
            }
            RequestAction::Send {
                link,
                attempt,
                incarnation,
                deadline,
                ..
            } => {
                let order = &mut self.request.order;
                order.attempt = attempt.number;
                order.agent = incarnation;
                order.start_by = deadline;
                if let Some(event) = self.send(attempt).await {
                    self.handle(&event);
                } else if let Some(sent) = &mut self.attempt {
                    sent.link_number = link;
                }
            }
            RequestAction::Revoke { attempt, .. } => self.revoke(attempt),
            // Agents do not store answers yet, so an incomplete one cannot be resumed.
            RequestAction::Resume { attempt, .. } => {
                let event = RequestEvent::Unproved(attempt, UnknownReason::LinkLost);
                self.handle(&event);
            }
            RequestAction::Cancel { .. } => self.attempt = None,
            RequestAction::CountRetry(reason) => self.retry = Some(reason),
            RequestAction::DeliverHead
            | RequestAction::Deliver { .. }
            | RequestAction::Report(_) => {}
        }
    }

    fn choose(&mut self, avoid: &[BackendId]) -> RequestEvent {
        self.attempt = None;
        if let Err(reason) = self.readmit() {
            return RequestEvent::NoBackendChosen(reason);
        }
        // An agent that refused because it has a newer configuration may be retried under that
        // configuration.
        let avoid = match self.refusal {
            Some(RefusalReason::OldRevision) => &[],
            _ => avoid,
        };
        match choose_agent(&self.state, &self.request, avoid) {
            Ok(record) => {
                let event = RequestEvent::Chosen(record.offer.backend.clone());
                self.record = Some(record);
                if let Some(reason) = self.retry.take() {
                    self.state.metrics.retries.count(reason);
                }
                event
            }
            Err(reason) => RequestEvent::NoBackendChosen(self.refusal.unwrap_or(reason)),
        }
    }

    /// Admits the request again under the configuration in force, if that is newer than the one
    /// under which it was admitted.
    fn readmit(&mut self) -> Result<(), RefusalReason> {
        if self.state.revision() <= self.request.order.revision {
            return Ok(());
        }
        let mut request = admit(&self.state, self.request.draft.clone())?;
        request.order.id = self.machine.request();
        self.request = request;
        Ok(())
    }

    /// Connects to the chosen agent; `None` if that fails or takes so long that another agent
    /// should be tried.
    async fn connect(&mut self) -> Option<Rc<PeerLink>> {
        let record = self.record.as_ref()?;
        let revision = self.request.order.revision;
        let connecting = self.state.pool.connect(record.address, revision);
        let reason = match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(link)) => return Some(link),
            Ok(Err(error)) => error.refusal_reason(),
            // Other requests that wait for the same connection may be ahead of this one.
            Err(_) => RefusalReason::AgentUnreachable,
        };
        report_failure(&self.state, record);
        self.refusal = Some(reason);
        None
    }

    /// Sends the order. An agent starts a request only once it has received the complete order,
    /// so an error proves that the request was not started.
    async fn send(&mut self, attempt: AttemptId) -> Option<RequestEvent> {
        let refused = RequestEvent::Refused(attempt, RefusalReason::AgentUnreachable);
        let (Some(link), Some(record)) = (self.connected_link.take(), &self.record) else {
            return Some(refused);
        };
        match AttemptStream::send(&self.state, link, record, &self.request).await {
            Ok(sent) => {
                self.attempt = Some(sent);
                None
            }
            Err(_) => Some(refused),
        }
    }

    fn revoke(&mut self, attempt: AttemptId) {
        // A revocation that is already in flight answers this one too.
        if self.revocation.is_none()
            && let Some(record) = &self.record
        {
            let order = &self.request.order;
            self.revocation = Some(Revocation::start(&self.state, record, order, attempt));
        }
    }

    /// Waits for the next event of the request.
    async fn next_event(&mut self) -> RequestEvent {
        let wake_at = self.machine.wake_at();
        let wait = wake_at.map(|at| at.since(self.state.clock.now()));
        tokio::select! {
            event = receive_reply(&self.state, &mut self.attempt) => self.handle_stream_event(event),
            verdict = receive_verdict(&mut self.revocation) => self.handle_verdict(verdict),
            () = sleep(wait) => RequestEvent::TimerFired,
        }
    }

    fn handle_stream_event(&mut self, event: StreamEvent) -> RequestEvent {
        let attempt = self.machine.attempt();
        match event {
            StreamEvent::Reply(PeerReply::Head(head)) => {
                self.head = Some(head);
                RequestEvent::Head(attempt)
            }
            StreamEvent::Reply(PeerReply::Refused(reply)) => {
                self.attempt = None;
                self.apply_refusal(&reply);
                RequestEvent::Refused(attempt, reply.reason)
            }
            StreamEvent::Reply(PeerReply::Broken(reply)) => {
                self.attempt = None;
                RequestEvent::Unproved(attempt, reply.reason)
            }
            StreamEvent::Reply(_) | StreamEvent::InvalidReply => {
                self.attempt = None;
                RequestEvent::Unproved(attempt, UnknownReason::BadAnswer)
            }
            // An agent that shut down has answered every request that it had started.
            StreamEvent::Stopped => {
                self.attempt = None;
                self.refusal = Some(RefusalReason::BackendLeaving);
                RequestEvent::Refused(attempt, RefusalReason::BackendLeaving)
            }
            StreamEvent::Silent(link_number) => RequestEvent::LinkSilent(link_number),
            StreamEvent::Lost(link_number) => {
                self.attempt = None;
                RequestEvent::LinkLost(link_number)
            }
        }
    }

    fn apply_refusal(&mut self, reply: &RefusedReply) {
        self.refusal = Some(reply.reason);
        self.retry_after = reply.retry_after;
        if let Some(update) = &reply.configuration {
            self.state.sync.on_update(update);
        }
        if let Some(record) = &self.record
            && reply.reason == RefusalReason::BackendUnreachable
        {
            report_failure(&self.state, record);
        }
    }

    fn handle_verdict(
        &mut self,
        (attempt, verdict): (AttemptId, Option<RevokeVerdict>),
    ) -> RequestEvent {
        self.revocation = None;
        match verdict {
            Some(verdict) => {
                if verdict == RevokeVerdict::NeverStarted {
                    self.refusal = Some(RefusalReason::Revoked);
                }
                RequestEvent::RevokeAnswered(attempt, to_revoke_answer(verdict))
            }
            None => RequestEvent::RevokeFailed(attempt),
        }
    }

    async fn deliver(mut self) -> Response<BoxBody> {
        self.guard.completed = true;
        let (Some(head), Some(attempt), Some(record)) =
            (self.head.take(), self.attempt.take(), self.record.take())
        else {
            unreachable!("a head arrives on the stream of its attempt");
        };
        let answer = AttemptAnswer {
            head,
            receiver: attempt.receiver,
            record,
            _guard: attempt.guard,
            _link: attempt.link,
        };
        relay_answer(self.state, answer, self.request.arrival).await
    }

    fn report(&mut self, outcome: RequestOutcome) -> Response<BoxBody> {
        self.guard.completed = true;
        match outcome {
            RequestOutcome::NotRun(reason) => {
                self.state.metrics.refusals.count(reason);
                refusal_response(reason, self.retry_after)
            }
            RequestOutcome::Unknown(reason) => {
                self.state.metrics.unknowns.count(reason);
                unknown_response(reason)
            }
            RequestOutcome::Answered => unreachable!("an answer is reported by its reader"),
        }
    }
}

async fn receive_reply(state: &EntryState, attempt: &mut Option<AttemptStream>) -> StreamEvent {
    match attempt {
        Some(attempt) => attempt.receive(state).await,
        None => std::future::pending().await,
    }
}

async fn receive_verdict(
    revocation: &mut Option<Revocation>,
) -> (AttemptId, Option<RevokeVerdict>) {
    match revocation {
        Some(revocation) => revocation.receive_verdict().await,
        None => std::future::pending().await,
    }
}

async fn sleep(wait: Option<TimeSpan>) {
    match wait {
        Some(wait) => actix_rt::time::sleep(wait.as_duration()).await,
        None => std::future::pending().await,
    }
}

/// Counts a caller that disconnected while its request was dispatched.
struct CallerDisconnectGuard {
    state: Rc<EntryState>,
    completed: bool,
}

impl CallerDisconnectGuard {
    fn new(state: &Rc<EntryState>) -> Self {
        Self {
            state: Rc::clone(state),
            completed: false,
        }
    }
}

impl Drop for CallerDisconnectGuard {
    fn drop(&mut self) {
        if !self.completed {
            self.state.metrics.callers_left.inc();
        }
    }
}
