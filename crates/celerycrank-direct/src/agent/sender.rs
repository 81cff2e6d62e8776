//! Queue of datagrams that wait until the link or the socket can take them.

use std::{cell::RefCell, collections::VecDeque, io, net::SocketAddr, rc::Rc};

use actix_rt::time::sleep;
use celerycrank_groups::LinkPacer;
use celerycrank_types::{LinkRate, TimePoint, TimeSpan};
use tokio::{net::UdpSocket, sync::Notify};

use super::{metrics::AgentMetrics, state::AgentState};

/// Maximum number of datagrams that wait; enough for a message to every VM of a service and a load
/// report to every entry, at several times the size of the largest planned deployment.
const MAX_QUEUED: usize = 8_192;

/// A datagram and its target.
type QueuedDatagram = (Rc<[u8]>, SocketAddr);

/// Sends datagrams in order, as fast as the link takes them.
#[derive(Debug)]
pub(crate) struct DatagramQueue {
    queued: RefCell<VecDeque<QueuedDatagram>>,
    /// `None` if the bandwidth of the link is not known.
    pacer: Option<RefCell<LinkPacer>>,
    wake: Notify,
}

impl DatagramQueue {
    pub(crate) fn new(link: Option<LinkRate>, now: TimePoint) -> Self {
        Self {
            queued: RefCell::default(),
            pacer: link.map(|link| RefCell::new(LinkPacer::new(link, now))),
            wake: Notify::new(),
        }
    }

    /// Sends a datagram now, or appends it to the queue.
    pub(crate) fn send(
        &self,
        socket: &UdpSocket,
        metrics: &AgentMetrics,
        datagram: &Rc<[u8]>,
        target: SocketAddr,
        now: TimePoint,
    ) {
        let mut queued = self.queued.borrow_mut();
        if queued.is_empty() && self.take(datagram, now).is_ok() {
            match socket.try_send_to(datagram, target) {
                Ok(_) => return,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    record_failure(metrics, target, &error);
                    return;
                }
            }
        }
        if queued.len() >= MAX_QUEUED {
            record_drop(metrics);
            return;
        }
        metrics.datagrams_queued.inc();
        queued.push_back((Rc::clone(datagram), target));
        self.wake.notify_one();
    }

    /// Takes the bytes of a datagram from the link, or returns how long to wait for them.
    fn take(&self, datagram: &Rc<[u8]>, now: TimePoint) -> Result<(), TimeSpan> {
        match &self.pacer {
            Some(pacer) => pacer.borrow_mut().take(datagram.len(), now),
            None => Ok(()),
        }
    }

    /// Removes the oldest datagram, after it was sent or could not be sent.
    fn pop(&self) {
        self.queued.borrow_mut().pop_front();
    }

    fn first(&self) -> Option<QueuedDatagram> {
        self.queued.borrow().front().cloned()
    }
}

/// Sends queued datagrams as the link takes them, until the future is dropped.
pub(crate) async fn send_queued(state: Rc<AgentState>) {
    let queue = &state.datagrams;
    loop {
        let Some((datagram, target)) = queue.first() else {
            queue.wake.notified().await;
            continue;
        };
        if let Err(wait) = queue.take(&datagram, state.clock.now()) {
            sleep(wait.as_duration()).await;
            continue;
        }
        if let Err(error) = state.socket.send_to(&datagram, target).await {
            record_failure(&state.metrics, target, &error);
        }
        queue.pop();
    }
}

/// Counts a datagram for which the queue had no room.
fn record_drop(metrics: &AgentMetrics) {
    metrics.datagrams_dropped.inc();
    let dropped = metrics.datagrams_dropped.get();
    // Logged ever more rarely, since it goes on until the link has caught up.
    if dropped.is_power_of_two() {
        tracing::warn!(
            dropped,
            limit = MAX_QUEUED,
            "too many datagrams wait; dropped"
        );
    }
}

fn record_failure(metrics: &AgentMetrics, target: SocketAddr, error: &io::Error) {
    metrics.datagrams_failed.inc();
    tracing::info!(%target, fault = %error, "cannot send a datagram");
}
