//! Datagrams from entries and from the agents of other ranks.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_rt::time::interval;
use celerycrank_groups::{MemberIndex, RankMessage};
use celerycrank_types::GroupId;
use tokio::select;

use super::{load::subscribe, output::apply_outputs, state::AgentState};
use crate::message::{MAX_DATAGRAM, PeerMessage};

/// Interval between hello messages to other agents.
const HELLO_INTERVAL: Duration = Duration::from_millis(700);

/// Handles datagrams and sends periodic hello messages to the agents of other ranks until the
/// future is dropped.
pub(crate) async fn serve_peers(state: Rc<AgentState>) {
    let mut ticks = interval(HELLO_INTERVAL);
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        select! {
            _ = ticks.tick() => send_hellos(&state),
            received = state.socket.recv_from(&mut buffer) => {
                let Ok((length, sender)) = received else {
                    continue;
                };
                match PeerMessage::decode(&buffer[..length]) {
                    Some(PeerMessage::Subscribe) => subscribe(&state, sender),
                    Some(PeerMessage::Rank { group, from, message }) => {
                        handle_rank_message(&state, sender, &group, from, &message);
                    }
                    Some(PeerMessage::Load(_)) | None => {}
                }
            }
        }
    }
}

/// Sends a hello message to each agent of the group or, while some of them are unknown, to each
/// agent of the whole service.
fn send_hellos(state: &AgentState) {
    let agent = state.agent.borrow();
    let (Some(hello), Some(place)) = (agent.hello(), agent.place()) else {
        return;
    };
    let datagram = PeerMessage::Rank {
        group: place.group.clone(),
        from: place.rank,
        message: hello,
    };
    let datagram = datagram.encode();
    let peers = state.peers.borrow();
    let is_complete = peers.len() + 1 >= usize::from(place.size);
    let port = state.settings.peer.port();
    let targets = if is_complete {
        peers.values().copied().collect::<Vec<_>>()
    } else {
        let candidate_ips = state.candidate_ips.borrow();
        let others = candidate_ips
            .iter()
            .filter(|ip| !is_own_address(state, **ip));
        others.map(|ip| SocketAddr::new(*ip, port)).collect()
    };
    for target in targets {
        if let Err(error) = state.socket.try_send_to(&datagram, target) {
            tracing::debug!(%target, fault = %error, "cannot send a hello message");
        }
    }
}

fn is_own_address(state: &AgentState, ip: IpAddr) -> bool {
    state.settings.peer.ip() == ip
}

fn handle_rank_message(
    state: &Rc<AgentState>,
    sender: SocketAddr,
    group: &GroupId,
    from: MemberIndex,
    message: &RankMessage,
) {
    let place = state.agent.borrow().place().cloned();
    let is_of_group = place.is_some_and(|place| place.group == *group && place.rank != from);
    if !is_of_group {
        return;
    }
    let known = state.peers.borrow_mut().insert(from, sender);
    if known != Some(sender) {
        tracing::info!(%group, rank = %from, address = %sender, "agent of another rank");
    }
    let now = state.clock.now();
    let outputs = state.agent.borrow_mut().on_message(from, message, now);
    apply_outputs(state, outputs);
}
