//! Injected faults: planned ones at fixed times and random ones by rate.

use celerycrank_types::{TimePoint, TimeSpan};

/// Index of an entry in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryIndex(pub usize);

/// Index of an agent and its backend server in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AgentIndex(pub usize);

/// A fault that can be planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The entry's process is killed and restarts after the given time.
    KillEntry(EntryIndex, TimeSpan),
    /// The agent's process is killed and restarts after the given time.
    KillAgent(AgentIndex, TimeSpan),
    /// The agent's process is frozen for the given time.
    FreezeAgent(AgentIndex, TimeSpan),
    /// The agent's backend server is leaving and accepts no new work.
    Leave(AgentIndex),
    /// The agent's clock jumps forward by the given time.
    ClockForward(AgentIndex, TimeSpan),
    /// The agent's clock jumps back by the given time.
    ClockBack(AgentIndex, TimeSpan),
    /// The key-value service does not answer for the given time.
    KeyValueOutage(TimeSpan),
    /// The next message of the kind is lost, and its link may be reported broken.
    LoseNext(MessageKind),
    /// The next message of the kind is delayed, and its link may be reported broken.
    DelayNext(MessageKind, TimeSpan),
}

/// Kinds of messages that planned faults can affect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A request, from entry to agent.
    Send,
    /// The head of an answer.
    Head,
    /// A chunk of an answer's body.
    Chunk,
    /// A refusal.
    Refusal,
    /// A write to the key-value service.
    Swap,
    /// The key-value service's reply to a successful write.
    SwapReply,
}

/// A fault planned for a fixed time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// When the fault is injected.
    pub at: TimePoint,
    /// The fault.
    pub fault: Fault,
}

/// Fault probabilities per message.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct FaultRates {
    /// The message is lost.
    pub loss: f64,
    /// The message is duplicated.
    pub double: f64,
    /// The message is delayed by up to several seconds.
    pub late: f64,
    /// The message is delivered to another request of the same entry.
    pub misroute: f64,
}
