//! The router of an entry.

use std::collections::BTreeMap;

use celerycrank_types::{BackendId, DomainId, TimePoint, TimeSpan};
use rand::Rng;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    backend::{BackendSpec, BackendState, LoadReport},
    demand::DemandMeter,
    hint::{BackendSlot, CacheEvent, HolderIndex},
    prefix::{BlockHash, PromptPrefix},
    rendezvous::{TopCandidates, rendezvous_score},
};

/// Candidates drawn at random beside those that affinity names.
const RANDOM_CANDIDATES: usize = 2;

/// Cost of a miss to the other requests at a backend server, at a load of one.
const MISS_WEIGHT: f64 = 6.0;

/// Blocks that the others keep a backend server busy with, at a load of one.
const CONTENTION_BLOCKS: f64 = 8.0;

/// Candidates drawn at random for a request that was refused before.
const RETRY_CANDIDATES: usize = 4;

/// Settings of a router.
#[derive(Debug, Clone, PartialEq, Eq, bon::Builder)]
pub struct RouterSettings {
    /// The failure domain of the entry.
    pub domain: DomainId,
    /// Time that another failure domain adds to a request; a larger value keeps more at home.
    #[builder(default = TimeSpan::from_millis(2))]
    pub domain_cost: TimeSpan,
    /// Time to compute one prefix block that is not cached.
    #[builder(default = TimeSpan::from_millis(16))]
    pub block_cost: TimeSpan,
    /// Mean time for which a request holds a slot.
    #[builder(default = TimeSpan::from_secs(4))]
    pub mean_hold_time: TimeSpan,
    /// Backend servers kept for a kind of prompt, in hundredths of what its demand fills.
    #[builder(default = 400)]
    pub group_headroom_percent: u32,
    /// Time in which half of the observed demand is forgotten.
    #[builder(default = TimeSpan::from_secs(300))]
    pub demand_half_life: TimeSpan,
    /// Span over which a new backend server is brought up to its full load.
    #[builder(default = TimeSpan::from_secs(10))]
    pub slow_start: TimeSpan,
    /// Most prefix blocks whose holders are remembered.
    #[builder(default = 65_536)]
    pub hint_capacity: usize,
}

/// What a router is asked.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The prompt.
    pub prefix: &'a PromptPrefix,
    /// Backend servers that already refused this request.
    pub tried: &'a [BackendId],
}

/// Which rule named the chosen backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteReason {
    /// It probably holds the prompt's prefix.
    Holder,
    /// It has the highest rendezvous score within the load bound.
    Rendezvous,
    /// It comes next in rendezvous order after an overloaded one.
    Spill,
    /// It was the better one of random choices.
    Random,
}

/// The decision about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteChoice {
    /// The backend server to send it to.
    pub backend: BackendId,
    /// Which rule named it.
    pub reason: RouteReason,
}

/// Chooses the backend server of each request.
///
/// Candidates are the probable holders of the longest known prefix, the backend server with
/// the highest rendezvous score within the load bound, and two random ones; the one with the
/// least expected time to first token is chosen. The rendezvous score depends on nothing but
/// the prompt and the names, so that entries agree without sharing state.
///
/// Invariants: an excluded backend server is never chosen; nor is one that was tried, or one
/// that is not in the table.
#[derive(Debug, Clone)]
pub struct BackendRouter {
    settings: RouterSettings,
    index_by_backend: BTreeMap<BackendId, usize>,
    table: Vec<Option<BackendState>>,
    next_generation: u32,
    hints: HolderIndex,
    /// Hashes of the names in `table`, beside each other since every decision reads them all.
    seeds: Vec<u64>,
    demand: DemandMeter,
}

/// A backend server that might take the request.
#[derive(Debug, Clone, Copy)]
struct RouteCandidate {
    index: usize,
    reason: RouteReason,
    /// Leading blocks of the prompt that it is known to hold.
    cached: usize,
}

type CandidateList = SmallVec<[RouteCandidate; 12]>;

impl BackendRouter {
    /// A router that knows no backend server yet.
    #[must_use]
    pub fn new(settings: RouterSettings) -> Self {
        let hints = HolderIndex::new(settings.hint_capacity);
        let demand = DemandMeter::new(settings.demand_half_life);
        Self {
            settings,
            index_by_backend: BTreeMap::new(),
            table: Vec::new(),
            next_generation: 0,
            hints,
            seeds: Vec::new(),
            demand,
        }
    }

    /// Adds a backend server or changes what is known of it.
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

    /// Forgets a backend server and what it held.
    pub fn remove_backend(&mut self, backend: &BackendId) {
        if let Some(index) = self.index_by_backend.remove(backend) {
            self.table[index] = None;
        }
    }

    /// Number of prefix blocks whose holders are remembered.
    #[must_use]
    pub fn tracked_blocks(&self) -> usize {
        self.hints.len()
    }

    /// Chooses a backend server; `None` if no usable one is left.
    ///
    /// # Panics
    ///
    /// If an excluded backend server would be chosen: that is a broken invariant.
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
            "excluded backend server {} would be chosen",
            state.spec.backend
        );
        Some(RouteChoice {
            backend: state.spec.backend.clone(),
            reason: best.reason,
        })
    }

    /// Notes that a request was sent; its prompt will be cached there.
    pub fn note_sent(&mut self, backend: &BackendId, prefix: &PromptPrefix) {
        let Some(slot) = self.slot(backend) else {
            return;
        };
        if let Some(state) = &mut self.table[slot.index] {
            state.in_flight += 1;
        }
        for block in prefix.blocks() {
            self.hints.store(*block, slot);
        }
    }

    /// Notes that a request which was sent has ended, answered or not.
    pub fn note_finished(&mut self, backend: &BackendId) {
        if let Some(state) = self.state_mut(backend) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Notes that a request was answered; what is refused makes up no demand that is met.
    pub fn note_answered(&mut self, now: TimePoint, prefix: &PromptPrefix) {
        if let Some(group) = prefix.prefix_group() {
            self.demand.record(now, group);
        }
    }

    /// Takes in the load that came with an answer or a refusal.
    pub fn note_load(&mut self, now: TimePoint, backend: &BackendId, load: LoadReport) {
        if let Some(state) = self.state_mut(backend) {
            state.report(now, load);
        }
    }

    /// Takes in a cache event; one that is late or lost costs a cache miss at most.
    pub fn note_cache(&mut self, backend: &BackendId, event: CacheEvent) {
        let Some(slot) = self.slot(backend) else {
            return;
        };
        match event {
            CacheEvent::Stored(block) => self.hints.store(block, slot),
            CacheEvent::Evicted(block) => self.hints.evict(block, slot),
            CacheEvent::Cleared => self.renew_generation(slot),
        }
    }

    fn renew_generation(&mut self, slot: BackendSlot) {
        if let Some(state) = &mut self.table[slot.index] {
            state.generation = self.next_generation;
            self.next_generation += 1;
        }
    }

    fn slot(&self, backend: &BackendId) -> Option<BackendSlot> {
        let index = *self.index_by_backend.get(backend)?;
        let state = self.table[index].as_ref()?;
        Some(BackendSlot {
            index,
            generation: state.generation,
        })
    }

    fn state_mut(&mut self, backend: &BackendId) -> Option<&mut BackendState> {
        let index = *self.index_by_backend.get(backend)?;
        self.table[index].as_mut()
    }

    fn candidates<R: Rng>(&self, query: &RouteQuery<'_>, rng: &mut R) -> CandidateList {
        // Where affinity led to a refusal, only the load counts.
        let (prefix, random) = if query.tried.is_empty() {
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
                    cached: self.cached_blocks(index, &held),
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
                RouteReason::Spill
            };
            add(index, reason);
        }
        for slot in held
            .iter()
            .rev()
            .find(|slots| !slots.is_empty())
            .copied()
            .into_iter()
            .flatten()
        {
            if self.is_current(*slot) && self.is_usable(slot.index, query) {
                add(slot.index, RouteReason::Holder);
            }
        }
        for _ in 0..random {
            if let Some(index) = self.random_usable(query, rng) {
                add(index, RouteReason::Random);
            }
        }
        candidates
    }

    /// Probable holders of each leading block, up to the first block that nobody holds.
    fn held_blocks(&self, prefix: &PromptPrefix) -> SmallVec<[&[BackendSlot]; 16]> {
        prefix
            .blocks()
            .iter()
            .map(|block| self.hints.holders(*block))
            .take_while(|slots| !slots.is_empty())
            .collect()
    }

    /// Leading blocks that a backend server probably holds.
    fn cached_blocks(&self, index: usize, held: &[&[BackendSlot]]) -> usize {
        held.iter()
            .take_while(|slots| {
                slots
                    .iter()
                    .any(|slot| slot.index == index && self.is_current(*slot))
            })
            .count()
    }

    /// A random place in the table, or the next usable one after it.
    fn random_usable<R: Rng>(&self, query: &RouteQuery<'_>, rng: &mut R) -> Option<usize> {
        let first = rng.random_range(0..self.table.len().max(1));
        (first..self.table.len())
            .chain(0..first)
            .find(|index| self.is_usable(*index, query))
    }

    fn is_current(&self, slot: BackendSlot) -> bool {
        let state = self.table.get(slot.index).and_then(Option::as_ref);
        state.is_some_and(|state| state.generation == slot.generation)
    }

    fn is_usable(&self, index: usize, query: &RouteQuery<'_>) -> bool {
        let state = self.table.get(index).and_then(Option::as_ref);
        state.is_some_and(|state| state.is_ready() && !query.tried.contains(&state.spec.backend))
    }

    /// The first backend servers in the conversation's order among those of its kind of prompt.
    fn rendezvous_candidates(
        &self,
        prefix: &PromptPrefix,
        query: &RouteQuery<'_>,
    ) -> SmallVec<[usize; 4]> {
        let (Some(group), Some(session)) = (prefix.prefix_group(), prefix.session()) else {
            return SmallVec::new();
        };
        let threshold = u64::MAX - self.score_range(group);
        let mut candidates = TopCandidates::default();
        for (index, seed) in self.seeds.iter().enumerate() {
            if rendezvous_score(*seed, group) >= threshold && self.is_usable(index, query) {
                candidates.offer(rendezvous_score(*seed, session), index);
            }
        }
        if candidates.is_empty() {
            candidates = self.best_scored(group, query);
        }
        candidates.into_indexes()
    }

    /// Those with the highest scores for a kind of prompt, however low.
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

    /// Width of the range of scores whose owners are kept for a kind of prompt.
    ///
    /// A power of two, so that entries which measure slightly different demand agree, and that
    /// a departure changes the range only rarely.
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

    /// Expected time to first token, in seconds.
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
        let assumed = match candidate.reason {
            RouteReason::Rendezvous => blocks.len().saturating_sub(2),
            RouteReason::Spill => blocks.len() / 2,
            RouteReason::Holder | RouteReason::Random => 0,
        };
        let missing = (blocks.len() - candidate.cached.max(assumed)) as f64;
        let block_cost = self.settings.block_cost.as_secs_f64();
        let warm_up_fraction = state.warm_up_fraction(now, self.settings.slow_start);
        let load = state.load(now, self.settings.mean_hold_time) / warm_up_fraction;
        let wait = (load - 1.0).max(0.0) * self.settings.mean_hold_time.as_secs_f64();
        let compute = missing * block_cost * (1.0 + MISS_WEIGHT * load);
        let contention = CONTENTION_BLOCKS * block_cost * load * load;
        let distance = if state.spec.domain == self.settings.domain {
            0.0
        } else {
            self.settings.domain_cost.as_secs_f64()
        };
        wait + compute + contention + distance
    }
}
