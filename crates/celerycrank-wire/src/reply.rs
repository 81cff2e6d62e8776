//! Replies, which answer an order.

use bytes::Bytes;
use celerycrank_shares::TokenGrant;
use celerycrank_types::{
    BackendId, DomainId, Incarnation, ModelId, RefusalReason, RequestId, Revision, ServiceId,
    TimePoint, TimeSpan, TokenCount, UnknownReason, VmId,
};
use serde::{Deserialize, Serialize};

use crate::HttpField;

/// One message in the answer to an order.
///
/// A [`PeerOrder::Run`](crate::PeerOrder::Run) is answered by any number of `Waiting`,
/// then either by `Refused`, or by `Head`, any number of `Chunk` and `Waiting`, and `End`.
/// `Broken` may replace any of them and ends the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers [`PeerOrder::Hello`](crate::PeerOrder::Hello).
    Welcome(WelcomeReply),
    /// The request is queued or running and has no result yet.
    Waiting(LoadReport),
    /// The head of the backend server's answer.
    Head(AnswerHead),
    /// A part of the body of the answer.
    Chunk(Bytes),
    /// The answer is complete.
    End(AnswerEnd),
    /// The request was not run, and this agent will not run it.
    Refused(Box<RefusedReply>),
    /// It can no longer be proved whether the request ran; unless the request is repeated, the
    /// caller gets the outcome `Unknown`.
    Broken(BrokenReply),
    /// Answers [`PeerOrder::Revoke`](crate::PeerOrder::Revoke).
    Revoked(RevokeReply),
    /// Answers [`PeerOrder::Pull`](crate::PeerOrder::Pull),
    /// [`PeerOrder::Offer`](crate::PeerOrder::Offer) and
    /// [`PeerOrder::Update`](crate::PeerOrder::Update).
    Configuration(ConfigurationReply),
    /// Answers [`PeerOrder::Demand`](crate::PeerOrder::Demand).
    Grant(TokenGrant),
}

/// Introduces an agent to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WelcomeReply {
    /// The agent's current incarnation; its statements about requests apply to it only.
    pub incarnation: Incarnation,
    /// The agent's clock at the time of the reply.
    pub clock: TimePoint,
    /// The revision that the agent has in force.
    pub revision: Revision,
    /// What the agent's backend server offers.
    pub offer: BackendOffer,
    /// The agent's load.
    pub load: LoadReport,
}

/// What a backend server offers, and where it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendOffer {
    /// The backend server.
    pub backend: BackendId,
    /// The VM on which it runs.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// What the backend server serves.
    pub kind: OfferKind,
}

/// What a peer serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OfferKind {
    /// A model.
    Model(ModelId),
    /// A plain HTTP service.
    Service(ServiceId),
    /// Nothing: the peer is an entry and has no backend server.
    Entry,
}

/// An agent's load at the time of a reply.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the backend server is processing.
    pub running: u32,
    /// Number of requests queued at the agent.
    pub queued: u32,
    /// Estimated work of the queued requests.
    pub queued_cost: TokenCount,
    /// Maximum number of requests that the backend server processes concurrently.
    pub concurrency: u32,
    /// Whether the agent is leaving and accepts no new requests.
    pub leaving: bool,
}

/// The head of a backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The id of the request.
    pub id: RequestId,
    /// The agent's current incarnation.
    pub incarnation: Incarnation,
    /// The revision that the agent has in force.
    pub revision: Revision,
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub fields: Vec<HttpField>,
    /// Time that the request spent queued at the agent.
    pub waited: TimeSpan,
    /// The agent's load.
    pub load: LoadReport,
}

/// The end of a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEnd {
    /// The id of the request.
    pub id: RequestId,
    /// The agent's load.
    pub load: LoadReport,
}

/// Reports that a request was not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
pub struct RefusedReply {
    /// The id of the request.
    pub id: RequestId,
    /// The agent's current incarnation.
    pub incarnation: Incarnation,
    /// The revision that the agent has in force.
    pub revision: Revision,
    /// Why the request was not run.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<TimeSpan>,
    /// The configuration update to the agent's revision as JSON, if the sender's revision is older.
    pub configuration: Option<Bytes>,
    /// The agent's load.
    pub load: LoadReport,
}

/// Reports that it cannot be proved whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenReply {
    /// The id of the request.
    pub id: RequestId,
    /// The agent's current incarnation.
    pub incarnation: Incarnation,
    /// Why it cannot be proved.
    pub reason: UnknownReason,
    /// The agent's load.
    pub load: LoadReport,
}

/// Reports the state of a revoked request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeReply {
    /// The id of the request.
    pub id: RequestId,
    /// The agent's current incarnation; the reply proves nothing about requests sent to an
    /// earlier one.
    pub incarnation: Incarnation,
    /// What the agent knows about the request.
    pub verdict: RevokeVerdict,
}

/// What an agent knows about a revoked request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RevokeVerdict {
    /// It was not started in this incarnation and will not be.
    NeverStarted,
    /// It was started and may still be running.
    Started,
    /// It was started and its answer has ended.
    Finished,
    /// It was not started here, but it cannot be proved that the call did not run.
    Unproved(UnknownReason),
    /// It is so old that its state is no longer known.
    Forgotten,
    /// It was sent to a different incarnation of the agent.
    OtherIncarnation,
}

/// The sender's revisions, and a configuration or planned stops newer than the receiver's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationReply {
    /// The revision that the sender has in force.
    pub revision: Revision,
    /// The configuration update to that revision as JSON, if the receiver's revision is older.
    pub configuration: Option<Bytes>,
    /// The sender's revision of the planned stops.
    pub stops: Revision,
    /// The planned stops as JSON, if the receiver's are older.
    pub stop_list: Option<Bytes>,
}
