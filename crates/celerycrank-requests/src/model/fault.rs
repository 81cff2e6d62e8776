//! Faults of a run: planned ones at a point in time, and random ones by rate.

use celerycrank_types::{TimePoint, TimeSpan};

/// One entry of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryIndex(pub usize);

/// One agent of a run, with its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AgentIndex(pub usize);

/// A fault at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The entry's process dies and comes back after the span.
    KillEntry(EntryIndex, TimeSpan),
    /// The agent's process dies and comes back after the span.
    KillAgent(AgentIndex, TimeSpan),
    /// The agent's process does not run for the span.
    FreezeAgent(AgentIndex, TimeSpan),
    /// The agent's backend server is leaving and takes no new work.
    Leave(AgentIndex),
    /// The agent's clock goes forward by the span.
    ClockForward(AgentIndex, TimeSpan),
    /// The agent's clock goes back by the span.
    ClockBack(AgentIndex, TimeSpan),
    /// The key-value service does not answer for the span.
    KeyValueOutage(TimeSpan),
    /// The next message of the kind is lost, and its link breaks.
    LoseNext(MessageKind),
    /// The next message of the kind arrives later by the span, and its link breaks.
    DelayNext(MessageKind, TimeSpan),
}

/// Kinds of messages that a planned fault can hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A request, from entry to agent.
    Send,
    /// The head of an answer.
    Head,
    /// A part of an answer.
    Chunk,
    /// A refusal.
    Refusal,
    /// A write to the key-value service.
    Swap,
    /// An answer of the key-value service to a write.
    SwapReply,
}

/// A planned fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it happens.
    pub at: TimePoint,
    /// What happens.
    pub fault: Fault,
}

/// Probabilities of faults of one message.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct FaultRates {
    /// The message is lost.
    pub loss: f64,
    /// The message arrives twice.
    pub double: f64,
    /// The message arrives seconds late.
    pub late: f64,
    /// The message reaches another request of the same entry.
    pub misroute: f64,
}
