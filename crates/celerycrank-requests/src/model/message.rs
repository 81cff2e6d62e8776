//! Messages between the fakes, and the events of a run.

use celerycrank_types::{Incarnation, RequestId, TimePoint};

use super::{
    caller::CallPlan,
    fault::{AgentIndex, EntryIndex, Fault, MessageKind},
};
use crate::{
    AttemptId, CallStatus, ClaimOperation, ClaimReply, LinkNumber, OperationId, RequestEvent,
};

/// A scheduled event of a run.
#[derive(Debug, Clone)]
pub(super) enum ModelEvent {
    /// A caller sends a request.
    Call(CallPlan),
    /// A caller disconnects.
    Leave(EntryIndex, RequestId),
    /// A message arrives.
    Arrival(Message),
    /// An event from the transport or a timer for a request.
    Local(EntryIndex, RequestId, RequestEvent),
    /// An agent checks its timers.
    Tick(AgentIndex),
    /// A frozen agent resumes.
    Thaw(AgentIndex),
    /// A planned fault is injected.
    Fault(Fault),
    /// An entry's process restarts.
    RestartEntry(EntryIndex),
    /// An agent's process restarts.
    RestartAgent(AgentIndex),
}

/// A message between two fakes.
#[derive(Debug, Clone)]
pub(super) enum Message {
    /// From an entry to an agent.
    ToAgent(AgentIndex, Order),
    /// From an agent to an entry.
    ToEntry(Frame),
    /// From a backend server to its agent.
    FromBackend(AgentIndex, Incarnation, AttemptId, BackendStep),
    /// From an agent to the key-value service.
    ToKeyValue(AgentIndex, Incarnation, ClaimOperation),
    /// From the key-value service to an agent.
    FromKeyValue(AgentIndex, Incarnation, OperationId, ClaimReply),
}

/// An order from an entry to an agent.
#[derive(Debug, Clone)]
pub(super) struct Order {
    pub(super) entry: EntryIndex,
    pub(super) request: RequestId,
    pub(super) body: OrderBody,
}

/// The body of an order.
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

/// A frame from an agent to a request.
#[derive(Debug, Clone)]
pub(super) struct Frame {
    pub(super) entry: EntryIndex,
    pub(super) request: RequestId,
    pub(super) link: LinkNumber,
    pub(super) event: RequestEvent,
    pub(super) bytes: Vec<u8>,
    /// The recorded status, if the answer is replayed from the record of a key.
    pub(super) replayed: Option<CallStatus>,
}

/// A step of a backend server's answer to an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) enum BackendStep {
    Head,
    Chunk(u64),
    End,
    Broken,
}

impl Message {
    /// Returns the kind of the message, if planned faults can affect it.
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
