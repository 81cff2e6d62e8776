//! Datagrams between entries and agents.

use celerycrank_groups::{MemberIndex, RankMessage};
use celerycrank_serving::LoadReport;
use celerycrank_types::GroupId;
use serde::{Deserialize, Serialize};

/// Largest datagram that is sent or read, in bytes.
pub(crate) const MAX_DATAGRAM: usize = 16 << 10;

/// A datagram between processes of the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// An entry asks an agent for its reports.
    Subscribe,
    /// An agent tells the load of the backend server beside it.
    Load(LoadReport),
    /// The agent beside one rank of a group speaks to that beside another.
    Rank {
        /// The group.
        group: GroupId,
        /// The rank of the sender.
        from: MemberIndex,
        /// What it says.
        message: RankMessage,
    },
}

impl PeerMessage {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain fields encode into memory")
    }

    /// Reads a datagram; nothing if it comes from another program or version.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
