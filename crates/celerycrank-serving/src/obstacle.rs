//! Decides whether a backend server may be sent requests, and why not.

use celerycrank_types::TimeSpan;

/// Why a backend server is not sent requests.
///
/// The obstacles that no request overcomes come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum SendObstacle {
    /// it has said in an answer that it is shutting down
    Leaving,
    /// it is shutting down
    Draining,
    /// another process answers at its address
    Misdirected,
    /// its registration was removed
    Removed,
    /// its failure domain is evacuated
    Evacuated,
    /// it wants no requests for a time
    Paused,
    /// it is cold, and this entry has sent its share of the requests that it takes
    Cold,
    /// its registration was removed a moment ago
    RemovedRecently,
    /// another backend server registered later with its address
    Superseded,
    /// it was unreachable or refused a request a moment ago
    BackingOff,
}

impl SendObstacle {
    /// Whether it may still be sent requests if no backend server without an obstacle is left.
    #[must_use]
    pub const fn allows_last_resort(self) -> bool {
        match self {
            Self::Leaving
            | Self::Draining
            | Self::Misdirected
            | Self::Removed
            | Self::Evacuated
            | Self::Paused
            | Self::Cold => false,
            Self::RemovedRecently | Self::Superseded | Self::BackingOff => true,
        }
    }
}

/// Why no backend server of a service can be chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceObstacle {
    /// The cold backend servers take no more requests of this entry now, and there is no other one.
    Cold {
        /// The time until one of them takes a request.
        retry_after: TimeSpan,
    },
    /// The backend servers want no requests for a time.
    Paused {
        /// The time until one of them takes requests again.
        retry_after: TimeSpan,
    },
    /// Every backend server that could be chosen is in an evacuated failure domain.
    Evacuated,
    /// The backend servers have said that they are shutting down.
    Leaving,
    /// There is no backend server that could be chosen.
    NoBackend,
}
