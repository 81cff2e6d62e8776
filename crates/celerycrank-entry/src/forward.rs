//! One attempt on its link, and the question what became of it.

use std::{borrow::Cow, pin::Pin, rc::Rc, time::Duration};

use actix_rt::time::timeout;
use celerycrank_link::{MessageReceiver, MessageSender, PeerLink, StreamError};
use celerycrank_requests::{AttemptId, LinkNumber, RevokeAnswer};
use celerycrank_types::{Incarnation, RequestId};
use celerycrank_wire::{
    AnswerHead, PeerOrder, PeerReply, RevokeOrder, RevokeReply, RevokeVerdict, RunOrder,
};

use crate::{
    agents::{AgentRecord, OutstandingGuard},
    dispatch::AdmittedRequest,
    probe::report_failure,
    state::EntryState,
};

/// Silence of an agent after which its link counts as lost.
///
/// Three times the interval at which an agent says that a request still waits or runs.
pub(crate) const AGENT_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for the answer to a revocation.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer that has begun.
pub(crate) struct AttemptAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) receiver: MessageReceiver,
    pub(crate) record: Rc<AgentRecord>,
    /// Held until the answer's end.
    pub(crate) _guard: OutstandingGuard,
}

/// An attempt that was sent, on the stream that carries its answer.
pub(crate) struct AttemptLink {
    pub(crate) number: LinkNumber,
    pub(crate) receiver: MessageReceiver,
    /// Held until the attempt's end.
    pub(crate) guard: OutstandingGuard,
    /// Kept open until the attempt's end.
    _sender: MessageSender,
    link: Rc<PeerLink>,
    record: Rc<AgentRecord>,
    id: RequestId,
}

/// What a link brought.
pub(crate) enum LinkEvent {
    /// The head of the answer, a refusal, or the end of what can be known.
    Reply(PeerReply),
    /// What came is no answer to this request.
    InvalidReply,
    /// The agent shut down gracefully without a reply.
    Stopped,
    /// The link was lost, or the agent is silent.
    Lost(LinkNumber),
}

impl AttemptLink {
    /// Sends a whole order.
    pub(crate) async fn send(
        state: &EntryState,
        link: Rc<PeerLink>,
        record: &Rc<AgentRecord>,
        request: &AdmittedRequest,
    ) -> Result<Self, StreamError> {
        let guard = record.track_request(&request.prefix);
        let order = &request.order;
        let message = PeerOrder::Run(Cow::Borrowed(order));
        let (sender, receiver) = link.send(&message).await.inspect_err(|_| {
            state.pool.discard(record.address);
        })?;
        Ok(Self {
            number: LinkNumber::default(),
            receiver,
            guard,
            _sender: sender,
            link,
            record: Rc::clone(record),
            id: order.id,
        })
    }

    /// The next reply that says more than that the request waits.
    pub(crate) async fn receive(&mut self, state: &EntryState) -> LinkEvent {
        loop {
            let reply = match timeout(AGENT_SILENCE_TIMEOUT, self.receiver.receive()).await {
                Ok(Ok(Some(reply))) => reply,
                Ok(Err(StreamError::Wire(_))) => {
                    state.metrics.wire_faults.inc();
                    return LinkEvent::InvalidReply;
                }
                Ok(Ok(None) | Err(_)) | Err(_) => return self.lost(state),
            };
            match reply {
                PeerReply::Waiting(load) => self.record.note_load(load, state.clock.now()),
                reply => return self.check(state, reply),
            }
        }
    }

    /// Passes on what answers this request in the agent's life that it was sent to.
    fn check(&self, state: &EntryState, reply: PeerReply) -> LinkEvent {
        let (id, incarnation, load) = match &reply {
            PeerReply::Head(head) => (head.id, head.incarnation, head.load),
            PeerReply::Refused(refused) => (refused.id, refused.incarnation, refused.load),
            PeerReply::Broken(broken) => (broken.id, self.incarnation(), broken.load),
            _ => return LinkEvent::InvalidReply,
        };
        if id != self.id || incarnation != self.incarnation() {
            return LinkEvent::InvalidReply;
        }
        self.record.note_load(load, state.clock.now());
        LinkEvent::Reply(reply)
    }

    fn incarnation(&self) -> Incarnation {
        self.link.welcome.incarnation
    }

    fn lost(&self, state: &EntryState) -> LinkEvent {
        state.pool.discard(self.record.address);
        report_failure(state, &self.record);
        if self.link.is_shut_down() {
            LinkEvent::Stopped
        } else {
            LinkEvent::Lost(self.number)
        }
    }
}

/// A question to an agent, over a connection of its own, what became of an attempt.
pub(crate) struct Revocation {
    attempt: AttemptId,
    asking: Pin<Box<dyn Future<Output = Option<RevokeVerdict>>>>,
}

impl Revocation {
    /// Asks that the attempt never start.
    pub(crate) fn ask(
        state: &Rc<EntryState>,
        record: &Rc<AgentRecord>,
        order: &RunOrder,
        attempt: AttemptId,
    ) -> Self {
        let question = RevokeOrder {
            id: order.id,
            attempt: attempt.number,
            agent: order.agent,
            start_by: order.start_by,
        };
        let (state, record) = (Rc::clone(state), Rc::clone(record));
        let asking = async move {
            let asked = timeout(REVOKE_TIMEOUT, revoke(&state, &record, question)).await;
            let reply = asked.ok().flatten()?;
            Some(if reply.incarnation == question.agent {
                reply.verdict
            } else {
                RevokeVerdict::OtherIncarnation
            })
        };
        Self {
            attempt,
            asking: Box::pin(asking),
        }
    }

    /// What the agent answered; nothing if it could not be asked.
    pub(crate) async fn answer(&mut self) -> (AttemptId, Option<RevokeVerdict>) {
        (self.attempt, self.asking.as_mut().await)
    }
}

async fn revoke(
    state: &EntryState,
    record: &AgentRecord,
    question: RevokeOrder,
) -> Option<RevokeReply> {
    let link = state
        .pool
        .open(record.address, state.revision())
        .await
        .ok()?;
    let (_sender, mut receiver) = link.send(&PeerOrder::Revoke(question)).await.ok()?;
    match receiver.receive().await {
        Ok(Some(PeerReply::Revoked(reply))) if reply.id == question.id => Some(reply),
        _ => None,
    }
}

/// What an agent's verdict means to the request's machine.
pub(crate) const fn revoke_answer(verdict: RevokeVerdict) -> RevokeAnswer {
    match verdict {
        RevokeVerdict::NeverStarted => RevokeAnswer::NeverStarted,
        RevokeVerdict::Started => RevokeAnswer::Started,
        RevokeVerdict::Finished => RevokeAnswer::Finished,
        RevokeVerdict::Forgotten => RevokeAnswer::Forgotten,
        RevokeVerdict::OtherIncarnation => RevokeAnswer::OtherIncarnation,
        RevokeVerdict::Unproved(reason) => RevokeAnswer::Unproved(reason),
    }
}
