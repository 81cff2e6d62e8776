//! Datagrams from entries and from the agents of other ranks.

use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_rt::time::{Instant, sleep_until};
use celerycrank_groups::{MemberIndex, RankAgent, RankMessage};
use celerycrank_types::GroupId;
use tokio::select;

use super::{
    load::{list_subscribers, subscribe},
    output::apply_outputs,
    relay::forward,
    state::AgentState,
};
use crate::message::{MAX_DATAGRAM, PeerMessage};

/// The rank whose agent leads its group.
const LEADER_RANK: MemberIndex = MemberIndex(0);

/// Interval between hello messages to the same agent.
const HELLO_INTERVAL: Duration = Duration::from_millis(700);

/// Number of parts in which the leader sends hello messages, so that they do not delay the messages
/// of a map change.
pub(super) const HELLO_PARTS: u32 = 7;

/// Handles datagrams and sends periodic hello messages until the future is dropped.
pub(crate) async fn serve_peers(state: Rc<AgentState>) {
    let mut next_hello = Instant::now();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        select! {
            () = sleep_until(next_hello) => next_hello = Instant::now() + send_hellos(&state),
            received = state.socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => handle_datagram(&state, sender, &buffer[..length]),
                Err(error) => {
                    state.metrics.datagrams_failed.inc();
                    tracing::info!(fault = %error, "cannot receive a datagram");
                }
            }
        }
    }
}

fn handle_datagram(state: &Rc<AgentState>, sender: SocketAddr, bytes: &[u8]) {
    match PeerMessage::decode(bytes) {
        Some(PeerMessage::Subscribe) => subscribe(state, sender),
        Some(PeerMessage::AskEntries) => {
            subscribe(state, sender);
            let answer = PeerMessage::Entries(list_subscribers(state));
            state.send_datagram(&answer.encode(), sender);
        }
        Some(PeerMessage::Relay { targets, datagram }) => {
            forward(state, sender, &targets, datagram.clone());
            handle_relayed(state, sender, &datagram);
        }
        Some(PeerMessage::Relayed { origin, datagram }) => {
            handle_relayed(state, origin, &datagram);
        }
        Some(message) => handle_message(state, sender, &message),
        None => state.metrics.datagrams_unreadable.inc(),
    }
}

/// Handles a datagram that another agent has forwarded; what it holds is not forwarded again.
fn handle_relayed(state: &Rc<AgentState>, origin: SocketAddr, bytes: &[u8]) {
    match PeerMessage::decode(bytes) {
        Some(message) => handle_message(state, origin, &message),
        None => state.metrics.datagrams_unreadable.inc(),
    }
}

fn handle_message(state: &Rc<AgentState>, sender: SocketAddr, message: &PeerMessage) {
    if let PeerMessage::Rank {
        group,
        from,
        message,
    } = message
    {
        handle_rank_message(state, sender, group, *from, message);
    }
}

/// Sends hello messages: the leader to a part of the other agents, and any other agent to the
/// leader, so that the number of messages grows with the size of the group and not its square.
///
/// Returns the time until the next ones are due.
fn send_hellos(state: &AgentState) -> Duration {
    let agent = state.agent.borrow();
    let Some(datagram) = encode_hello(&agent) else {
        return HELLO_INTERVAL;
    };
    if !agent.is_lead() {
        if let Some(leader) = state.peers.borrow().get(&LEADER_RANK) {
            state.send_datagram(&datagram, *leader);
        }
        return HELLO_INTERVAL;
    }
    let part = state.next_hello_part();
    if part == 0 {
        begin_hello_round(state, &agent);
    }
    let mut targets = known_agents(state);
    if state.is_searching.get() {
        targets.extend(candidate_addresses(state));
    }
    for target in targets {
        if hello_part(target) == part {
            state.send_datagram(&datagram, target);
        }
    }
    HELLO_INTERVAL / HELLO_PARTS
}

/// Decides whether the leader searches for agents in the next round of hello messages.
fn begin_hello_round(state: &AgentState, agent: &RankAgent) {
    let unreachable = agent.unreachable_ranks(state.clock.now());
    state.record_unreachable(&unreachable);
    let mut backoff = state.search_backoff.borrow_mut();
    let is_searching = backoff.begin_round(unreachable.is_empty());
    state.is_searching.set(is_searching);
}

/// Sends a hello message of the leader to every VM at which an agent of its group may run.
///
/// The agents find the leader by its message.
pub(super) fn search_agents(state: &AgentState) {
    let agent = state.agent.borrow();
    let datagram = encode_hello(&agent).filter(|_| agent.is_lead());
    if let Some(datagram) = datagram {
        for target in candidate_addresses(state) {
            state.send_datagram(&datagram, target);
        }
    }
}

fn encode_hello(agent: &RankAgent) -> Option<Rc<[u8]>> {
    let (hello, place) = (agent.hello()?, agent.place()?);
    let datagram = PeerMessage::Rank {
        group: place.group.clone(),
        from: place.rank,
        message: hello,
    };
    Some(datagram.encode())
}

/// The addresses of the group's other agents, as far as they are known.
fn known_agents(state: &AgentState) -> HashSet<SocketAddr> {
    state.peers.borrow().values().copied().collect()
}

/// The addresses at which agents of the service may run, except the own one.
fn candidate_addresses(state: &AgentState) -> HashSet<SocketAddr> {
    let port = state.settings.peer.port();
    let candidate_ips = state.candidate_ips.borrow();
    let others = candidate_ips
        .iter()
        .filter(|ip| !is_own_address(state, **ip));
    others.map(|ip| SocketAddr::new(*ip, port)).collect()
}

/// The part of the agents to which an address belongs.
fn hello_part(target: SocketAddr) -> u32 {
    let number = match target.ip() {
        IpAddr::V4(ip) => u32::from(ip),
        IpAddr::V6(ip) => ip.octets().iter().map(|octet| u32::from(*octet)).sum(),
    };
    number % HELLO_PARTS
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
        if from == LEADER_RANK
            && let Some(datagram) = encode_hello(&state.agent.borrow())
        {
            state.send_datagram(&datagram, sender);
        }
    }
    let now = state.clock.now();
    let outputs = state.agent.borrow_mut().on_message(from, message, now);
    apply_outputs(state, outputs);
}
