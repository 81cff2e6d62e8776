//! Why an agent cannot start.

use std::io;

use celerycrank_link::LinkFault;
use celerycrank_process::{CounterFault, SourceFault};

/// Why an agent cannot start.
#[derive(Debug, displaydoc::Display)]
pub enum AgentFault {
    /// {0}
    Link(LinkFault),
    /// {0}
    Source(SourceFault),
    /// {0}
    Counter(CounterFault),
    /// cannot listen for the admin pages: {0}
    Admin(io::Error),
    /// cannot catch signals: {0}
    Signal(io::Error),
}

impl std::error::Error for AgentFault {}

impl From<LinkFault> for AgentFault {
    fn from(fault: LinkFault) -> Self {
        Self::Link(fault)
    }
}

impl From<SourceFault> for AgentFault {
    fn from(fault: SourceFault) -> Self {
        Self::Source(fault)
    }
}

impl From<CounterFault> for AgentFault {
    fn from(fault: CounterFault) -> Self {
        Self::Counter(fault)
    }
}
