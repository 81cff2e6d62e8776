//! Registrations of backend servers in the key-value service.

use std::net::SocketAddr;

use celerycrank_types::{BackendId, DomainId, ServiceId, TimeSpan};

use crate::BackendIncarnation;

/// The state that a backend server reports in its registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RegistrationState {
    /// Accepts new requests.
    Ready,
    /// Is shutting down and accepts no new requests.
    Draining,
}

/// The registration of a backend server in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRegistration {
    /// The name of the backend server; a later incarnation may reuse it.
    pub backend: BackendId,
    /// The service that it offers.
    pub service: ServiceId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// Maximum number of requests processed at the same time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: RegistrationState,
    /// Identifies one incarnation; it changes whenever the backend server restarts.
    pub incarnation: u64,
    /// The time for which it is still cold when an entry receives this registration.
    pub warm_up_remaining: TimeSpan,
}

impl BackendRegistration {
    /// Whether another registration is of the same incarnation.
    pub(crate) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.backend == other.backend
            && self.service == other.service
    }

    /// The incarnation that it is of.
    #[must_use]
    pub fn to_incarnation(&self) -> BackendIncarnation {
        BackendIncarnation {
            service: self.service.clone(),
            backend: self.backend.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// A change to the registrations in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistrationChange {
    /// A registration was written.
    Written(BackendRegistration),
    /// A registration was removed or can no longer be parsed.
    Removed(BackendId),
}
