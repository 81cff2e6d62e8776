//! What reaches a request at the entry, and what the entry has to do for it.

use celerycrank_types::{
    BackendId, Incarnation, RefusalReason, RequestOutcome, RetryReason, TimePoint, UnknownReason,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{AttemptId, LinkNumber, PeerClock};

/// What reaches a request at the entry.
///
/// Whatever an agent says names its attempt; what names another attempt is dropped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEvent {
    /// Routing chose this backend server.
    Chosen(BackendId),
    /// Routing or admission found none, for this reason.
    NoBackendChosen(RefusalReason),
    /// The link is up; its agent is in this incarnation.
    Connected {
        /// The link asked for by [`RequestAction::Connect`].
        link: LinkNumber,
        /// The agent's incarnation, from its greeting.
        incarnation: Incarnation,
        /// The agent's clock, from its greeting.
        clock: PeerClock,
    },
    /// No byte of the request was sent, since no link came up.
    ConnectFailed(LinkNumber),
    /// The link broke, or could not be made for a resumption.
    LinkLost(LinkNumber),
    /// The agent refused the attempt and will never start it.
    Refused(AttemptId, RefusalReason),
    /// The agent says that nothing can be proved about the attempt's call.
    Unproved(AttemptId, UnknownReason),
    /// The head of the answer arrived.
    Head(AttemptId),
    /// Bytes of the answer's body arrived.
    Chunk {
        /// The attempt that the agent answers.
        attempt: AttemptId,
        /// Where in the body the bytes belong.
        offset: u64,
        /// How many bytes there are.
        length: u64,
    },
    /// The answer is complete and its body has this length.
    End {
        /// The attempt that the agent answers.
        attempt: AttemptId,
        /// The length of the whole body.
        length: u64,
    },
    /// The agent answered a revocation.
    RevokeAnswered(AttemptId, RevokeAnswer),
    /// The agent could not be asked to revoke.
    RevokeFailed(AttemptId),
    /// The time that [`crate::RequestMachine::wake_at`] named has come.
    TimerFired,
    /// The caller is gone.
    CallerLeft,
}

/// What an agent answers to a revocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RevokeAnswer {
    /// The attempt was not started, and never will be.
    NeverStarted,
    /// The attempt was started and has not finished; its answer can be resumed.
    Started,
    /// The attempt has finished; its answer can be resumed while the agent holds it.
    Finished,
    /// The attempt was not started, but its call may have run under the same key.
    Unproved(UnknownReason),
    /// The attempt is older than the agent's record.
    Forgotten,
    /// The agent restarted since the attempt was sent.
    OtherIncarnation,
}

/// What the entry has to do for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestAction {
    /// Choose a backend server, rather none of those that failed.
    Choose {
        /// Backend servers that failed this request.
        avoid: SmallVec<[BackendId; 2]>,
    },
    /// Find or make a connection to the backend server's agent.
    Connect {
        /// The number that the connection has within the request.
        link: LinkNumber,
        /// The chosen backend server.
        backend: BackendId,
    },
    /// Send the whole request on the connected link.
    Send {
        /// The number of the connected link.
        link: LinkNumber,
        /// The attempt, which the agent names in its answer.
        attempt: AttemptId,
        /// The chosen backend server.
        backend: BackendId,
        /// The incarnation that the attempt is meant for.
        incarnation: Incarnation,
        /// When the attempt must have started, on the agent's clock.
        deadline: TimePoint,
    },
    /// Ask the agent, over another connection, never to start the attempt.
    Revoke {
        /// The attempt to be revoked.
        attempt: AttemptId,
        /// The backend server whose agent has it.
        backend: BackendId,
        /// The agent's incarnation when the attempt was sent.
        incarnation: Incarnation,
        /// When the attempt must have started, on the agent's clock.
        deadline: TimePoint,
    },
    /// Ask the agent, over a new link, for the answer from an offset on.
    Resume {
        /// The number that the new link has within the request.
        link: LinkNumber,
        /// The attempt whose answer broke off.
        attempt: AttemptId,
        /// The backend server whose agent has it.
        backend: BackendId,
        /// The agent's incarnation when the attempt was sent.
        incarnation: Incarnation,
        /// Bytes that the caller already has.
        offset: u64,
    },
    /// Deliver the head that the event brought.
    DeliverHead,
    /// Deliver the chunk that the event brought, less its first bytes.
    Deliver {
        /// Bytes that the caller already has.
        skip: u64,
    },
    /// Tell the agent that nobody waits for the attempt any more.
    Cancel {
        /// The attempt that nobody waits for.
        attempt: AttemptId,
        /// The backend server whose agent has it.
        backend: BackendId,
    },
    /// Count a retry.
    CountRetry(RetryReason),
    /// Tell the caller the outcome: by status before the head, else by the stream's end.
    Report(RequestOutcome),
}

/// States of a request, as the chart names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// A backend server is being chosen.
    Choosing,
    /// A link to the agent is being made; nothing is sent yet.
    Connecting,
    /// The request is sent and its answer's head awaited.
    Waiting,
    /// The agent is asked whether it started the attempt.
    Revoking,
    /// A proved failure is followed by a wait before the next choice.
    BackingOff,
    /// The agent is asked for the rest of the answer.
    Resuming,
    /// The answer is being delivered.
    Streaming,
    /// The whole answer was delivered.
    Answered,
    /// The request was not run, and the caller was told so.
    Refused,
    /// Nothing can be proved, and the caller was told so.
    Unknown,
    /// The caller is gone.
    Left,
}

/// Events as the chart names them, after the guards were weighed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EventKind {
    Chosen,
    Connected,
    NotRun,
    Retry,
    Repeat,
    Unproved,
    Started,
    Running,
    AskAgain,
    Head,
    Chunk,
    End,
    LinkLost,
    WaitOver,
    Deadline,
    Settle,
    CallerLeft,
}

/// Actions as the chart names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ActionKind {
    Choose,
    Connect,
    Send,
    Revoke,
    Resume,
    DeliverHead,
    Deliver,
    Cancel,
    CountRetry,
    Report,
}
