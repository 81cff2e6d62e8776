//! Messages between the fakes.

use celerycrank_types::{Incarnation, RequestId, TimePoint};

use super::{
    caller::CallPlan,
    fault::{AgentIndex, EntryIndex, Fault, MessageKind},
};
use crate::{
    AttemptId, CallStatus, ClaimOperation, ClaimReply, LinkNumber, OperationId, RequestEvent,
};

/// What happens at a point in time.
#[derive(Debug, Clone)]
pub(super) enum ModelEvent {
    /// A caller sends a request.
    Call(CallPlan),
    /// A caller leaves.
    Leave(EntryIndex, RequestId),
    /// A message arrives.
    Arrival(Message),
    /// The transport or a timer tells a request something.
    Local(EntryIndex, RequestId, RequestEvent),
    /// An agent looks at its timers.
    Tick(AgentIndex),
    /// An agent runs again after it was frozen.
    Thaw(AgentIndex),
    /// A fault happens.
    Fault(Fault),
    /// A process comes back.
    RestartEntry(EntryIndex),
    /// A process comes back.
    RestartAgent(AgentIndex),
}

/// A message between two fakes.
#[derive(Debug, Clone)]
pub(super) enum Message {
    /// From an entry to an agent.
    ToAgent(AgentIndex, Order),
    /// From an agent to an entry.
    ToEntry(Frame),
    /// From a backend server to the agent beside it.
    FromBackend(AgentIndex, Incarnation, AttemptId, BackendStep),
    /// From an agent to the key-value service.
    ToKeyValue(AgentIndex, Incarnation, ClaimOperation),
    /// From the key-value service to an agent.
    FromKeyValue(AgentIndex, Incarnation, OperationId, ClaimReply),
}

/// What an entry asks of an agent.
#[derive(Debug, Clone)]
pub(super) struct Order {
    pub(super) entry: EntryIndex,
    pub(super) request: RequestId,
    pub(super) body: OrderBody,
}

/// The kinds of orders.
#[derive(Debug, Clone)]
pub(super) enum OrderBody {
    Connect(LinkNumber),
    Send {
        link: LinkNumber,
        attempt: AttemptId,
        incarnation: Incarnation,
        deadline: TimePoint,
        plan: CallPlan,
    },
    Revoke {
        attempt: AttemptId,
        incarnation: Incarnation,
        deadline: TimePoint,
    },
    Resume {
        link: LinkNumber,
        attempt: AttemptId,
        incarnation: Incarnation,
        offset: u64,
    },
    Cancel(AttemptId),
}

/// What an agent tells a request.
#[derive(Debug, Clone)]
pub(super) struct Frame {
    pub(super) entry: EntryIndex,
    pub(super) request: RequestId,
    pub(super) link: LinkNumber,
    pub(super) event: RequestEvent,
    pub(super) bytes: Vec<u8>,
    /// The status, if the answer comes from the record of a key.
    pub(super) replayed: Option<CallStatus>,
}

/// What a backend server does for an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) enum BackendStep {
    Head,
    Chunk(u64),
    End,
    Broken,
}

impl Message {
    /// The kind of the message, where planned faults can hit it.
    pub(super) fn kind(&self) -> Option<MessageKind> {
        match self {
            Self::ToAgent(_, order) => {
                matches!(order.body, OrderBody::Send { .. }).then_some(MessageKind::Send)
            }
            Self::ToEntry(frame) => match frame.event {
                RequestEvent::Head(_) => Some(MessageKind::Head),
                RequestEvent::Chunk { .. } => Some(MessageKind::Chunk),
                RequestEvent::Refused(..) => Some(MessageKind::Refusal),
                _ => None,
            },
            Self::ToKeyValue(_, _, operation) => {
                matches!(operation, ClaimOperation::Swap { .. }).then_some(MessageKind::Swap)
            }
            Self::FromKeyValue(_, _, _, reply) => {
                matches!(reply, ClaimReply::Swapped(_)).then_some(MessageKind::SwapReply)
            }
            Self::FromBackend(..) => None,
        }
    }
}
