//! Routing policies under comparison.

use std::{cell::RefCell, rc::Rc};

use celerycrank_routing::{
    BackendCondition, BackendRouter, BackendSpec, BlockHash, CacheEvent, LoadReport, RouteQuery,
    RouterSettings,
};
use celerycrank_types::{BackendId, TimePoint};
use rand_chacha::ChaCha8Rng;

use super::{direct::DirectView, engine, trace::TraceRequest};

/// Virtual nodes per worker on the consistent hash ring.
const RING_POINTS_PER_WORKER: u64 = 100;

/// Age at which a reported load counts half, in seconds.
const LOAD_DECAY_SECONDS: f64 = 4.0;

/// Kind of routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PolicyKind {
    RoundRobin,
    LeastLoaded,
    /// Consistent hash of the system prompt.
    PromptHash,
    /// Consistent hash of the conversation, as the paper hashes the resource.
    SessionHash,
    /// The router of celerycrank.
    Router,
    /// The direct entry, by load alone.
    Direct,
    /// The direct entry, which weighs the prompts that backend servers hold.
    DirectPrompts,
}

impl PolicyKind {
    pub(super) const ALL: [Self; 7] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::PromptHash,
        Self::SessionHash,
        Self::Router,
        Self::Direct,
        Self::DirectPrompts,
    ];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded",
            Self::PromptHash => "hash of prompt",
            Self::SessionHash => "hash of session",
            Self::Router => "celerycrank",
            Self::Direct => "direct entry, load alone",
            Self::DirectPrompts => "direct entry, held prompts",
        }
    }

    /// Whether all entries receive the loads of all workers at intervals.
    pub(super) const fn has_load_reports(self) -> bool {
        matches!(self, Self::Direct | Self::DirectPrompts)
    }
}

/// An entry's view of the load of one worker.
#[derive(Debug, Default, Clone, Copy)]
struct WorkerLoad {
    own_load: f64,
    external_load: f64,
    reported_at: f64,
}

impl WorkerLoad {
    fn estimate_at(self, now: f64) -> f64 {
        self.own_load + self.external_load / (1.0 + (now - self.reported_at) / LOAD_DECAY_SECONDS)
    }
}

/// One entry's instance of a policy.
#[derive(Debug, Clone)]
pub(super) struct EntryPolicy {
    kind: PolicyKind,
    worker_names: Vec<BackendId>,
    ready: Vec<bool>,
    loads: Vec<WorkerLoad>,
    next_worker: usize,
    ring: Vec<(u64, usize)>,
    router: BackendRouter,
    /// Shared with clones, which only choose.
    direct: Rc<RefCell<DirectView>>,
}

impl EntryPolicy {
    pub(super) fn new(kind: PolicyKind, workers: usize, entry: usize, entries: usize) -> Self {
        let count = u32::try_from(entries).unwrap_or(u32::MAX);
        let direct = DirectView::new(workers, count, kind == PolicyKind::DirectPrompts);
        let worker_names: Vec<BackendId> = (0..workers).map(worker_name).collect();
        let domain = "estremoz".parse().expect("a valid name");
        let mut policy = Self {
            kind,
            worker_names,
            ready: vec![true; workers],
            loads: vec![WorkerLoad::default(); workers],
            next_worker: entry * workers / entries,
            direct: Rc::new(RefCell::new(direct)),
            ring: build_ring(workers),
            router: BackendRouter::new(RouterSettings::builder().domain(domain).build()),
        };
        for worker in 0..workers {
            // Workers that exist from the start have already warmed up.
            policy.set_ready(TimePoint(0), worker, true);
        }
        policy
    }

    pub(super) fn set_ready(&mut self, now: TimePoint, worker: usize, ready: bool) {
        if self.ready[worker] != ready {
            self.direct.borrow_mut().set_ready(now, worker, ready);
        }
        self.ready[worker] = ready;
        let condition = if ready {
            BackendCondition::Ready { since: now }
        } else {
            BackendCondition::Excluded
        };
        self.router.set_backend(BackendSpec {
            backend: self.worker_names[worker].clone(),
            domain: "estremoz".parse().expect("a valid name"),
            concurrency: engine::SLOTS,
            condition,
        });
    }

    pub(super) fn choose(
        &mut self,
        now: f64,
        request: &TraceRequest,
        rng: &mut ChaCha8Rng,
    ) -> usize {
        match self.kind {
            PolicyKind::RoundRobin => self.pick_next_ready(),
            PolicyKind::LeastLoaded => self.least_loaded(now),
            PolicyKind::PromptHash => self.pick_on_ring(request.prefix.blocks()[0]),
            PolicyKind::SessionHash => self.pick_on_ring(request.session),
            PolicyKind::Router => self.pick_by_router(now, request, rng),
            PolicyKind::Direct | PolicyKind::DirectPrompts => {
                let (direct, blocks) = (self.direct.borrow(), request.prefix.blocks());
                direct.choose(super::time_point(now), blocks, rng)
            }
        }
    }

    pub(super) fn note_sent(&mut self, now: f64, worker: usize, request: &TraceRequest) {
        let (now, blocks) = (super::time_point(now), request.prefix.blocks());
        self.direct.borrow_mut().note_sent(now, worker, blocks);
        self.loads[worker].own_load += 1.0;
        self.router
            .note_sent(&self.worker_names[worker], &request.prefix);
    }

    pub(super) fn note_begun(&mut self, now: f64, worker: usize, request: &TraceRequest) {
        let (now, blocks) = (super::time_point(now), request.prefix.blocks());
        self.direct.borrow_mut().note_begun(now, worker, blocks);
    }

    pub(super) fn note_finished(&mut self, now: f64, worker: usize, request: &TraceRequest) {
        self.direct.borrow_mut().note_finished(worker);
        self.loads[worker].own_load -= 1.0;
        self.router
            .note_answered(super::time_point(now), &request.prefix);
        self.router.note_finished(&self.worker_names[worker]);
    }

    pub(super) fn note_load(&mut self, now: f64, worker: usize, report: LoadReport) {
        let at = super::time_point(now);
        self.direct.borrow_mut().note_load(at, worker, report);
        let load = &mut self.loads[worker];
        let total = f64::from(report.running) + f64::from(report.waiting);
        load.external_load = (total - load.own_load).max(0.0);
        load.reported_at = now;
        self.router
            .note_load(super::time_point(now), &self.worker_names[worker], report);
    }

    pub(super) fn note_cache(&mut self, worker: usize, event: CacheEvent) {
        self.router.note_cache(&self.worker_names[worker], event);
    }

    fn pick_next_ready(&mut self) -> usize {
        loop {
            self.next_worker = (self.next_worker + 1) % self.ready.len();
            if self.ready[self.next_worker] {
                return self.next_worker;
            }
        }
    }

    /// Picks the least loaded worker; the search starts at a rotating index so that ties are
    /// spread over the workers.
    fn least_loaded(&mut self, now: f64) -> usize {
        self.next_worker += 1;
        let workers = self.ready.len();
        (0..workers)
            .map(|step| (self.next_worker + step) % workers)
            .filter(|worker| self.ready[*worker])
            .min_by(|left, right| {
                let left = self.loads[*left].estimate_at(now);
                left.total_cmp(&self.loads[*right].estimate_at(now))
            })
            .expect("a worker is always ready")
    }

    fn pick_on_ring(&self, key: BlockHash) -> usize {
        let first = self.ring.partition_point(|(point, _)| *point < key.0);
        let (after, before) = (&self.ring[first..], &self.ring[..first]);
        after
            .iter()
            .chain(before)
            .map(|(_, worker)| *worker)
            .find(|worker| self.ready[*worker])
            .expect("a worker is always ready")
    }

    fn pick_by_router(&mut self, now: f64, request: &TraceRequest, rng: &mut ChaCha8Rng) -> usize {
        let query = RouteQuery {
            prefix: &request.prefix,
            tried: &[],
        };
        let choice = self
            .router
            .choose(super::time_point(now), &query, rng)
            .expect("a worker is always ready");
        self.worker_names
            .iter()
            .position(|name| *name == choice.backend)
            .expect("the router knows only these workers")
    }
}

pub(super) fn worker_name(worker: usize) -> BackendId {
    format!("drafting-{worker}").parse().expect("a valid name")
}

fn build_ring(workers: usize) -> Vec<(u64, usize)> {
    let mut ring: Vec<(u64, usize)> = (0..workers)
        .flat_map(|worker| {
            (0..RING_POINTS_PER_WORKER).map(move |point| (ring_point(worker, point), worker))
        })
        .collect();
    ring.sort_unstable();
    ring
}

fn ring_point(worker: usize, point: u64) -> u64 {
    let name = format!("{}/{point}", worker_name(worker));
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
