//! What a process answers to an order.

use bytes::Bytes;
use celerycrank_shares::TokenGrant;
use celerycrank_types::{
    BackendId, DomainId, Incarnation, ModelId, RefusalReason, RequestId, Revision, ServiceId,
    TimePoint, TimeSpan, TokenCount, UnknownReason, VmId,
};
use serde::{Deserialize, Serialize};

use crate::HttpField;

/// One message of an answer.
///
/// A [`PeerOrder::Run`](crate::PeerOrder::Run) is answered by any number of `Waiting`,
/// then either by `Refused`, or by `Head`, any number of `Chunk` and `Waiting`, and `End`.
/// `Broken` may take the place of any of them and ends the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers a hello.
    Welcome(WelcomeReply),
    /// The request waits or runs; nothing else can be said yet.
    Waiting(LoadReport),
    /// The backend server's answer begins.
    Head(AnswerHead),
    /// A part of the answer's body.
    Chunk(Bytes),
    /// The answer is complete.
    End(AnswerEnd),
    /// The request was not run, and will not be by this agent.
    Refused(Box<RefusedReply>),
    /// Nothing can be proved about the request any more.
    Broken(BrokenReply),
    /// Answers a revocation.
    Revoked(RevokeReply),
    /// Answers a pull.
    Configuration(ConfigurationReply),
    /// Answers a demand.
    Grant(TokenGrant),
}

/// Introduces an agent to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WelcomeReply {
    /// The agent's present life; what it says of requests holds for this life only.
    pub incarnation: Incarnation,
    /// The agent's clock at the moment of the reply.
    pub clock: TimePoint,
    /// The revision that the agent has in force.
    pub revision: Revision,
    /// What the agent's backend server offers.
    pub offer: BackendOffer,
    /// How busy the agent is.
    pub load: LoadReport,
}

/// What a backend server offers, and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendOffer {
    /// The backend server.
    pub backend: BackendId,
    /// The VM on which it runs.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it serves.
    pub kind: OfferKind,
}

/// What a backend server serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OfferKind {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
    /// No backend server: the peer is an entry.
    Entry,
}

/// How busy an agent is at the moment of a reply.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the backend server works on.
    pub running: u32,
    /// Requests that wait at the agent.
    pub queued: u32,
    /// Estimated work of those that wait.
    pub queued_cost: TokenCount,
    /// Most requests that the backend server works on at a time.
    pub concurrency: u32,
    /// Whether the agent is leaving and takes no new request.
    pub leaving: bool,
}

/// The head of a backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The request that is answered.
    pub id: RequestId,
    /// The agent's present life.
    pub incarnation: Incarnation,
    /// The revision that the agent has in force.
    pub revision: Revision,
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub fields: Vec<HttpField>,
    /// How long the request waited at the agent.
    pub waited: TimeSpan,
    /// How busy the agent is.
    pub load: LoadReport,
}

/// The end of a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEnd {
    /// The request that was answered.
    pub id: RequestId,
    /// How busy the agent is.
    pub load: LoadReport,
}

/// Tells that a request was not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
pub struct RefusedReply {
    /// The request that was refused.
    pub id: RequestId,
    /// The agent's present life.
    pub incarnation: Incarnation,
    /// The revision that the agent has in force.
    pub revision: Revision,
    /// Why the request was not run.
    pub reason: RefusalReason,
    /// When a new attempt may succeed, if that is known.
    pub retry_after: Option<TimeSpan>,
    /// What brings the sender to the agent's revision, as JSON, if the sender's is older.
    pub configuration: Option<Bytes>,
    /// How busy the agent is.
    pub load: LoadReport,
}

/// Tells that nothing can be proved about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenReply {
    /// The request.
    pub id: RequestId,
    /// The agent's present life.
    pub incarnation: Incarnation,
    /// What broke.
    pub reason: UnknownReason,
    /// How busy the agent is.
    pub load: LoadReport,
}

/// Tells what became of a revoked request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeReply {
    /// The request.
    pub id: RequestId,
    /// The agent's present life; proves nothing about requests sent to an earlier one.
    pub incarnation: Incarnation,
    /// What the agent knows.
    pub verdict: RevokeVerdict,
}

/// What an agent knows of a request that was revoked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RevokeVerdict {
    /// It was not started in this life and will not be.
    NeverStarted,
    /// It was started and may still run.
    Started,
    /// It was started and its answer ended.
    Finished,
    /// It was not started here, but nothing is proved of its call.
    Unproved(UnknownReason),
    /// It is so old that nothing is known of it.
    Forgotten,
    /// It was sent to another life of the agent.
    OtherIncarnation,
}

/// A configuration for a process whose own is older.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationReply {
    /// The revision that the sender has in force.
    pub revision: Revision,
    /// What brings the asker to that revision, as JSON, if the asker's is older.
    pub configuration: Option<Bytes>,
    /// The revision of the planned stops that the sender knows.
    pub stops: Revision,
    /// The planned stops as JSON, if the asker's are older.
    pub stop_list: Option<Bytes>,
}
