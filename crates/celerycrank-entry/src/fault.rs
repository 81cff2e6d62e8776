//! Why an entry cannot start.

use std::io;

use celerycrank_link::LinkFault;
use celerycrank_process::{CounterFault, SourceFault};

/// Why an entry cannot start.
#[derive(Debug, displaydoc::Display)]
pub enum EntryFault {
    /// {0}
    Link(LinkFault),
    /// {0}
    Source(SourceFault),
    /// {0}
    Counter(CounterFault),
    /// cannot listen for callers: {0}
    Listen(io::Error),
    /// cannot listen for the admin pages: {0}
    Admin(io::Error),
    /// cannot catch signals: {0}
    Signal(io::Error),
}

impl std::error::Error for EntryFault {}

impl From<LinkFault> for EntryFault {
    fn from(fault: LinkFault) -> Self {
        Self::Link(fault)
    }
}

impl From<SourceFault> for EntryFault {
    fn from(fault: SourceFault) -> Self {
        Self::Source(fault)
    }
}

impl From<CounterFault> for EntryFault {
    fn from(fault: CounterFault) -> Self {
        Self::Counter(fault)
    }
}
