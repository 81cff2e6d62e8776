//! The router that selects a backend server for each request.

use std::collections::BTreeMap;

use celerycrank_types::{BackendId, DomainId, TimePoint, TimeSpan};
use rand::Rng;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    backend::{BackendSpec, BackendState, LoadReport},
    delay::DelayEstimate,
    demand::DemandMeter,
    holder::{BackendHandle, CacheEvent, HolderIndex},
    prefix::{BlockHash, PromptPrefix},
    rendezvous::{TopCandidates, rendezvous_score},
};

/// Number of random candidates in addition to those from cache affinity.
const RANDOM_CANDIDATES: usize = 2;

/// Delay from other requests at a load of one, in units of the cost of computing a block.
const CONTENTION_BLOCKS: f64 = 8.0;

/// Number of random candidates for a request that was refused before.
const RETRY_CANDIDATES: usize = 4;

/// Settings of a router.
#[derive(Debug, Clone, PartialEq, Eq, bon::Builder)]
pub struct RouterSettings {
    /// The failure domain of the entry.
    pub domain: DomainId,
    /// Extra latency of a backend server in another failure domain. A larger value keeps more
    /// requests in the failure domain of the entry.
    #[builder(default = TimeSpan::from_millis(2))]
    pub domain_cost: TimeSpan,
    /// Time to compute a prefix block that is not cached.
    #[builder(default = TimeSpan::from_millis(16))]
    pub block_cost: TimeSpan,
    /// Mean time for which a request holds a slot.
    #[builder(default = TimeSpan::from_secs(4))]
    pub mean_hold_time: TimeSpan,
    /// Backend servers assigned to a prefix group, as a percentage of those that its demand would
    /// saturate.
    #[builder(default = 400)]
    pub group_headroom_percent: u32,
    /// Half-life of the observed demand.
    #[builder(default = TimeSpan::from_secs(300))]
    pub demand_half_life: TimeSpan,
    /// Time over which traffic to a new backend server is ramped up.
    #[builder(default = TimeSpan::from_secs(10))]
    pub slow_start: TimeSpan,
    /// Maximum number of prefix blocks whose holders are tracked.
    #[builder(default = 65_536)]
    pub holder_capacity: usize,
}

/// The input to a routing decision.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The prompt's prefix blocks.
    pub prefix: &'a PromptPrefix,
    /// Backend servers that have already refused this request.
    pub tried: &'a [BackendId],
}

/// The rule that selected a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteReason {
    /// It probably has the prefix of the prompt cached.
    Holder,
    /// It is first in rendezvous order.
    Rendezvous,
    /// It comes later in rendezvous order.
    RendezvousNext,
    /// It was the best of the random candidates.
    Random,
}

/// The routing decision for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteChoice {
    /// The backend server to send it to.
    pub backend: BackendId,
    /// The rule that selected it.
    pub reason: RouteReason,
}

/// Selects the backend server for each request.
///
/// The candidates are the probable holders of the longest known prefix, the first few backend
/// servers in rendezvous order, and two random ones. The candidate with the lowest expected time to
/// first token is selected. The rendezvous score depends only on the prompt and on the names of the
/// backend servers, so entries agree without sharing state.
///
/// Invariant: a backend server that is excluded, was already tried or is not in the table is never
/// selected.
#[derive(Debug, Clone)]
pub struct BackendRouter {
    settings: RouterSettings,
    index_by_backend: BTreeMap<BackendId, usize>,
    table: Vec<Option<BackendState>>,
    next_generation: u32,
    holders: HolderIndex,
    /// Hashes of the names in `table`; stored contiguously because every decision reads all of
    /// them.
    seeds: Vec<u64>,
    demand: DemandMeter,
}

/// A backend server that may receive the request.
#[derive(Debug, Clone, Copy)]
struct RouteCandidate {
    index: usize,
    reason: RouteReason,
    /// Number of leading blocks of the prompt that it probably has cached.
    cached_blocks: usize,
}

type CandidateList = SmallVec<[RouteCandidate; 12]>;

impl BackendRouter {
    /// Creates a router without backend servers.
    #[must_use]
    pub fn new(settings: RouterSettings) -> Self {
        let holders = HolderIndex::new(settings.holder_capacity);
        let demand = DemandMeter::new(settings.demand_half_life);
        Self {
            settings,
            index_by_backend: BTreeMap::new(),
            table: Vec::new(),
            next_generation: 0,
            holders,
            seeds: Vec::new(),
            demand,
        }
    }

    /// Adds or updates a backend server.
    pub fn set_backend(&mut self, spec: BackendSpec) {
        if let Some(state) = self.state_mut(&spec.backend) {
            state.spec = spec;
            return;
        }
        let generation = self.next_generation;
        self.next_generation += 1;
        let backend = spec.backend.clone();
        let seed = xxh3_64(backend.as_str().as_bytes());
        let state = Some(BackendState::new(spec, generation));
        let free = self.table.iter().position(Option::is_none);
        let index = free.unwrap_or(self.table.len());
        if free.is_none() {
            self.table.push(None);
            self.seeds.push(0);
        }
        self.seeds[index] = seed;
        self.table[index] = state;
        self.index_by_backend.insert(backend, index);
    }

    /// Removes a backend server and invalidates what is known of its cache.
    pub fn remove_backend(&mut self, backend: &BackendId) {
        if let Some(index) = self.index_by_backend.remove(backend) {
            self.table[index] = None;
        }
    }

    /// Returns the number of prefix blocks whose holders are tracked.
    #[must_use]
    pub fn tracked_blocks(&self) -> usize {
        self.holders.len()
    }

    /// Selects a backend server, or returns `None` if no usable one is left.
    ///
    /// # Panics
    ///
    /// Panics if an excluded or already tried backend server would be selected, which violates an
    /// invariant.
    pub fn choose<R: Rng>(
        &mut self,
        now: TimePoint,
        query: &RouteQuery<'_>,
        rng: &mut R,
    ) -> Option<RouteChoice> {
        let best = self
            .candidates(query, rng)
            .into_iter()
            .map(|candidate| (self.expected_delay(now, candidate, query.prefix), candidate))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, candidate)| candidate)?;
        let state = self.table[best.index].as_ref()?;
        assert!(
            state.is_ready() && !query.tried.contains(&state.spec.backend),
            "excluded or already tried backend server {} would be selected",
            state.spec.backend
        );
        Some(RouteChoice {
            backend: state.spec.backend.clone(),
            reason: best.reason,
        })
    }

    /// Records that a request was sent to a backend server, which will cache its prompt.
    pub fn note_sent(&mut self, backend: &BackendId, prefix: &PromptPrefix) {
        let Some(handle) = self.handle(backend) else {
            return;
        };
        if let Some(state) = &mut self.table[handle.index] {
            state.in_flight += 1;
        }
        for block in prefix.blocks() {
            self.holders.store(*block, handle);
        }
    }

    /// Records that a request has ended, whether or not it was answered.
    pub fn note_finished(&mut self, backend: &BackendId) {
        if let Some(state) = self.state_mut(backend) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records that a request was answered. Refused requests are not part of the served demand.
    pub fn note_answered(&mut self, now: TimePoint, prefix: &PromptPrefix) {
        if let Some(group) = prefix.prefix_group() {
            self.demand.record(now, group);
        }
    }

    /// Updates the load of a backend server from an answer or a refusal.
    pub fn note_load(&mut self, now: TimePoint, backend: &BackendId, load: LoadReport) {
        if let Some(state) = self.state_mut(backend) {
            state.report(now, load);
        }
    }

    /// Applies a cache event. A late or lost event causes at most a cache miss.
    pub fn note_cache(&mut self, backend: &BackendId, event: CacheEvent) {
        let Some(handle) = self.handle(backend) else {
            return;
        };
        match event {
            CacheEvent::Stored(block) => self.holders.store(block, handle),
            CacheEvent::Evicted(block) => self.holders.evict(block, handle),
            CacheEvent::Cleared => self.renew_generation(handle),
        }
    }

    fn renew_generation(&mut self, handle: BackendHandle) {
        if let Some(state) = &mut self.table[handle.index] {
            state.generation = self.next_generation;
            self.next_generation += 1;
        }
    }

    fn handle(&self, backend: &BackendId) -> Option<BackendHandle> {
        let index = *self.index_by_backend.get(backend)?;
        let state = self.table[index].as_ref()?;
        Some(BackendHandle {
            index,
            generation: state.generation,
        })
    }

    fn state_mut(&mut self, backend: &BackendId) -> Option<&mut BackendState> {
        let index = *self.index_by_backend.get(backend)?;
        self.table[index].as_mut()
    }

    fn candidates<R: Rng>(&self, query: &RouteQuery<'_>, rng: &mut R) -> CandidateList {
        // After a refusal, cache affinity is ignored and only the load counts.
        let (prefix, random_count) = if query.tried.is_empty() {
            (query.prefix, RANDOM_CANDIDATES)
        } else {
            (&PromptPrefix::default(), RETRY_CANDIDATES)
        };
        let held = self.held_blocks(prefix);
        let mut candidates = CandidateList::new();
        let mut add = |index, reason| {
            let known = candidates
                .iter()
                .any(|known: &RouteCandidate| known.index == index);
            if !known {
                candidates.push(RouteCandidate {
                    index,
                    reason,
                    cached_blocks: self.cached_blocks(index, &held),
                });
            }
        };
        for (position, index) in self
            .rendezvous_candidates(prefix, query)
            .into_iter()
            .enumerate()
        {
            let reason = if position == 0 {
                RouteReason::Rendezvous
            } else {
                RouteReason::RendezvousNext
            };
            add(index, reason);
        }
        for handle in held
            .iter()
            .rev()
            .find(|handles| !handles.is_empty())
            .copied()
            .into_iter()
            .flatten()
        {
            if self.is_current(*handle) && self.is_usable(handle.index, query) {
                add(handle.index, RouteReason::Holder);
            }
        }
        for _ in 0..random_count {
            if let Some(index) = self.random_usable(query, rng) {
                add(index, RouteReason::Random);
            }
        }
        candidates
    }

    /// Returns the probable holders of each leading block, up to the first block without any.
    fn held_blocks(&self, prefix: &PromptPrefix) -> SmallVec<[&[BackendHandle]; 16]> {
        prefix
            .blocks()
            .iter()
            .map(|block| self.holders.holders(*block))
            .take_while(|handles| !handles.is_empty())
            .collect()
    }

    /// Returns the number of leading blocks that a backend server probably has cached.
    fn cached_blocks(&self, index: usize, held: &[&[BackendHandle]]) -> usize {
        held.iter()
            .take_while(|handles| {
                handles
                    .iter()
                    .any(|handle| handle.index == index && self.is_current(*handle))
            })
            .count()
    }

    /// Returns the first usable backend server at or after a random index.
    fn random_usable<R: Rng>(&self, query: &RouteQuery<'_>, rng: &mut R) -> Option<usize> {
        let first = rng.random_range(0..self.table.len().max(1));
        (first..self.table.len())
            .chain(0..first)
            .find(|index| self.is_usable(*index, query))
    }

    fn is_current(&self, handle: BackendHandle) -> bool {
        let state = self.table.get(handle.index).and_then(Option::as_ref);
        state.is_some_and(|state| state.generation == handle.generation)
    }

    fn is_usable(&self, index: usize, query: &RouteQuery<'_>) -> bool {
        let state = self.table.get(index).and_then(Option::as_ref);
        state.is_some_and(|state| state.is_ready() && !query.tried.contains(&state.spec.backend))
    }

    /// Returns the first backend servers in the rendezvous order of the conversation, among those
    /// of its prefix group.
    fn rendezvous_candidates(
        &self,
        prefix: &PromptPrefix,
        query: &RouteQuery<'_>,
    ) -> SmallVec<[usize; 4]> {
        let (Some(group), Some(conversation)) = (prefix.prefix_group(), prefix.conversation())
        else {
            return SmallVec::new();
        };
        let threshold = u64::MAX - self.score_range(group);
        let mut candidates = TopCandidates::default();
        for (index, seed) in self.seeds.iter().enumerate() {
            if rendezvous_score(*seed, group) >= threshold && self.is_usable(index, query) {
                candidates.offer(rendezvous_score(*seed, conversation), index);
            }
        }
        if candidates.is_empty() {
            candidates = self.best_scored(group, query);
        }
        candidates.into_indexes()
    }

    /// Returns the backend servers with the highest scores for a prefix group, even if these are
    /// outside its score range.
    fn best_scored(&self, group: BlockHash, query: &RouteQuery<'_>) -> TopCandidates {
        let mut best = TopCandidates::default();
        for (index, seed) in self.seeds.iter().enumerate() {
            let score = rendezvous_score(*seed, group);
            if score > best.threshold() && self.is_usable(index, query) {
                best.offer(score, index);
            }
        }
        best
    }

    /// Returns the width of the range of scores that assigns backend servers to a prefix group.
    ///
    /// The width is a power of two, so that entries with slightly different demand measurements
    /// agree and the removal of a backend server rarely changes the range.
    fn score_range(&self, group: BlockHash) -> u64 {
        let backends = self.index_by_backend.len().max(1) as f64;
        let headroom = f64::from(self.settings.group_headroom_percent) / 100.0;
        let fraction = (self.demand.fraction(group) * headroom).clamp(1.0 / backends, 1.0);
        let mut range = u64::MAX;
        let mut covered = 1.0;
        while covered / 2.0 >= fraction {
            covered /= 2.0;
            range >>= 1;
        }
        range
    }

    /// Returns the expected time to first token, in seconds.
    fn expected_delay(
        &self,
        now: TimePoint,
        candidate: RouteCandidate,
        prefix: &PromptPrefix,
    ) -> f64 {
        let Some(state) = &self.table[candidate.index] else {
            return f64::INFINITY;
        };
        let blocks = prefix.blocks();
        let assumed_blocks = match candidate.reason {
            RouteReason::Rendezvous => blocks.len().saturating_sub(2),
            RouteReason::RendezvousNext => blocks.len() / 2,
            RouteReason::Holder | RouteReason::Random => 0,
        };
        let missing_blocks = (blocks.len() - candidate.cached_blocks.max(assumed_blocks)) as f64;
        let block_cost = self.settings.block_cost.as_secs_f64();
        let warm_up_fraction = state.warm_up_fraction(now, self.settings.slow_start);
        let load = state.load(now, self.settings.mean_hold_time) / warm_up_fraction;
        let wait = (load - 1.0).max(0.0) * self.settings.mean_hold_time.as_secs_f64();
        let estimate = DelayEstimate {
            load,
            stalled_load: load,
            wait,
            reading: missing_blocks * block_cost,
            crowding: CONTENTION_BLOCKS * block_cost,
        };
        let domain_cost = if state.spec.domain == self.settings.domain {
            0.0
        } else {
            self.settings.domain_cost.as_secs_f64()
        };
        estimate.weighted_delay() + domain_cost
    }
}
