//! The router of an entry.

use std::collections::BTreeMap;

use celerycrank_types::{BackendId, DomainId, TimePoint, TimeSpan};
use rand::Rng;
use smallvec::SmallVec;

use crate::{
    backend::{BackendSpec, BackendState, LoadReport},
    hint::{BackendSlot, CacheEvent, HolderIndex},
    prefix::{BlockHash, PromptPrefix},
};

/// Candidates drawn at random beside those that affinity names.
const RANDOM_CANDIDATES: usize = 2;

/// Settings of a router.
#[derive(Debug, Clone, PartialEq, Eq, bon::Builder)]
pub struct RouterSettings {
    /// The failure domain of the entry.
    pub domain: DomainId,
    /// Time that another failure domain adds to a request; a larger value keeps more at home.
    #[builder(default = TimeSpan::from_millis(2))]
    pub domain_cost: TimeSpan,
    /// Load over the mean, in hundredths, up to which affinity is followed.
    #[builder(default = 125)]
    pub load_bound: u32,
    /// Time to compute one prefix block that is not cached.
    #[builder(default = TimeSpan::from_millis(16))]
    pub block_cost: TimeSpan,
    /// Mean time for which a request holds a slot.
    #[builder(default = TimeSpan::from_secs(4))]
    pub hold: TimeSpan,
    /// Number of leading blocks that requests must share to be sent together.
    #[builder(default = 4)]
    pub affinity_blocks: u32,
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
    slots: BTreeMap<BackendId, usize>,
    table: Vec<Option<BackendState>>,
    next_tenancy: u32,
    hints: HolderIndex,
    /// Loads of the table's backend servers for the decision at hand; infinite if not usable.
    loads: Vec<f64>,
}

/// A backend server that might take the request.
#[derive(Debug, Clone, Copy)]
struct RouteCandidate {
    index: usize,
    reason: RouteReason,
}

impl BackendRouter {
    /// A router that knows no backend server yet.
    #[must_use]
    pub fn new(settings: RouterSettings) -> Self {
        let hints = HolderIndex::new(settings.hint_capacity);
        Self {
            settings,
            slots: BTreeMap::new(),
            table: Vec::new(),
            next_tenancy: 0,
            hints,
            loads: Vec::new(),
        }
    }

    /// Adds a backend server or changes what is known of it.
    pub fn set_backend(&mut self, spec: BackendSpec) {
        if let Some(state) = self.state_mut(&spec.backend) {
            state.spec = spec;
            return;
        }
        let tenancy = self.next_tenancy;
        self.next_tenancy += 1;
        let backend = spec.backend.clone();
        let state = Some(BackendState::new(spec, tenancy));
        let free = self.table.iter().position(Option::is_none);
        let index = free.unwrap_or(self.table.len());
        if free.is_none() {
            self.table.push(None);
        }
        self.table[index] = state;
        self.slots.insert(backend, index);
    }

    /// Forgets a backend server and what it held.
    pub fn remove_backend(&mut self, backend: &BackendId) {
        if let Some(index) = self.slots.remove(backend) {
            self.table[index] = None;
        }
    }

    /// Number of prefix blocks whose holders are remembered.
    #[must_use]
    pub fn hinted_blocks(&self) -> usize {
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
        let mean = self.measure_loads(now, query.tried)?;
        let bound = mean * f64::from(self.settings.load_bound) / 100.0;
        let candidates = self.candidates(query.prefix, bound, rng);
        let best = candidates
            .into_iter()
            .map(|candidate| {
                (
                    self.expected_delay(candidate.index, query.prefix),
                    candidate,
                )
            })
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
            CacheEvent::Cleared => self.renew_tenancy(slot),
        }
    }

    fn renew_tenancy(&mut self, slot: BackendSlot) {
        if let Some(state) = &mut self.table[slot.index] {
            state.tenancy = self.next_tenancy;
            self.next_tenancy += 1;
        }
    }

    fn slot(&self, backend: &BackendId) -> Option<BackendSlot> {
        let index = *self.slots.get(backend)?;
        let state = self.table[index].as_ref()?;
        Some(BackendSlot {
            index,
            tenancy: state.tenancy,
        })
    }

    fn state_mut(&mut self, backend: &BackendId) -> Option<&mut BackendState> {
        let index = *self.slots.get(backend)?;
        self.table[index].as_mut()
    }

    /// Fills in the loads and returns their mean; `None` if nothing is usable.
    fn measure_loads(&mut self, now: TimePoint, tried: &[BackendId]) -> Option<f64> {
        let mut sum = 0.0;
        let mut usable = 0_u32;
        self.loads.clear();
        for state in &self.table {
            let load = match state {
                Some(state) if state.is_ready() => {
                    let warmth = state.warmth(now, self.settings.slow_start);
                    state.load(now, self.settings.hold) / warmth
                }
                _ => f64::INFINITY,
            };
            self.loads.push(load);
        }
        for backend in tried {
            if let Some(index) = self.slots.get(backend) {
                self.loads[*index] = f64::INFINITY;
            }
        }
        for load in self.loads.iter().filter(|load| load.is_finite()) {
            sum += load;
            usable += 1;
        }
        (usable > 0).then(|| sum / f64::from(usable))
    }

    fn candidates<R: Rng>(
        &self,
        prefix: &PromptPrefix,
        bound: f64,
        rng: &mut R,
    ) -> SmallVec<[RouteCandidate; 8]> {
        let mut candidates = SmallVec::new();
        let mut add = |index, reason| candidates.push(RouteCandidate { index, reason });
        for index in self.holders(prefix) {
            add(index, RouteReason::Holder);
        }
        if let Some(index) = self.rendezvous(prefix, bound) {
            add(index, RouteReason::Rendezvous);
        }
        for _ in 0..RANDOM_CANDIDATES {
            add(self.random_usable(rng), RouteReason::Random);
        }
        candidates
    }

    /// A random place in the table, or the next usable one after it.
    fn random_usable<R: Rng>(&self, rng: &mut R) -> usize {
        let first = rng.random_range(0..self.loads.len());
        let (before, after) = self.loads.split_at(first);
        let steps = after.iter().chain(before).position(|load| load.is_finite());
        (first + steps.unwrap_or(0)) % self.loads.len()
    }

    /// Usable backend servers that probably hold the longest known prefix.
    fn holders(&self, prefix: &PromptPrefix) -> SmallVec<[usize; 4]> {
        for block in prefix.blocks().iter().rev() {
            let holders: SmallVec<[usize; 4]> = self
                .hints
                .holders(*block)
                .iter()
                .filter(|slot| self.is_usable(**slot))
                .map(|slot| slot.index)
                .collect();
            if !holders.is_empty() {
                return holders;
            }
        }
        SmallVec::new()
    }

    fn is_usable(&self, slot: BackendSlot) -> bool {
        let index = slot.index;
        let state = self.table.get(index).and_then(Option::as_ref);
        state.is_some_and(|state| state.tenancy == slot.tenancy) && self.loads[index].is_finite()
    }

    /// The backend server with the highest score among those within the load bound.
    fn rendezvous(&self, prefix: &PromptPrefix, bound: f64) -> Option<usize> {
        let depth = prefix
            .blocks()
            .len()
            .min(self.settings.affinity_blocks as usize);
        let key = prefix.blocks().get(depth.checked_sub(1)?)?;
        self.table
            .iter()
            .zip(&self.loads)
            .enumerate()
            .filter(|(_, (_, load))| **load <= bound)
            .filter_map(|(index, (state, _))| Some((index, state.as_ref()?.seed)))
            .max_by_key(|(_, seed)| mix(*seed, *key))
            .map(|(index, _)| index)
    }

    /// Expected time to first token, in seconds.
    fn expected_delay(&self, index: usize, prefix: &PromptPrefix) -> f64 {
        let Some(state) = &self.table[index] else {
            return f64::INFINITY;
        };
        let slot = BackendSlot {
            index,
            tenancy: state.tenancy,
        };
        let cached = prefix
            .blocks()
            .iter()
            .take_while(|block| self.hints.holders(**block).contains(&slot))
            .count();
        let missing = (prefix.blocks().len() - cached) as f64;
        let compute = missing * self.settings.block_cost.as_secs_f64();
        let load = self.loads[index];
        let wait = (load - 1.0).max(0.0) * self.settings.hold.as_secs_f64();
        let crowding = load * self.settings.block_cost.as_secs_f64();
        let distance = if state.spec.domain == self.settings.domain {
            0.0
        } else {
            self.settings.domain_cost.as_secs_f64()
        };
        wait + compute + crowding + distance
    }
}

/// Rendezvous score of a backend server for a key.
const fn mix(seed: u64, key: BlockHash) -> u64 {
    let spread = (seed ^ key.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let folded = (spread ^ (spread >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    folded ^ (folded >> 32)
}
