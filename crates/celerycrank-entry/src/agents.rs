//! The agents known to the entry, and the selection among them.

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

/// The router of one model or service, which the records of its agents share.
type SharedRouter = Rc<RefCell<BackendRouter>>;

/// The state of one agent as known to the entry.
#[derive(Debug)]
pub(crate) struct AgentRecord {
    pub(crate) address: SocketAddr,
    pub(crate) offer: BackendOffer,
    load: Cell<LoadReport>,
    /// State of the agent's VM in the member table.
    member_state: Cell<MemberState>,
    /// Start of the current period in which the agent accepts work.
    ready_since: Cell<TimePoint>,
    router: SharedRouter,
}

/// Counts a request as in flight at its agent until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    record: Rc<AgentRecord>,
}

impl AgentRecord {
    /// Updates the load that the agent reported.
    pub(crate) fn update_load(&self, load: LoadReport, now: TimePoint) {
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

    /// State of the agent's VM in the member table.
    pub(crate) fn member_state(&self) -> MemberState {
        self.member_state.get()
    }

    /// Applies the state of the agent's VM in the member table.
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

    /// Counts a request as in flight at the agent until the returned guard is dropped.
    pub(crate) fn track_request(self: &Rc<Self>, prefix: &PromptPrefix) -> InFlightGuard {
        let mut router = self.router.borrow_mut();
        router.note_sent(&self.offer.backend, prefix);
        InFlightGuard {
            record: Rc::clone(self),
        }
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.load.get()
    }

    /// Builds the router's description of the agent.
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

impl Drop for InFlightGuard {
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

/// The agents known to the entry, by what they offer.
#[derive(Debug)]
pub(crate) struct AgentTable {
    /// The failure domain of the entry.
    domain: DomainId,
    by_kind: HashMap<OfferKind, OfferAgents>,
}

impl AgentTable {
    /// Creates an empty table for an entry in the failure domain `domain`.
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
        record.update_load(load, now);
        let backend = record.offer.backend.clone();
        agents.records.insert(backend, record);
    }

    /// Chooses an agent that offers `kind` and is not in `query.tried`.
    ///
    /// A suspect agent is chosen only if there is no other: it may have recovered before the
    /// next probe detects it. An agent that is leaving or stopping is never chosen.
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
        let suspects = agents
            .records
            .values()
            .filter(|record| record.is_suspect() && !query.tried.contains(&record.offer.backend));
        suspects.choose(random).map(Rc::clone)
    }

    /// Chooses the agent that owns the shard of a key, among the usable agents that are not in
    /// `tried`.
    pub(crate) fn choose_owner(
        &self,
        kind: &OfferKind,
        tried: &[BackendId],
        layout: &ClaimLayout,
        key: &CallKey,
    ) -> Option<Rc<AgentRecord>> {
        let records = &self.by_kind.get(kind)?.records;
        let is_candidate = |record: &&Rc<AgentRecord>| {
            record.is_usable() && !tried.contains(&record.offer.backend)
        };
        let candidates = records.values().filter(is_candidate);
        let owner = layout.owner(key, candidates.map(|record| &record.offer.backend))?;
        records.get(owner).map(Rc::clone)
    }

    /// Applies the member table's states to all agents and removes those that it no longer
    /// contains.
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

    /// Whether the table contains an agent on this VM.
    pub(crate) fn contains_vm(&self, vm: &VmId) -> bool {
        self.records().any(|record| record.offer.vm == *vm)
    }

    /// Returns all agents in arbitrary order.
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
