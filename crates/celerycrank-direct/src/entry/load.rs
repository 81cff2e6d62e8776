//! Receives the load reports that agents send for their backend servers.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_rt::time::interval;
use celerycrank_serving::LoadReport;
use celerycrank_types::BackendId;
use tokio::{net::UdpSocket, select};

use super::state::EntryState;
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
                state.pool.close_expired(state.clock.now());
            }
            received = socket.recv_from(&mut buffer) => {
                let (length, sender) = match received {
                    Ok(received) => received,
                    Err(error) => {
                        tracing::info!(fault = %error, "cannot receive a load report");
                        continue;
                    }
                };
                if let Some(PeerMessage::Load(report)) = PeerMessage::decode(&buffer[..length]) {
                    handle_report(&state, &agents, sender, report);
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
    for address in agents.keys() {
        let sent = socket
            .send_to(&message, SocketAddr::new(*address, port))
            .await;
        if let Err(error) = sent {
            log_send_error(*address, &error);
        }
    }
}

fn log_send_error(address: IpAddr, error: &io::Error) {
    tracing::debug!(%address, fault = %error, "cannot subscribe to the load reports of an agent");
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
    if let Some(known) = state.backends.borrow_mut().find_mut(backend) {
        known.load.observe(report, now);
    }
}
