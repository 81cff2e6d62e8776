//! Bytes that control messages take on the wire.

use serde::Serialize;

/// Bytes of the headers round one message: IP, UDP, QUIC packet and frame.
const HEADER_BYTES: usize = 72;

/// Bytes of control messages that each node sent and received.
#[derive(Debug)]
pub(super) struct ControlTraffic {
    bytes: Vec<usize>,
}

impl ControlTraffic {
    pub(super) fn new(nodes: usize) -> Self {
        Self {
            bytes: vec![0; nodes],
        }
    }

    /// Counts a message at both of its ends.
    pub(super) fn record<T: Serialize>(&mut self, from: usize, to: usize, message: &T) {
        let body = postcard::to_stdvec(message).expect("a message can be encoded");
        for node in [from, to] {
            self.bytes[node] += body.len() + HEADER_BYTES;
        }
    }

    /// Bytes a second: the mean over the nodes, and the busiest node.
    pub(super) fn rates(&self, seconds: f64) -> (f64, f64) {
        let total: usize = self.bytes.iter().sum();
        let busiest = self.bytes.iter().max().copied().unwrap_or(0);
        let mean = total as f64 / self.bytes.len() as f64;
        (mean / seconds, busiest as f64 / seconds)
    }
}
