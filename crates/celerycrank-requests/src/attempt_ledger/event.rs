//! Events, actions and states of an attempt on the agent.

use celerycrank_types::{Incarnation, RefusalReason, TimePoint, UnknownReason};
use serde::Deserialize;

use crate::{CallStatus, ClaimAnswer, RevokeAnswer};

/// An event of an attempt on the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The complete request arrived.
    Arrived {
        /// The agent incarnation that the entry addressed.
        incarnation: Incarnation,
        /// Latest time at which the attempt may start, on this agent's clock.
        deadline: TimePoint,
        /// Whether the call requires a claim.
        call: CallKind,
    },
    /// The claim on the call's key was answered.
    Claimed(ClaimAnswer),
    /// Admission control or the queue refused the attempt.
    AdmissionRefused(RefusalReason),
    /// The backend server has a free slot for the attempt.
    SlotFree,
    /// It is proved that the backend server received nothing of the attempt.
    NotBegun(RefusalReason),
    /// The backend server's answer ended; without a status, the call's outcome is unknown.
    Finished(Option<CallStatus>),
    /// The entry revoked the attempt.
    Revoked {
        /// The agent's incarnation when the attempt was sent.
        incarnation: Incarnation,
        /// Latest time at which the attempt may start, on this agent's clock.
        deadline: TimePoint,
    },
    /// The attempt's answer is no longer needed.
    Cancelled,
}

/// Whether a call requires a claim before it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Started without a claim.
    Plain,
    /// Started only after its key is claimed.
    Keyed,
}

/// An action for the agent to carry out for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptAction {
    /// Claim the call's key.
    Claim,
    /// Add the attempt to the backend server's queue.
    Queue,
    /// Send the request to the backend server now.
    Start,
    /// Release the claim: the call was not started and never will be.
    ReleaseClaim,
    /// Record the call's status under its key.
    RecordClaim(CallStatus),
    /// Tell the entry that the attempt will never start.
    Refuse(RefusalReason),
    /// Tell the entry that the call's outcome is unknown.
    TellUnproved(UnknownReason),
    /// Answer with the status recorded under the key.
    Replay(CallStatus),
    /// Answer the revocation.
    Answer(RevokeAnswer),
    /// Cancel the attempt at the backend server.
    Cancel,
}

/// States of an attempt, named as in the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// Not in the ledger.
    Absent,
    /// Its key is being claimed.
    Claiming,
    /// It waits for a free slot of the backend server.
    Queued,
    /// It was sent to the backend server.
    Started,
    /// The backend server's answer ended.
    Finished,
    /// Not started here; unproved, because another attempt holds the claim on its key.
    Unproved,
    /// It was answered with the status recorded under its key.
    Replayed,
    /// It was not started and never will be.
    Tombstone,
}

/// Events of the chart, after the guards were evaluated.
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

/// Actions of the chart.
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
