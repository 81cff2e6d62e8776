//! Queue of datagrams that wait until the socket can take them.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc};

use tokio::{net::UdpSocket, sync::Notify};

use super::{metrics::AgentMetrics, state::AgentState};

/// Maximum number of datagrams that wait; enough for one message to every rank of a large group
/// besides load reports.
const MAX_QUEUED: usize = 2_048;

/// A datagram and its target.
type QueuedDatagram = (Rc<[u8]>, SocketAddr);

/// Sends datagrams in order and keeps those for which the socket's buffer has no room yet.
#[derive(Debug, Default)]
pub(crate) struct DatagramQueue {
    queued: RefCell<VecDeque<QueuedDatagram>>,
    wake: Notify,
}

impl DatagramQueue {
    /// Sends a datagram now, or appends it to the queue.
    pub(crate) fn send(
        &self,
        socket: &UdpSocket,
        metrics: &AgentMetrics,
        datagram: &Rc<[u8]>,
        target: SocketAddr,
    ) {
        let mut queued = self.queued.borrow_mut();
        if queued.is_empty() {
            match socket.try_send_to(datagram, target) {
                Ok(_) => return,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    record_failure(metrics, target, &error);
                    return;
                }
            }
        }
        if queued.len() >= MAX_QUEUED {
            metrics.datagrams_dropped.inc();
            // Logged at its start only: it lasts until the link has caught up.
            if metrics.datagrams_dropped.get().is_power_of_two() {
                let dropped = metrics.datagrams_dropped.get();
                tracing::warn!(
                    dropped,
                    limit = MAX_QUEUED,
                    "too many datagrams wait; dropped"
                );
            }
            return;
        }
        metrics.datagrams_queued.inc();
        queued.push_back((Rc::clone(datagram), target));
        self.wake.notify_one();
    }

    /// Removes the oldest datagram, after it was sent or could not be sent.
    fn pop(&self) {
        self.queued.borrow_mut().pop_front();
    }

    fn first(&self) -> Option<QueuedDatagram> {
        self.queued.borrow().front().cloned()
    }
}

/// Sends queued datagrams as the socket takes them, until the future is dropped.
pub(crate) async fn send_queued(state: Rc<AgentState>) {
    let queue = &state.datagrams;
    loop {
        let Some((datagram, target)) = queue.first() else {
            queue.wake.notified().await;
            continue;
        };
        if let Err(error) = state.socket.send_to(&datagram, target).await {
            record_failure(&state.metrics, target, &error);
        }
        queue.pop();
    }
}

fn record_failure(metrics: &AgentMetrics, target: SocketAddr, error: &std::io::Error) {
    metrics.datagrams_failed.inc();
    tracing::info!(%target, fault = %error, "cannot send a datagram");
}
