//! Receives the load reports that agents send for their backend servers.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_rt::time::interval;
use celerycrank_serving::{LoadReport, StabilityChange};
use celerycrank_types::BackendId;
use tokio::{net::UdpSocket, select};

use super::{
    admission::{log_end_of_contention, wake_waiting},
    departure::note_ended_pauses,
    limits::{announce_limits, ask_entries, note_announced_limit, note_entries},
    state::EntryState,
};
use crate::message::{MAX_DATAGRAM, PeerMessage};

/// Interval at which subscriptions to the agents' reports are renewed.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);

/// Receives load reports and keeps a subscription to every agent.
pub(crate) async fn receive_loads(state: Rc<EntryState>, socket: Rc<UdpSocket>) {
    let mut ticks = interval(SUBSCRIBE_INTERVAL);
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut agents = HashMap::new();
    loop {
        select! {
            _ = ticks.tick() => {
                agents = list_agents(&state);
                subscribe(&state, &socket, &agents).await;
                ask_entries(&state, &socket, &agents).await;
                announce_limits(&state, &socket).await;
                log_end_of_contention(&state);
                update_stability(&state);
                note_ended_pauses(&state);
                state.pool.close_expired(state.clock.now());
            }
            () = state.limits.has_pending.notified() => {
                ask_entries(&state, &socket, &agents).await;
                announce_limits(&state, &socket).await;
            }
            received = socket.recv_from(&mut buffer) => {
                let (length, sender) = match received {
                    Ok(received) => received,
                    Err(error) => {
                        state.metrics.datagrams_failed.inc();
                        tracing::info!(fault = %error, "cannot receive a load report");
                        continue;
                    }
                };
                match PeerMessage::decode(&buffer[..length]) {
                    Some(PeerMessage::Load(report)) => {
                        handle_report(&state, &agents, sender, report);
                    }
                    Some(PeerMessage::Entries(entries)) => {
                        note_entries(&state, entries);
                        announce_limits(&state, &socket).await;
                    }
                    Some(PeerMessage::Limit { backend, rate }) => {
                        note_announced_limit(&state, &backend, rate);
                    }
                    _ => state.metrics.datagrams_unreadable.inc(),
                }
            }
        }
    }
}

/// Returns the backend servers that have an agent, keyed by the address of their VM.
fn list_agents(state: &EntryState) -> HashMap<IpAddr, BackendId> {
    let Some(in_force) = state.in_force() else {
        return HashMap::new();
    };
    let backends = state.backends.borrow();
    let engines = in_force.engine_services.iter();
    let engines = engines.flat_map(|service| backends.of_service(service));
    engines
        .map(|it| {
            (
                it.registration.address.ip(),
                it.registration.backend.clone(),
            )
        })
        .collect()
}

async fn subscribe(state: &EntryState, socket: &UdpSocket, agents: &HashMap<IpAddr, BackendId>) {
    let message = PeerMessage::Subscribe.encode();
    let port = state.settings().peer.port();
    let mut failures = 0_u32;
    let mut last_error = None;
    for address in agents.keys() {
        let sent = socket
            .send_to(&message, SocketAddr::new(*address, port))
            .await;
        if let Err(error) = sent {
            state.metrics.datagrams_failed.inc();
            failures += 1;
            last_error = Some((address, error));
        }
    }
    // One line for all agents, since a lost link fails for each of them.
    if let Some((address, error)) = last_error {
        tracing::info!(failures, %address, fault = %error, "cannot subscribe to load reports");
    }
}

fn handle_report(
    state: &EntryState,
    agents: &HashMap<IpAddr, BackendId>,
    sender: SocketAddr,
    report: LoadReport,
) {
    let Some(backend) = agents.get(&sender.ip()) else {
        return;
    };
    let now = state.clock.now();
    let entries = report.entries;
    state.entry_count.borrow_mut().observe(entries, now);
    let service = {
        let mut backends = state.backends.borrow_mut();
        backends.observe_load(backend, report, now);
        let registration = backends.registration(backend);
        registration.map(|it| it.service.clone())
    };
    update_stability(state);
    if let Some(service) = service {
        wake_waiting(state, &service);
    }
}

/// Logs the lock-step groups that have become unstable or stable.
fn update_stability(state: &EntryState) {
    let now = state.clock.now();
    let mut backends = state.backends.borrow_mut();
    let changes = backends.take_stability_changes(now);
    let unstable = i64::try_from(backends.unstable_groups(now)).unwrap_or(i64::MAX);
    state.metrics.unstable_groups.set(unstable);
    for change in changes {
        let StabilityChange {
            service,
            group,
            closures,
            ..
        } = &change;
        if change.is_unstable {
            tracing::warn!(%service, %group, closures, "group closes repeatedly; requests go to other groups first");
        } else {
            tracing::info!(%service, %group, closures, "group has stayed open and is used as before");
        }
    }
    state.prompt_cache.note_load(&state.backends, now);
}
