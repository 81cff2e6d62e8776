//! Datagrams from entries and from the agents of other ranks.

use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_rt::time::interval;
use celerycrank_groups::{MemberIndex, RankAgent, RankMessage};
use celerycrank_types::GroupId;
use tokio::select;

use super::{load::subscribe, output::apply_outputs, state::AgentState};
use crate::message::{MAX_DATAGRAM, PeerMessage};

/// The rank whose agent leads its group.
const LEADER_RANK: MemberIndex = MemberIndex(0);

/// Interval between hello messages to other agents.
const HELLO_INTERVAL: Duration = Duration::from_millis(700);

/// Handles datagrams and sends periodic hello messages until the future is dropped.
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
                    Some(PeerMessage::Load(_)) => {}
                    None => state.metrics.datagrams_unreadable.inc(),
                }
            }
        }
    }
}

/// Sends a hello message: the leader to the agents of all ranks, and the other agents to the
/// leader, so that the number of messages grows with the size of the group and not its square.
///
/// While the leader has not heard from some rank recently, it also sends to every VM at which that
/// rank's agent may run. The others learn the leader's address from its message.
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
    for target in hello_targets(state, &agent) {
        state.send_datagram(&datagram, target);
    }
}

fn hello_targets(state: &AgentState, agent: &RankAgent) -> Vec<SocketAddr> {
    let peers = state.peers.borrow();
    if !agent.is_lead() {
        return peers.get(&LEADER_RANK).copied().into_iter().collect();
    }
    if agent.are_all_reachable(state.clock.now()) {
        return peers.values().copied().collect();
    }
    let port = state.settings.peer.port();
    let candidate_ips = state.candidate_ips.borrow();
    let candidates = candidate_ips.iter().map(|ip| SocketAddr::new(*ip, port));
    let targets = candidates.chain(peers.values().copied());
    let targets = targets.filter(|target| !is_own_address(state, target.ip()));
    targets.collect::<HashSet<_>>().into_iter().collect()
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
        tracing::debug!(%group, rank = %from, address = %sender, "agent of another rank");
        if from == LEADER_RANK {
            tracing::info!(%group, address = %sender, "agent of the first rank found");
            send_hellos(state);
        }
    }
    let now = state.clock.now();
    let outputs = state.agent.borrow_mut().on_message(from, message, now);
    apply_outputs(state, outputs);
}
