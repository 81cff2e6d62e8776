//! Sends one attempt to its agent, and revokes it or asks for its outcome.

use std::{borrow::Cow, pin::Pin, rc::Rc, time::Duration};

use actix_rt::time::timeout;
use celerycrank_link::{MessageReceiver, MessageSender, PeerLink, StreamError};
use celerycrank_requests::{AttemptId, LinkNumber, RevokeAnswer};
use celerycrank_types::{Incarnation, RequestId};
use celerycrank_wire::{
    AnswerHead, PeerOrder, PeerReply, RevokeOrder, RevokeReply, RevokeVerdict, RunOrder,
};

use crate::{
    agents::{AgentRecord, InFlightGuard},
    dispatch::AdmittedRequest,
    probe::report_failure,
    state::EntryState,
};

/// Time for which a message from an agent is awaited at once: the interval at which an agent
/// sends a heartbeat for a request that waits or runs.
const AGENT_SILENCE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of consecutive intervals without a message from an agent after which it gets no further
/// work until it answers again.
const MAX_SILENT_INTERVALS: u32 = 3;

/// Timeout of a revocation.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer whose head has been received.
pub(crate) struct AttemptAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) receiver: MessageReceiver,
    pub(crate) record: Rc<AgentRecord>,
    /// Kept until the end of the answer.
    pub(crate) _guard: InFlightGuard,
    /// Kept until the end of the answer, so that the pool does not close the connection.
    pub(crate) _link: Rc<PeerLink>,
}

/// An attempt that was sent, and the stream on which its answer is received.
pub(crate) struct AttemptStream {
    /// Identifies the stream in the request's state machine; set once the order is sent.
    pub(crate) link_number: LinkNumber,
    pub(crate) receiver: MessageReceiver,
    /// Kept until the end of the attempt.
    pub(crate) guard: InFlightGuard,
    /// Kept open until the end of the attempt.
    _sender: MessageSender,
    pub(crate) link: Rc<PeerLink>,
    record: Rc<AgentRecord>,
    id: RequestId,
}

/// An event on the stream of an attempt.
pub(crate) enum StreamEvent {
    /// The head of the answer, a refusal, or an unknown outcome.
    Reply(PeerReply),
    /// The message cannot be decoded or does not answer this request.
    InvalidReply,
    /// The agent shut down gracefully without a reply.
    Stopped,
    /// The connection was lost.
    Lost(LinkNumber),
    /// The agent is silent, but its connection is still open.
    Silent(LinkNumber),
}

impl AttemptStream {
    /// Sends the order of a request to an agent.
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
            link_number: LinkNumber::default(),
            receiver,
            guard,
            _sender: sender,
            link,
            record: Rc::clone(record),
            id: order.id,
        })
    }

    /// Receives the next reply that is not a heartbeat.
    pub(crate) async fn receive(&mut self, state: &EntryState) -> StreamEvent {
        loop {
            let reply = match receive_reply(&mut self.receiver).await {
                Some(Ok(Some(reply))) => reply,
                Some(Err(StreamError::Wire(_))) => {
                    state.metrics.wire_faults.inc();
                    return StreamEvent::InvalidReply;
                }
                Some(Ok(None) | Err(_)) => return self.lost(state),
                None => return self.silent(state),
            };
            match reply {
                PeerReply::Waiting(load) => self.record.update_load(load, state.clock.now()),
                reply => return self.check(state, reply),
            }
        }
    }

    /// Checks that a reply answers this request and comes from the agent's incarnation to which
    /// it was sent.
    fn check(&self, state: &EntryState, reply: PeerReply) -> StreamEvent {
        let (id, incarnation, load) = match &reply {
            PeerReply::Head(head) => (head.id, head.incarnation, head.load),
            PeerReply::Refused(refused) => (refused.id, refused.incarnation, refused.load),
            PeerReply::Broken(broken) => (broken.id, self.incarnation(), broken.load),
            _ => return StreamEvent::InvalidReply,
        };
        if id != self.id || incarnation != self.incarnation() {
            return StreamEvent::InvalidReply;
        }
        self.record.update_load(load, state.clock.now());
        StreamEvent::Reply(reply)
    }

    fn incarnation(&self) -> Incarnation {
        self.link.welcome.incarnation
    }

    /// Gives the agent no further work, but keeps the stream: the agent may go on.
    fn silent(&self, state: &EntryState) -> StreamEvent {
        state.pool.discard(self.record.address);
        report_failure(state, &self.record);
        StreamEvent::Silent(self.link_number)
    }

    fn lost(&self, state: &EntryState) -> StreamEvent {
        state.pool.discard(self.record.address);
        report_failure(state, &self.record);
        if self.link.is_shut_down() {
            StreamEvent::Stopped
        } else {
            StreamEvent::Lost(self.link_number)
        }
    }
}

/// Receives the next message; `None` if the agent was silent for too long.
///
/// The silence is counted in intervals, since this process may have been frozen while the
/// messages arrived: that counts as one interval, and the messages are read in the next one.
pub(crate) async fn receive_reply(
    receiver: &mut MessageReceiver,
) -> Option<Result<Option<PeerReply>, StreamError>> {
    for _ in 0..MAX_SILENT_INTERVALS {
        if let Ok(received) = timeout(AGENT_SILENCE_INTERVAL, receiver.receive()).await {
            return Some(received);
        }
    }
    None
}

/// A pending request to an agent to revoke an attempt, sent on a new connection.
pub(crate) struct Revocation {
    attempt: AttemptId,
    reply: Pin<Box<dyn Future<Output = Option<RevokeVerdict>>>>,
}

impl Revocation {
    /// Asks the agent not to start the attempt, or to report its outcome if it has.
    pub(crate) fn start(
        state: &Rc<EntryState>,
        record: &Rc<AgentRecord>,
        order: &RunOrder,
        attempt: AttemptId,
    ) -> Self {
        let revoke_order = RevokeOrder {
            id: order.id,
            attempt: attempt.number,
            agent: order.agent,
            start_by: order.start_by,
        };
        let (state, record) = (Rc::clone(state), Rc::clone(record));
        let reply = async move {
            let result = timeout(REVOKE_TIMEOUT, revoke(&state, &record, revoke_order)).await;
            let reply = result.ok().flatten()?;
            Some(if reply.incarnation == revoke_order.agent {
                reply.verdict
            } else {
                RevokeVerdict::OtherIncarnation
            })
        };
        Self {
            attempt,
            reply: Box::pin(reply),
        }
    }

    /// Waits for the agent's verdict; `None` if the agent could not be asked.
    pub(crate) async fn receive_verdict(&mut self) -> (AttemptId, Option<RevokeVerdict>) {
        (self.attempt, self.reply.as_mut().await)
    }
}

async fn revoke(
    state: &EntryState,
    record: &AgentRecord,
    revoke_order: RevokeOrder,
) -> Option<RevokeReply> {
    let link = state
        .pool
        .open(record.address, state.revision())
        .await
        .ok()?;
    let (_sender, mut receiver) = link.send(&PeerOrder::Revoke(revoke_order)).await.ok()?;
    match receiver.receive().await {
        Ok(Some(PeerReply::Revoked(reply))) if reply.id == revoke_order.id => Some(reply),
        _ => None,
    }
}

/// Converts an agent's verdict to an event value of the request's state machine.
pub(crate) const fn to_revoke_answer(verdict: RevokeVerdict) -> RevokeAnswer {
    match verdict {
        RevokeVerdict::NeverStarted => RevokeAnswer::NeverStarted,
        RevokeVerdict::Started => RevokeAnswer::Started,
        RevokeVerdict::Finished => RevokeAnswer::Finished,
        RevokeVerdict::Forgotten => RevokeAnswer::Forgotten,
        RevokeVerdict::OtherIncarnation => RevokeAnswer::OtherIncarnation,
        RevokeVerdict::Unproved(reason) => RevokeAnswer::Unproved(reason),
    }
}
