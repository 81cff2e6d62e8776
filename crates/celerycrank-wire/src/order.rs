//! What one process asks of another.

use std::{borrow::Cow, sync::Arc};

use bytes::Bytes;
use celerycrank_config::{PriorityClass, RepeatRule};
use celerycrank_shares::DemandReport;
use celerycrank_types::{
    AccountId, EntryId, Incarnation, RequestId, Revision, ShareWeight, TimePoint, TokenCount, VmId,
};
use serde::{Deserialize, Serialize};

/// The first message of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerOrder<'order> {
    /// Asks who the peer is; sent once a connection.
    Hello(HelloOrder),
    /// Asks an agent to run a request.
    Run(Cow<'order, RunOrder>),
    /// Asks an agent never to start a request, and whether it did.
    Revoke(RevokeOrder),
    /// Asks for the configuration that the peer has in force.
    Pull(PullOrder),
    /// Names the revision that a watcher has in force.
    Offer(OfferOrder),
    /// Sends what is newer than the peer's revision.
    Update(UpdateOrder),
    /// Asks an account's home for tokens under the account's rate cap.
    Demand(DemandReport),
}

/// Introduces an entry to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloOrder {
    /// The entry that connected.
    pub entry: EntryId,
    /// The revision that the entry has in force.
    pub revision: Revision,
}

/// A whole request; an agent starts nothing before it has decoded this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
pub struct RunOrder {
    /// The request's id, echoed by every hop.
    pub id: RequestId,
    /// The revision under which the entry admitted the request.
    pub revision: Revision,
    /// Who is billed.
    pub account: AccountId,
    /// The account's part of contended capacity.
    pub share: ShareWeight,
    /// Which requests go first.
    pub priority: PriorityClass,
    /// Work that the request is estimated to need.
    pub cost: TokenCount,
    /// Number of this sending of the request, from 1.
    pub attempt: u32,
    /// The agent's life to which the order is sent; another one refuses it.
    pub agent: Incarnation,
    /// When the request must have started, on the agent's clock.
    pub start_by: TimePoint,
    /// Whether the call may be started again.
    pub repeat: RepeatRule,
    /// The caller's idempotency key, if the call must be claimed before it starts.
    pub key: Option<Arc<str>>,
    /// Method, path and headers.
    pub head: RequestHead,
    /// The whole body.
    pub body: Bytes,
}

/// Method, path and headers of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// The HTTP method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// End-to-end headers; those of a single hop were removed.
    pub fields: Vec<HttpField>,
}

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpField {
    /// The header's name in lower case.
    pub name: Arc<str>,
    /// The header's value, not necessarily text.
    pub value: Bytes,
}

/// Asks whether a request was started, and forbids a later start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeOrder {
    /// The request to revoke.
    pub id: RequestId,
    /// Number of the sending to revoke.
    pub attempt: u32,
    /// The agent's life to which it was sent.
    pub agent: Incarnation,
    /// When it must have started, on that agent's clock.
    pub start_by: TimePoint,
}

/// Asks for a configuration newer than the sender's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullOrder {
    /// The revision that the sender has in force.
    pub revision: Revision,
    /// The revision of the planned stops that the sender knows.
    pub stops: Revision,
}

/// Names the revision that a watcher of the key-value service has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferOrder {
    /// The watcher.
    pub watcher: VmId,
    /// The revision that it has in force.
    pub revision: Revision,
    /// The revision of the planned stops that it knows.
    pub stops: Revision,
}

/// Sends what is newer than the peer's revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateOrder {
    /// The watcher.
    pub watcher: VmId,
    /// How many entries watch for the peer's failure domain.
    pub watchers: u8,
    /// The update of the configuration as JSON, if the peer's is older.
    pub update: Option<Bytes>,
    /// The planned stops as JSON, if the peer's are older.
    pub stops: Option<Bytes>,
}
