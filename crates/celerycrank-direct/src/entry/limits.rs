//! Shares the limits that backend servers name between entries.
//!
//! An entry uses its share of a limit, which depends on its place among all entries. Agents know
//! the entries, since these subscribe to their reports. Entries notify one another when a limit
//! begins or ends, so that one whose share is zero knows of the end too.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::{IpAddr, SocketAddr},
};

use celerycrank_serving::{EntryList, LimitNotice};
use celerycrank_types::{BackendId, RequestRate};
use rand::seq::IteratorRandom;
use tokio::{net::UdpSocket, sync::Notify};

use super::state::EntryState;
use crate::message::PeerMessage;

/// Number of agents that are asked for the entries at the same time while no recent list is known,
/// since datagrams may be lost.
const MAX_ASKED_AGENTS: usize = 3;

/// What an entry needs to share limits.
#[derive(Debug, Default)]
pub(crate) struct LimitSharing {
    /// Limits about which the other entries have to be notified; `None` for one that has ended.
    pending: RefCell<HashMap<BackendId, Option<RequestRate>>>,
    /// Wakes the task that sends datagrams.
    pub(super) has_pending: Notify,
    entries: RefCell<EntryList>,
}

impl LimitSharing {
    /// Has the entries asked for at once, since something has to be shared.
    pub(super) fn ask_soon(&self) {
        self.has_pending.notify_one();
    }
}

/// Records the limit that a backend server names in an answer, or that it names none.
pub(super) fn note_limit(state: &EntryState, backend: &BackendId, notice: LimitNotice) {
    let known = state.limit_of(backend);
    let is_announced = state.backends.borrow_mut().note_limit(backend, notice);
    if state.limit_of(backend) != known {
        log_limit(backend, notice.rate);
    }
    if is_announced {
        let mut pending = state.limits.pending.borrow_mut();
        pending.insert(backend.clone(), notice.rate);
        state.limits.has_pending.notify_one();
    }
}

/// Records a notice of another entry about a limit.
pub(super) fn note_announced_limit(
    state: &EntryState,
    backend: &BackendId,
    rate: Option<RequestRate>,
) {
    let now = state.clock.now();
    let mut backends = state.backends.borrow_mut();
    if backends.note_announced_limit(backend, rate, now) {
        log_limit(backend, rate);
    }
}

fn log_limit(backend: &BackendId, rate: Option<RequestRate>) {
    if let Some(limit) = rate {
        tracing::info!(%backend, %limit, "backend server names a limit");
    } else {
        tracing::info!(%backend, "backend server names no limit any more");
    }
}

/// Asks agents for the entries, if a limit has to be shared.
pub(super) async fn ask_entries(
    state: &EntryState,
    socket: &UdpSocket,
    agents: &HashMap<IpAddr, BackendId>,
) {
    let is_needed = {
        let backends = state.backends.borrow();
        let mut pending = state.limits.pending.borrow_mut();
        pending.retain(|backend, _| backends.registration(backend).is_some());
        !pending.is_empty() || backends.needs_place()
    };
    if !is_needed {
        update_place(state);
        return;
    }
    let port = state.settings().peer.port();
    let is_recent = state.limits.entries.borrow().is_recent(state.clock.now());
    let count = if is_recent { 1 } else { MAX_ASKED_AGENTS };
    let asked = {
        let mut random = state.random.borrow_mut();
        agents.keys().choose_multiple(&mut *random, count)
    };
    let datagram = PeerMessage::AskEntries.encode();
    for address in asked {
        send(state, socket, &datagram, SocketAddr::new(*address, port)).await;
    }
    update_place(state);
}

/// Takes over a list of all entries from an agent.
pub(super) fn note_entries(state: &EntryState, entries: Vec<SocketAddr>) {
    let now = state.clock.now();
    if state.limits.entries.borrow_mut().note(entries, now) {
        update_place(state);
    }
}

/// Notifies the other entries of limits that begin, go on or end.
pub(super) async fn announce_limits(state: &EntryState, socket: &UdpSocket) {
    let own = state.settings().peer;
    let others = state.limits.entries.borrow().entries().to_vec();
    if others.is_empty() {
        return;
    }
    let pending = std::mem::take(&mut *state.limits.pending.borrow_mut());
    for (backend, rate) in pending {
        let datagram = PeerMessage::Limit { backend, rate }.encode();
        for entry in others.iter().filter(|entry| **entry != own) {
            send(state, socket, &datagram, *entry).await;
        }
    }
}

async fn send(state: &EntryState, socket: &UdpSocket, datagram: &[u8], target: SocketAddr) {
    if let Err(error) = socket.send_to(datagram, target).await {
        state.metrics.datagrams_failed.inc();
        tracing::info!(%target, fault = %error, "cannot send a datagram about limits");
    }
}

/// Computes the place of this entry among all entries.
fn update_place(state: &EntryState) {
    let own = state.settings().peer;
    let now = state.clock.now();
    let entries = state.limits.entries.borrow();
    let mut backends = state.backends.borrow_mut();
    backends.set_place(entries.place(own), now);
    backends.set_cold_place(entries.certain_place(own, now), now);
}
