//! Network traffic of control messages.

use serde::Serialize;

/// Header bytes per message: IP, UDP, QUIC packet and frame.
const HEADER_BYTES: usize = 72;

/// Bytes of control messages sent and received by each node.
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

    /// Counts a message for its sender and its receiver.
    pub(super) fn record<T: Serialize>(&mut self, from: usize, to: usize, message: &T) {
        let body = postcard::to_stdvec(message).expect("the message can be serialized");
        for node in [from, to] {
            self.bytes[node] += body.len() + HEADER_BYTES;
        }
    }

    /// Returns the bytes per second of the average node and of the busiest node.
    pub(super) fn rates(&self, seconds: f64) -> (f64, f64) {
        let total: usize = self.bytes.iter().sum();
        let busiest = self.bytes.iter().max().copied().unwrap_or(0);
        let mean = total as f64 / self.bytes.len() as f64;
        (mean / seconds, busiest as f64 / seconds)
    }
}
