//! What has become of one incarnation of a backend server, as far as registrations and answers show.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::BackendIncarnation;

/// Maximum number of replaced incarnations that are remembered.
const MAX_REPLACED: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// What has become of one incarnation of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationFate {
    /// It is registered as ready and has not said that it is shutting down.
    Running,
    /// It is shutting down, its registration was removed, or nothing is known of it.
    Departing,
    /// Another process has taken its address although it was expected to keep running.
    Replaced,
}

/// The incarnations whose address another process has taken although they were expected to keep
/// running.
///
/// It outlasts the entries of the table, in which the next incarnation takes the place of the
/// previous one.
#[derive(Debug)]
pub(crate) struct ReplacedSet {
    incarnations: LruCache<BackendIncarnation, ()>,
}

impl Default for ReplacedSet {
    fn default() -> Self {
        Self {
            incarnations: LruCache::new(MAX_REPLACED),
        }
    }
}

impl ReplacedSet {
    pub(crate) fn note(&mut self, incarnation: BackendIncarnation) {
        self.incarnations.put(incarnation, ());
    }

    pub(crate) fn contains(&self, incarnation: &BackendIncarnation) -> bool {
        self.incarnations.contains(incarnation)
    }
}
