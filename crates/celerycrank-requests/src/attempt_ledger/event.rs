//! What reaches an attempt at the agent, and what the agent has to do for it.

use celerycrank_types::{Incarnation, RefusalReason, TimePoint, UnknownReason};
use serde::Deserialize;

use crate::{CallStatus, ClaimAnswer, RevokeAnswer};

/// What reaches an attempt at the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The whole request arrived.
    Arrived {
        /// The incarnation that the entry believes it talks to.
        incarnation: Incarnation,
        /// When the attempt must have started, on this agent's clock.
        deadline: TimePoint,
        /// Whether the call needs a claim.
        call: CallKind,
    },
    /// The claim for the call's key was settled.
    Claimed(ClaimAnswer),
    /// Admission or the queue turns the attempt away.
    AdmissionRefused(RefusalReason),
    /// The backend server has room for the attempt.
    SlotFree,
    /// The backend server proved that it received nothing of the attempt.
    NotBegun(RefusalReason),
    /// The backend server's answer ended; without a status, nothing is known of the call.
    Finished(Option<CallStatus>),
    /// The entry asks that the attempt never start.
    Revoked {
        /// The agent's incarnation when the attempt was sent.
        incarnation: Incarnation,
        /// When the attempt must have started, on this agent's clock.
        deadline: TimePoint,
    },
    /// Nobody waits for the attempt any more.
    Cancelled,
}

/// Whether a call needs a claim before it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Started without a claim.
    Plain,
    /// Started only after its key was claimed.
    Keyed,
}

/// What the agent has to do for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptAction {
    /// Claim the call's key.
    Claim,
    /// Put the attempt into the backend server's queue.
    Queue,
    /// Hand the request to the backend server now.
    Start,
    /// Give the claim back: the call was not started and never will be.
    ReleaseClaim,
    /// Record the call's status under its key.
    RecordClaim(CallStatus),
    /// Tell the entry that the attempt will never start.
    Refuse(RefusalReason),
    /// Tell the entry that nothing can be proved about the call.
    TellUnproved(UnknownReason),
    /// Answer with the status recorded for the key.
    Replay(CallStatus),
    /// Answer the revocation.
    Answer(RevokeAnswer),
    /// Tell the backend server to stop working on the attempt.
    Cancel,
}

/// States of an attempt, as the chart names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// Not in the ledger.
    Absent,
    /// Its key is being claimed.
    Claiming,
    /// It waits for the backend server.
    Queued,
    /// It was handed to the backend server.
    Started,
    /// The backend server's answer ended.
    Finished,
    /// It was not started, but its key is claimed elsewhere.
    Unproved,
    /// It was answered from the record of its key.
    Replayed,
    /// It was not started and never will be.
    Tombstone,
}

/// Events as the chart names them, after the guards were weighed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EventKind {
    Arrived,
    ArrivedKeyed,
    Claimed,
    Recorded,
    ClaimRefused,
    Unproved,
    Refused,
    SlotFree,
    NotBegun,
    Finished,
    Revoked,
    Cancelled,
}

/// Actions as the chart names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ActionKind {
    Claim,
    Queue,
    Start,
    ReleaseClaim,
    RecordClaim,
    Refuse,
    TellUnproved,
    Replay,
    AnswerNeverStarted,
    AnswerStarted,
    AnswerFinished,
    AnswerUnproved,
    Cancel,
}
