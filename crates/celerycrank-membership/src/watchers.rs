//! Assignment of the entries that watch the key-value service for each failure domain.

use celerycrank_types::{DomainId, VmId};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of entries that watch for one failure domain.
///
/// With three, one is left while another is being replaced and the third is frozen.
pub const WATCHERS_PER_DOMAIN: usize = 3;

/// The VM and failure domain of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDescriptor {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub domain: DomainId,
}

/// The watchers of each failure domain, computed by each process from its own VM list.
///
/// If the lists differ, there may be one watcher too many or too few, but correctness is
/// not affected.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct WatcherAssignments {
    /// Invariant: one item per domain, with at most [`WATCHERS_PER_DOMAIN`] watchers each.
    domains: Vec<(DomainId, SmallVec<[VmId; WATCHERS_PER_DOMAIN]>)>,
}

impl WatcherAssignments {
    /// Assigns watchers from `entries` to each domain in `domains` by rendezvous hashing.
    ///
    /// Entries in the domain itself rank before all others, so that a domain keeps its
    /// watchers when it is partitioned from the rest.
    #[must_use]
    pub fn compute(entries: &[PeerDescriptor], domains: &[DomainId]) -> Self {
        let domains = domains
            .iter()
            .map(|domain| (domain.clone(), rank_watchers(entries, domain)))
            .collect();
        Self { domains }
    }

    /// The watchers of a domain, in order of preference.
    #[must_use]
    pub fn watchers(&self, domain: &DomainId) -> &[VmId] {
        self.domains
            .iter()
            .find(|(name, _)| name == domain)
            .map_or(&[], |(_, watchers)| watchers.as_slice())
    }

    /// The domains that `vm` watches for, with its position among the watchers of each.
    pub fn domain_positions<'assignments>(
        &'assignments self,
        vm: &'assignments VmId,
    ) -> impl Iterator<Item = (&'assignments DomainId, usize)> {
        self.domains.iter().filter_map(move |(domain, watchers)| {
            watchers
                .iter()
                .position(|watcher| watcher == vm)
                .map(|position| (domain, position))
        })
    }

    /// Whether `vm` watches for any domain.
    #[must_use]
    pub fn is_watcher(&self, vm: &VmId) -> bool {
        self.domain_positions(vm).next().is_some()
    }
}

fn rank_watchers(
    entries: &[PeerDescriptor],
    domain: &DomainId,
) -> SmallVec<[VmId; WATCHERS_PER_DOMAIN]> {
    let seed = xxh3_64_with_seed(domain.as_str().as_bytes(), 0);
    let mut ranked = entries
        .iter()
        .map(|entry| {
            let score = xxh3_64_with_seed(entry.vm.as_str().as_bytes(), seed);
            (entry.domain != *domain, score, &entry.vm)
        })
        .collect::<Vec<_>>();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(WATCHERS_PER_DOMAIN)
        .map(|(.., vm)| vm.clone())
        .collect()
}
