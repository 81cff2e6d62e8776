//! Sends a large datagram to many agents by way of some of them.
//!
//! The leader of a large group has one slow link. Instead of sending a map to every rank, it sends
//! it to one agent for each square root of the ranks, and each of these forwards it to the others
//! of its part. Which agents relay is drawn at random each time: a message that was not answered is
//! sent again, by then through other agents.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use rand::seq::SliceRandom;

use super::state::AgentState;
use crate::message::PeerMessage;

/// Number of targets from which a datagram is relayed.
const MIN_RELAYED_TARGETS: usize = 24;

/// Size of a datagram from which it is relayed, in bytes; the addresses of the targets take as
/// much in a smaller one.
const MIN_RELAYED_BYTES: usize = 200;

/// Maximum number of agents to which one agent forwards a datagram.
const MAX_FORWARDED: usize = 256;

/// Sends a datagram to all of these agents.
pub(crate) fn send_to_all(state: &AgentState, mut targets: Vec<SocketAddr>, datagram: &Rc<[u8]>) {
    if targets.len() < MIN_RELAYED_TARGETS || datagram.len() < MIN_RELAYED_BYTES {
        for target in targets {
            state.send_datagram(datagram, target);
        }
        return;
    }
    targets.shuffle(&mut *state.random.borrow_mut());
    let part_size = targets.len().isqrt().min(MAX_FORWARDED);
    for part in targets.chunks(part_size) {
        let relay = PeerMessage::Relay {
            targets: part[1..].to_vec(),
            datagram: Bytes::copy_from_slice(datagram),
        };
        state.send_datagram(&relay.encode(), part[0]);
    }
}

/// Forwards a datagram on behalf of another agent.
pub(crate) fn forward(
    state: &AgentState,
    origin: SocketAddr,
    targets: &[SocketAddr],
    datagram: Bytes,
) {
    // No agent of this version asks for more.
    if targets.len() > MAX_FORWARDED {
        state.metrics.datagrams_unreadable.inc();
        return;
    }
    let relayed = PeerMessage::Relayed { origin, datagram };
    let relayed = relayed.encode();
    for target in targets {
        state.send_datagram(&relayed, *target);
    }
}
