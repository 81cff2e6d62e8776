//! One attempt to have an agent run a request.

use std::{rc::Rc, time::Duration};

use actix_rt::time::timeout;
use celerycrank_link::{LinkFault, MessageReceiver, PeerLink, StreamFault};
use celerycrank_requests::{PeerClock, is_retryable};
use celerycrank_types::{RefusalReason, RetryReason, TimePoint, TimeSpan, UnknownReason};
use celerycrank_wire::{
    AnswerHead, PeerOrder, PeerReply, RefusedReply, RevokeOrder, RevokeReply, RevokeVerdict,
    RunOrder,
};

use crate::{
    probe::note_failure,
    roster::{AgentRecord, OutstandingGuard},
    state::EntryState,
};

/// Silence of an agent after which its link counts as lost.
///
/// Three times the interval at which an agent says that a request still waits or runs.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Longest wait for the answer to a revocation.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);

/// How one attempt ended.
pub(crate) enum AttemptEnd {
    /// The backend server answers.
    Answering(Box<AttemptAnswer>),
    /// It is proved that the request was not run.
    NotRun {
        /// Why it was not.
        reason: RefusalReason,
        /// When a new attempt may succeed, if that is known.
        retry_after: Option<TimeSpan>,
        /// Why another agent may be tried; nothing if none may.
        retry: Option<RetryReason>,
    },
    /// Nothing can be proved.
    Unknown(UnknownReason),
}

/// An answer that has begun.
pub(crate) struct AttemptAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) receiver: MessageReceiver,
    pub(crate) record: Rc<AgentRecord>,
    /// Held until the answer's end.
    pub(crate) _guard: OutstandingGuard,
}

/// What came back before an answer began.
enum FirstReply {
    Head(AnswerHead),
    Refused(Box<RefusedReply>),
    Broken(UnknownReason),
    /// The link was lost, or the agent is silent.
    Lost,
}

/// Hands a request to one agent.
pub(crate) async fn forward(
    state: &Rc<EntryState>,
    record: &Rc<AgentRecord>,
    order: &mut RunOrder,
    deadline: TimePoint,
) -> AttemptEnd {
    let guard = record.hand_out();
    let link = match state.pool.connect(record.address, order.revision).await {
        Ok(link) => link,
        Err(fault) => return not_connected(state, record, &fault),
    };
    let age = link.heard_since();
    let introduced = state.clock.now() - age;
    order.agent = link.welcome.incarnation;
    order.start_by = PeerClock::new(link.welcome.clock, introduced).deadline(deadline);
    // An agent starts nothing before it has the whole order, so a failure to send all of
    // it is a proof that nothing was started.
    let Ok((_sender, mut receiver)) = link.send(&PeerOrder::Run(Box::new(order.clone()))).await
    else {
        state.pool.forget(record.address);
        return not_run(RefusalReason::AgentUnreachable, RetryReason::ConnectFailed);
    };
    match first_reply(state, record, &link, &mut receiver, order).await {
        FirstReply::Head(head) => AttemptEnd::Answering(Box::new(AttemptAnswer {
            head,
            receiver,
            record: Rc::clone(record),
            _guard: guard,
        })),
        FirstReply::Refused(reply) => refused(state, record, &reply),
        FirstReply::Broken(reason) => AttemptEnd::Unknown(reason),
        FirstReply::Lost => settle(state, record, &link, order).await,
    }
}

async fn first_reply(
    state: &EntryState,
    record: &AgentRecord,
    link: &PeerLink,
    receiver: &mut MessageReceiver,
    order: &RunOrder,
) -> FirstReply {
    let incarnation = link.welcome.incarnation;
    loop {
        let reply = match timeout(SILENCE_LIMIT, receiver.receive()).await {
            Ok(Ok(Some(reply))) => reply,
            Ok(Err(StreamFault::Wire(_))) => {
                state.metrics.wire_faults.inc();
                return FirstReply::Broken(UnknownReason::BadAnswer);
            }
            Ok(Ok(None) | Err(_)) | Err(_) => return FirstReply::Lost,
        };
        match reply {
            PeerReply::Waiting(load) => record.note_load(load),
            PeerReply::Head(head) if head.id == order.id && head.incarnation == incarnation => {
                record.note_load(head.load);
                return FirstReply::Head(head);
            }
            PeerReply::Refused(reply)
                if reply.id == order.id && reply.incarnation == incarnation =>
            {
                record.note_load(reply.load);
                return FirstReply::Refused(reply);
            }
            PeerReply::Broken(reply) if reply.id == order.id => {
                record.note_load(reply.load);
                return FirstReply::Broken(reply.reason);
            }
            _ => return FirstReply::Broken(UnknownReason::BadAnswer),
        }
    }
}

/// Asks the agent, by a new connection, what became of a request whose link was lost.
async fn settle(
    state: &Rc<EntryState>,
    record: &Rc<AgentRecord>,
    link: &PeerLink,
    order: &RunOrder,
) -> AttemptEnd {
    state.pool.forget(record.address);
    note_failure(state, record);
    if link.is_stopped() {
        return not_run(RefusalReason::BackendLeaving, RetryReason::Refused);
    }
    let asking = revoke(state, record, order);
    let Ok(Some(reply)) = timeout(REVOKE_TIMEOUT, asking).await else {
        return AttemptEnd::Unknown(UnknownReason::LinkLost);
    };
    if reply.incarnation != link.welcome.incarnation {
        return AttemptEnd::Unknown(UnknownReason::AgentRestarted);
    }
    match reply.verdict {
        RevokeVerdict::NeverStarted => not_run(RefusalReason::Revoked, RetryReason::Revoked),
        RevokeVerdict::Started | RevokeVerdict::Finished | RevokeVerdict::Forgotten => {
            AttemptEnd::Unknown(UnknownReason::LinkLost)
        }
        RevokeVerdict::Unproved(reason) => AttemptEnd::Unknown(reason),
        RevokeVerdict::OtherIncarnation => AttemptEnd::Unknown(UnknownReason::AgentRestarted),
    }
}

async fn revoke(state: &EntryState, record: &AgentRecord, order: &RunOrder) -> Option<RevokeReply> {
    let link = state.pool.open(record.address, order.revision).await.ok()?;
    let question = PeerOrder::Revoke(RevokeOrder {
        id: order.id,
        attempt: order.attempt,
        agent: order.agent,
        start_by: order.start_by,
    });
    let (_sender, mut receiver) = link.send(&question).await.ok()?;
    match receiver.receive().await {
        Ok(Some(PeerReply::Revoked(reply))) if reply.id == order.id => Some(reply),
        _ => None,
    }
}

fn refused(state: &EntryState, record: &AgentRecord, reply: &RefusedReply) -> AttemptEnd {
    if let Some(update) = &reply.configuration {
        state.sync.on_update(update);
    }
    if reply.reason == RefusalReason::BackendUnreachable {
        note_failure(state, record);
    }
    AttemptEnd::NotRun {
        reason: reply.reason,
        retry_after: reply.retry_after,
        retry: is_retryable(reply.reason).then_some(RetryReason::Refused),
    }
}

fn not_connected(
    state: &Rc<EntryState>,
    record: &Rc<AgentRecord>,
    fault: &LinkFault,
) -> AttemptEnd {
    note_failure(state, record);
    not_run(fault.refusal_reason(), RetryReason::ConnectFailed)
}

const fn not_run(reason: RefusalReason, retry: RetryReason) -> AttemptEnd {
    AttemptEnd::NotRun {
        reason,
        retry_after: None,
        retry: Some(retry),
    }
}
