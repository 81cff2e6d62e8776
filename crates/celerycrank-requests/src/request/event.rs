//! Events, actions and states of a request on the entry.

use celerycrank_types::{
    BackendId, Incarnation, RefusalReason, RequestOutcome, RetryReason, TimePoint, UnknownReason,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{AttemptId, LinkNumber, PeerClock};

/// An input to the request state machine.
///
/// Every event from an agent names its attempt; events that name an attempt other than the
/// latest are dropped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEvent {
    /// Routing chose a backend server.
    Chosen(BackendId),
    /// Routing or admission found no backend server, for this reason.
    NoBackendChosen(RefusalReason),
    /// The link is up.
    Connected {
        /// The link requested by [`RequestAction::Connect`].
        link: LinkNumber,
        /// The agent's incarnation, from its handshake.
        incarnation: Incarnation,
        /// The agent's clock, from its handshake.
        clock: PeerClock,
    },
    /// The connection attempt failed, so no byte of the request was sent.
    ConnectFailed(LinkNumber),
    /// The link broke, or could not be established for a resumption.
    LinkLost(LinkNumber),
    /// The agent sent nothing for some time, but the link is still open.
    LinkSilent(LinkNumber),
    /// The agent refused the attempt and will never start it.
    Refused(AttemptId, RefusalReason),
    /// The agent cannot prove whether the attempt's call ran.
    Unproved(AttemptId, UnknownReason),
    /// The head of the answer arrived.
    Head(AttemptId),
    /// Bytes of the answer's body arrived.
    Chunk {
        /// The attempt that the answer belongs to.
        attempt: AttemptId,
        /// Offset of the bytes within the body.
        offset: u64,
        /// Number of bytes.
        length: u64,
    },
    /// The answer is complete.
    End {
        /// The attempt that the answer belongs to.
        attempt: AttemptId,
        /// The length of the complete body.
        length: u64,
    },
    /// The agent answered a revocation.
    RevokeAnswered(AttemptId, RevokeAnswer),
    /// The revocation could not be delivered to the agent.
    RevokeFailed(AttemptId),
    /// The time returned by [`crate::RequestMachine::wake_at`] was reached.
    TimerFired,
    /// The caller disconnected.
    CallerLeft,
}

/// An agent's answer to a revocation.
///
/// An agent answers "unproved" if it cannot tell whether the call ran; unless the entry then
/// repeats the call, the caller is told that the outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RevokeAnswer {
    /// The attempt was not started, and never will be.
    NeverStarted,
    /// The attempt was started and is running; its answer can be resumed.
    Started,
    /// The attempt has finished; its answer can be resumed while the agent retains it.
    Finished,
    /// The attempt was not started, but another attempt may have run the call under its key.
    Unproved(UnknownReason),
    /// The agent has dropped its record of the attempt.
    Forgotten,
    /// The agent restarted since the attempt was sent.
    OtherIncarnation,
}

/// An output of the request state machine, carried out by the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestAction {
    /// Choose a backend server, preferably none that failed this request.
    Choose {
        /// Backend servers that failed this request.
        avoid: SmallVec<[BackendId; 2]>,
    },
    /// Get or open a connection to the backend server's agent.
    Connect {
        /// The connection's number within the request.
        link: LinkNumber,
        /// The chosen backend server.
        backend: BackendId,
    },
    /// Send the complete request on the connected link.
    Send {
        /// The number of the connected link.
        link: LinkNumber,
        /// The attempt, which the agent repeats in its answer.
        attempt: AttemptId,
        /// The chosen backend server.
        backend: BackendId,
        /// The agent incarnation that the attempt is addressed to.
        incarnation: Incarnation,
        /// Latest time at which the attempt may start, on the agent's clock.
        deadline: TimePoint,
    },
    /// Ask the agent, over a separate connection, never to start the attempt.
    Revoke {
        /// The attempt to revoke.
        attempt: AttemptId,
        /// The backend server whose agent received the attempt.
        backend: BackendId,
        /// The agent's incarnation when the attempt was sent.
        incarnation: Incarnation,
        /// Latest time at which the attempt may start, on the agent's clock.
        deadline: TimePoint,
    },
    /// Ask the agent, over a new link, for the answer from an offset onward.
    Resume {
        /// The new link's number within the request.
        link: LinkNumber,
        /// The attempt whose answer was interrupted.
        attempt: AttemptId,
        /// The backend server whose agent received the attempt.
        backend: BackendId,
        /// The agent's incarnation when the attempt was sent.
        incarnation: Incarnation,
        /// Number of bytes already delivered to the caller.
        offset: u64,
    },
    /// Deliver the head carried by the event.
    DeliverHead,
    /// Deliver the chunk carried by the event, without its first `skip` bytes.
    Deliver {
        /// Number of leading bytes already delivered to the caller.
        skip: u64,
    },
    /// Tell the agent that the attempt's answer is no longer needed.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
        /// The backend server whose agent received the attempt.
        backend: BackendId,
    },
    /// Count a retry in the metrics.
    CountRetry(RetryReason),
    /// Report the outcome to the caller: as an HTTP status if no head was delivered yet, otherwise
    /// by completing or cutting off the stream.
    Report(RequestOutcome),
}

/// States of a request, named as in the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// A backend server is being chosen.
    Choosing,
    /// A link to the agent is being established; nothing has been sent yet.
    Connecting,
    /// The request has been sent; waiting for the head of the answer.
    Waiting,
    /// Asking the agent whether it started the attempt.
    Revoking,
    /// Waiting before a backend server is chosen for the next attempt.
    BackingOff,
    /// Asking the agent for the rest of the answer.
    Resuming,
    /// The answer is being delivered.
    Streaming,
    /// The complete answer was delivered.
    Answered,
    /// The request was not run, and this was reported to the caller.
    Refused,
    /// The outcome is unknown, and this was reported to the caller.
    Unknown,
    /// The caller disconnected.
    Left,
}

/// Events of the chart, after the guards were evaluated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EventKind {
    Chosen,
    Connected,
    /// No attempt ran, and no further one follows.
    NotRun,
    /// The latest attempt was not sent or never starts; another one follows.
    Retry,
    /// The latest attempt may have run; the call may be repeated, so another one follows.
    Repeat,
    /// An attempt may have run, and no further one follows.
    Unproved,
    /// The attempt started, but its link is lost: its answer must be resumed.
    Started,
    /// The attempt started, its link is up and its deadline has passed: the answer may still come.
    Running,
    /// The attempt started, its link is up and its deadline has not passed.
    StillRunning,
    /// The agent has not answered within the query interval and is asked again.
    AskAgain,
    Head,
    Chunk,
    End,
    LinkLost,
    LinkSilent,
    /// The backoff before the next attempt has ended.
    WaitOver,
    /// The head of the answer did not arrive in time.
    Deadline,
    /// The settle timeout has passed: the outcome of the attempt stays unknown.
    Settle,
    CallerLeft,
}

/// Actions of the chart.
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
