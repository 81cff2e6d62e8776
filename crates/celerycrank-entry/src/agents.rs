//! The agents that the entry knows, and the choice among them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use celerycrank_membership::{MemberState, MemberTable};
use celerycrank_requests::{CallKey, ClaimLayout};
use celerycrank_routing::{
    BackendCondition, BackendRouter, BackendSpec, LoadReport as RouterLoad, PromptPrefix,
    RouteQuery, RouterSettings,
};
use celerycrank_types::{BackendId, DomainId, TimePoint, VmId};
use celerycrank_wire::{BackendOffer, LoadReport, OfferKind};
use rand::{Rng, seq::IteratorRandom};

/// The router of one model or service, shared with the records of its agents.
type SharedRouter = Rc<RefCell<BackendRouter>>;

/// One agent, as the entry sees it.
#[derive(Debug)]
pub(crate) struct AgentRecord {
    pub(crate) address: SocketAddr,
    pub(crate) offer: BackendOffer,
    load: Cell<LoadReport>,
    /// How the member table judges the agent's VM.
    member_state: Cell<MemberState>,
    /// Since when the agent has taken work without a break.
    ready_since: Cell<TimePoint>,
    router: SharedRouter,
}

/// A request that an agent has, until it is dropped.
#[derive(Debug)]
pub(crate) struct OutstandingGuard {
    record: Rc<AgentRecord>,
}

impl AgentRecord {
    /// Notes how busy the agent said it is.
    pub(crate) fn note_load(&self, load: LoadReport, now: TimePoint) {
        self.load.set(load);
        let report = RouterLoad {
            running: load.running,
            waiting: load.queued,
            waiting_cost: load.queued_cost,
        };
        let mut router = self.router.borrow_mut();
        router.note_load(now, &self.offer.backend, report);
        router.set_backend(self.spec());
    }

    /// How the member table judges the agent's VM.
    pub(crate) fn member_state(&self) -> MemberState {
        self.member_state.get()
    }

    /// Takes the member table's judgement.
    fn apply_member_state(&self, member_state: MemberState, now: TimePoint) {
        let was_usable = self.is_usable();
        let changed = self.member_state.replace(member_state) != member_state;
        if self.is_usable() && !was_usable {
            self.ready_since.set(now);
        }
        if changed {
            self.router.borrow_mut().set_backend(self.spec());
        }
    }

    /// Counts a request as handed to the agent.
    pub(crate) fn track_request(self: &Rc<Self>, prefix: &PromptPrefix) -> OutstandingGuard {
        let mut router = self.router.borrow_mut();
        router.note_sent(&self.offer.backend, prefix);
        OutstandingGuard {
            record: Rc::clone(self),
        }
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.load.get()
    }

    /// What the router is told of the agent.
    fn spec(&self) -> BackendSpec {
        BackendSpec {
            backend: self.offer.backend.clone(),
            domain: self.offer.domain.clone(),
            concurrency: self.load.get().concurrency,
            condition: if self.is_usable() {
                BackendCondition::Ready {
                    since: self.ready_since.get(),
                }
            } else {
                BackendCondition::Excluded
            },
        }
    }

    fn is_suspect(&self) -> bool {
        !self.load.get().leaving && self.member_state.get() == MemberState::Suspect
    }

    fn is_usable(&self) -> bool {
        !self.load.get().leaving && self.member_state.get().accepts_work()
    }
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        let mut router = self.record.router.borrow_mut();
        router.note_finished(&self.record.offer.backend);
    }
}

/// The agents that offer one model or service.
#[derive(Debug)]
struct OfferAgents {
    records: HashMap<BackendId, Rc<AgentRecord>>,
    router: SharedRouter,
}

/// The agents that the entry knows, by what they offer.
#[derive(Debug)]
pub(crate) struct AgentTable {
    /// The failure domain of the entry.
    domain: DomainId,
    by_kind: HashMap<OfferKind, OfferAgents>,
}

impl AgentTable {
    /// A roster of an entry in `domain` that knows no agent yet.
    pub(crate) fn new(domain: DomainId) -> Self {
        Self {
            domain,
            by_kind: HashMap::new(),
        }
    }

    /// Adds an agent, or replaces the one at its address.
    pub(crate) fn insert(
        &mut self,
        address: SocketAddr,
        offer: BackendOffer,
        load: LoadReport,
        now: TimePoint,
    ) {
        self.retain(|record| record.address != address);
        let domain = &self.domain;
        let agents = self
            .by_kind
            .entry(offer.kind.clone())
            .or_insert_with(|| OfferAgents::new(domain));
        let record = Rc::new(AgentRecord {
            address,
            offer,
            load: Cell::new(load),
            member_state: Cell::new(MemberState::Ramping),
            ready_since: Cell::new(now),
            router: Rc::clone(&agents.router),
        });
        record.note_load(load, now);
        let backend = record.offer.backend.clone();
        agents.records.insert(backend, record);
    }

    /// Chooses an agent that offers `kind` and is not in `tried`.
    ///
    /// One that failed is taken only for want of others: it may be back before a probe
    /// shows it. One that is leaving or stopping gets nothing.
    pub(crate) fn choose(
        &self,
        kind: &OfferKind,
        query: &RouteQuery<'_>,
        now: TimePoint,
        random: &mut impl Rng,
    ) -> Option<Rc<AgentRecord>> {
        let agents = self.by_kind.get(kind)?;
        let chosen = agents.router.borrow_mut().choose(now, query, random);
        if let Some(choice) = chosen {
            return agents.records.get(&choice.backend).map(Rc::clone);
        }
        let suspect = agents
            .records
            .values()
            .filter(|record| record.is_suspect() && !query.tried.contains(&record.offer.backend));
        suspect.choose(random).map(Rc::clone)
    }

    /// Chooses the usable agent that owns the shard of a key, unless it is avoided.
    pub(crate) fn choose_owner(
        &self,
        kind: &OfferKind,
        avoid: &[BackendId],
        layout: &ClaimLayout,
        key: &CallKey,
    ) -> Option<Rc<AgentRecord>> {
        let records = &self.by_kind.get(kind)?.records;
        let is_candidate = |record: &&Rc<AgentRecord>| {
            record.is_usable() && !avoid.contains(&record.offer.backend)
        };
        let candidates = records.values().filter(is_candidate);
        let owner = layout.owner(key, candidates.map(|record| &record.offer.backend))?;
        records.get(owner).map(Rc::clone)
    }

    /// Takes the member table's judgement of every agent, and drops those that are gone.
    pub(crate) fn apply_member_states(&mut self, members: &MemberTable, now: TimePoint) {
        let views = members
            .views(now)
            .map(|view| (&view.descriptor.vm, view))
            .collect::<HashMap<_, _>>();
        self.retain(|record| {
            let view = views.get(&record.offer.vm);
            let view = view.filter(|view| view.descriptor.address == record.address);
            if let Some(view) = view {
                record.apply_member_state(view.state, now);
            }
            view.is_some()
        });
    }

    fn retain(&mut self, mut keep: impl FnMut(&AgentRecord) -> bool) {
        for agents in self.by_kind.values_mut() {
            let router = &agents.router;
            agents.records.retain(|backend, record| {
                let kept = keep(record);
                if !kept {
                    router.borrow_mut().remove_backend(backend);
                }
                kept
            });
        }
    }

    /// Whether an agent on this VM is known.
    pub(crate) fn knows(&self, vm: &VmId) -> bool {
        self.records().any(|record| record.offer.vm == *vm)
    }

    /// Every agent, in no order.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Rc<AgentRecord>> {
        let agents = self.by_kind.values();
        agents.flat_map(|agents| agents.records.values())
    }
}

impl OfferAgents {
    fn new(domain: &DomainId) -> Self {
        let settings = RouterSettings::builder().domain(domain.clone()).build();
        Self {
            records: HashMap::new(),
            router: Rc::new(RefCell::new(BackendRouter::new(settings))),
        }
    }
}
