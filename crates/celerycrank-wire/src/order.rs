//! Orders, which one process sends to another.
//!
//! A connection carries many streams, one for each order and its replies.

use std::{borrow::Cow, sync::Arc};

use bytes::Bytes;
use celerycrank_config::{PriorityClass, RepeatRule};
use celerycrank_shares::DemandReport;
use celerycrank_types::{
    AccountId, EntryId, Incarnation, RequestId, Revision, ShareWeight, TimePoint, TokenCount, VmId,
};
use serde::{Deserialize, Serialize};

/// An order, which is the first message of its stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerOrder<'order> {
    /// Introduces the sender and asks for the peer's identity; sent once per connection.
    Hello(HelloOrder),
    /// Asks an agent to run a request.
    Run(Cow<'order, RunOrder>),
    /// Forbids an agent to start a request, and asks whether it has started it.
    Revoke(RevokeOrder),
    /// Asks for the configuration that the peer has in force.
    Pull(PullOrder),
    /// Announces the revision that a watcher has in force.
    Offer(OfferOrder),
    /// Sends the configuration and planned stops that are newer than the peer's.
    Update(UpdateOrder),
    /// Asks the home of an account (the entry that grants its allowance) for tokens of the
    /// account's share and rate cap.
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

/// A complete request; an agent starts it only after decoding the whole message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
pub struct RunOrder {
    /// The id of the request, echoed by each hop.
    pub id: RequestId,
    /// The revision under which the entry admitted the request.
    pub revision: Revision,
    /// The client account that is billed.
    pub account: AccountId,
    /// The account's weight in the division of contended capacity.
    pub share: ShareWeight,
    /// Order in which requests are served when capacity is contended.
    pub priority: PriorityClass,
    /// Estimated work of the request.
    pub cost: TokenCount,
    /// Number of this attempt to send the request, from 1.
    pub attempt: u32,
    /// The agent's incarnation to which the order is sent; any other refuses it.
    pub agent: Incarnation,
    /// Time by which the request must have started, on the agent's clock.
    pub start_by: TimePoint,
    /// Whether the call may be started a second time.
    pub repeat: RepeatRule,
    /// The caller's idempotency key, if it must be claimed before the call starts.
    pub key: Option<Arc<str>>,
    /// Method, path and headers.
    pub head: RequestHead,
    /// The complete body.
    pub body: Bytes,
}

/// Method, path and headers of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// The HTTP method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// End-to-end headers; hop-by-hop headers have been removed.
    pub fields: Vec<HttpField>,
}

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpField {
    /// The header's name in lower case.
    pub name: Arc<str>,
    /// The header's value, which need not be valid UTF-8.
    pub value: Bytes,
}

/// Asks whether a request has started, and forbids a later start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeOrder {
    /// The request to revoke.
    pub id: RequestId,
    /// Number of the attempt to revoke.
    pub attempt: u32,
    /// The agent's incarnation to which the request was sent.
    pub agent: Incarnation,
    /// Time by which the request had to start, on that agent's clock.
    pub start_by: TimePoint,
}

/// Asks for a configuration newer than the sender's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullOrder {
    /// The revision that the sender has in force.
    pub revision: Revision,
    /// The sender's revision of the planned stops.
    pub stops: Revision,
}

/// Announces the revision that a watcher of the key-value service has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferOrder {
    /// The VM of the watcher.
    pub watcher: VmId,
    /// The revision that the watcher has in force.
    pub revision: Revision,
    /// The watcher's revision of the planned stops.
    pub stops: Revision,
}

/// Sends the configuration and planned stops that are newer than the peer's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateOrder {
    /// The VM of the watcher.
    pub watcher: VmId,
    /// Number of entries that act as watchers for the peer's failure domain.
    pub watchers: u8,
    /// The configuration update as JSON, if the peer's configuration is older.
    pub update: Option<Bytes>,
    /// The planned stops as JSON, if the peer's are older.
    pub stops: Option<Bytes>,
}
