//! Why a process cannot start or go on.

use std::io;

use celerycrank_process::CounterFault;

/// Why a process cannot start or go on.
#[derive(Debug, displaydoc::Display)]
pub enum DirectFault {
    /// cannot listen for callers: {0}
    Listen(io::Error),
    /// cannot listen for the balancer's probes: {0}
    Probe(io::Error),
    /// cannot listen for operators: {0}
    Admin(io::Error),
    /// cannot listen for peers: {0}
    Peer(io::Error),
    /// cannot catch signals: {0}
    Signal(io::Error),
    /// {0}
    Counter(CounterFault),
}

impl std::error::Error for DirectFault {}

impl From<CounterFault> for DirectFault {
    fn from(fault: CounterFault) -> Self {
        Self::Counter(fault)
    }
}
