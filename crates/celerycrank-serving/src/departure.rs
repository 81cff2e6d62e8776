//! Backend servers that have said in an answer that they are shutting down.
//!
//! The load pattern: backend servers are replaced one after the other, and each ends some seconds
//! after it has said so. The key-value service lists it until then, or for longer if it is down.

use std::num::NonZeroUsize;

use celerycrank_types::BackendId;
use lru::LruCache;

use crate::BackendRegistration;

/// Maximum number of incarnations that are remembered; those that are listed are marked in the table
/// too.
const MAX_DEPARTURES: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// What is known of the end of an incarnation of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum IncarnationState {
    /// It has not said that it is shutting down.
    #[default]
    Staying,
    /// It has said in an answer that it is shutting down.
    Leaving,
}

/// The incarnations of backend servers that are shutting down.
///
/// It outlasts the entries of the table: the key-value service may list an incarnation again after
/// its registration was removed.
#[derive(Debug)]
pub(crate) struct DepartureSet {
    incarnations: LruCache<(BackendId, u64), ()>,
}

impl Default for DepartureSet {
    fn default() -> Self {
        Self {
            incarnations: LruCache::new(MAX_DEPARTURES),
        }
    }
}

impl DepartureSet {
    /// Records that an incarnation is shutting down; returns whether that was not known.
    pub(crate) fn note(&mut self, registration: &BackendRegistration) -> bool {
        let key = (registration.backend.clone(), registration.incarnation);
        self.incarnations.put(key, ()).is_none()
    }

    /// Whether an incarnation is shutting down.
    pub(crate) fn contains(&self, registration: &BackendRegistration) -> bool {
        if self.incarnations.is_empty() {
            return false;
        }
        let key = (registration.backend.clone(), registration.incarnation);
        self.incarnations.contains(&key)
    }
}
