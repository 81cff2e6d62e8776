//! Datagrams exchanged between entries and agents.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use celerycrank_groups::{MemberIndex, RankMessage};
use celerycrank_serving::LoadReport;
use celerycrank_types::{BackendId, GroupId, RequestRate};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram that is sent or received, in bytes.
pub(crate) const MAX_DATAGRAM: usize = 64 << 10;

/// A datagram exchanged between entries and agents.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// An entry subscribes to the load reports of an agent.
    Subscribe,
    /// An agent reports the load of its backend server.
    Load(LoadReport),
    /// A message from the agent of one rank of a group to the agent of another rank.
    Rank {
        group: GroupId,
        /// The rank of the sender.
        from: MemberIndex,
        message: RankMessage,
    },
    /// An agent asks another one to forward a datagram to further agents, and to handle it.
    Relay {
        targets: Vec<SocketAddr>,
        datagram: Bytes,
    },
    /// A datagram that another agent has forwarded.
    Relayed { origin: SocketAddr, datagram: Bytes },
    /// An entry asks an agent for the addresses of all entries.
    AskEntries,
    /// An agent names the entries that subscribe to its reports, in the order of their addresses.
    Entries(Vec<SocketAddr>),
    /// An entry notifies others that a backend server names a limit, or that it names none any more.
    Limit {
        backend: BackendId,
        rate: Option<RequestRate>,
    },
}

impl PeerMessage {
    pub(crate) fn encode(&self) -> Rc<[u8]> {
        let bytes = postcard::to_stdvec(self).expect("plain fields encode into memory");
        bytes.into()
    }

    /// Decodes a datagram; returns `None` if it comes from another program or version.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
