//! The agents that the entry knows, and the choice among them.

use std::{cell::Cell, collections::HashMap, net::SocketAddr, rc::Rc};

use celerycrank_membership::{MemberState, MemberTable, RampWeight};
use celerycrank_requests::{CallKey, ClaimLayout};
use celerycrank_types::{BackendId, TimePoint, VmId};
use celerycrank_wire::{BackendOffer, LoadReport, OfferKind};
use rand::Rng;
use smallvec::SmallVec;

/// One agent, as the entry sees it.
#[derive(Debug)]
pub(crate) struct AgentRecord {
    pub(crate) address: SocketAddr,
    pub(crate) offer: BackendOffer,
    load: Cell<LoadReport>,
    /// Requests of this entry that the agent has.
    outstanding: Cell<u32>,
    /// How the member table judges the agent's VM.
    standing: Cell<MemberState>,
    weight: Cell<RampWeight>,
}

/// A request that an agent has, until it is dropped.
#[derive(Debug)]
pub(crate) struct OutstandingGuard {
    record: Rc<AgentRecord>,
}

impl AgentRecord {
    /// Notes how busy the agent said it is.
    pub(crate) fn note_load(&self, load: LoadReport) {
        self.load.set(load);
    }

    /// How the member table judges the agent's VM.
    pub(crate) fn standing(&self) -> MemberState {
        self.standing.get()
    }

    /// Takes the member table's judgement.
    pub(crate) fn judge(&self, standing: MemberState, weight: RampWeight) {
        self.standing.set(standing);
        self.weight.set(weight);
    }

    /// Counts a request as handed to the agent.
    pub(crate) fn hand_out(self: &Rc<Self>) -> OutstandingGuard {
        self.outstanding.set(self.outstanding.get() + 1);
        OutstandingGuard {
            record: Rc::clone(self),
        }
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.load.get()
    }

    /// How busy the agent is, for comparison with others; one that starts slowly counts
    /// as busier.
    fn pressure(&self) -> u64 {
        let load = self.load.get();
        let requests = self.outstanding.get().max(load.running + load.queued);
        let weight = self.weight.get().thousandths().max(1);
        u64::from(requests + 1) * u64::from(RampWeight::FULL.thousandths()) / u64::from(weight)
    }

    fn is_suspect(&self) -> bool {
        !self.load.get().leaving && self.standing.get() == MemberState::Suspect
    }

    fn is_usable(&self) -> bool {
        !self.load.get().leaving && self.standing.get().takes_work()
    }
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        let outstanding = &self.record.outstanding;
        outstanding.set(outstanding.get() - 1);
    }
}

/// The agents that the entry knows, by what they offer.
#[derive(Debug, Default)]
pub(crate) struct AgentRoster {
    by_kind: HashMap<OfferKind, Vec<Rc<AgentRecord>>>,
}

impl AgentRoster {
    /// Adds an agent, or replaces the one at its address.
    pub(crate) fn insert(&mut self, address: SocketAddr, offer: BackendOffer, load: LoadReport) {
        for records in self.by_kind.values_mut() {
            records.retain(|record| record.address != address);
        }
        let records = self.by_kind.entry(offer.kind.clone()).or_default();
        records.push(Rc::new(AgentRecord {
            address,
            offer,
            load: Cell::new(load),
            outstanding: Cell::new(0),
            standing: Cell::new(MemberState::Ramping),
            weight: Cell::new(RampWeight::FULL),
        }));
    }

    /// Chooses the less busy of two random agents that offer `kind`.
    ///
    /// Agents in `tried` are left out; failed or leaving ones are taken only for want of
    /// others.
    pub(crate) fn choose(
        &self,
        kind: &OfferKind,
        tried: &[BackendId],
        random: &mut impl Rng,
    ) -> Option<Rc<AgentRecord>> {
        let records = self.by_kind.get(kind)?;
        let untried = records
            .iter()
            .filter(|record| !tried.contains(&record.offer.backend));
        let untried = untried.collect::<SmallVec<[_; 32]>>();
        let usable = untried.iter().copied().filter(|record| record.is_usable());
        let usable = usable.collect::<SmallVec<[_; 32]>>();
        // A member that failed may be back before a probe shows it; one that is leaving or
        // stopping gets nothing.
        let pool = if usable.is_empty() {
            let suspect = untried.iter().copied().filter(|record| record.is_suspect());
            suspect.collect()
        } else {
            usable
        };
        if pool.is_empty() {
            return None;
        }
        let first = pool[random.random_range(0..pool.len())];
        let second = pool[random.random_range(0..pool.len())];
        let best = if second.pressure() < first.pressure() {
            second
        } else {
            first
        };
        Some(Rc::clone(best))
    }

    /// Chooses the usable agent that owns the shard of a key, unless it is avoided.
    pub(crate) fn choose_owner(
        &self,
        kind: &OfferKind,
        avoid: &[BackendId],
        layout: &ClaimLayout,
        key: &CallKey,
    ) -> Option<Rc<AgentRecord>> {
        let records = self.by_kind.get(kind)?;
        let is_candidate = |record: &&Rc<AgentRecord>| {
            record.is_usable() && !avoid.contains(&record.offer.backend)
        };
        let candidates = records.iter().filter(is_candidate);
        let owner = layout.owner(key, candidates.map(|record| &record.offer.backend))?;
        let record = records
            .iter()
            .find(|record| record.offer.backend == *owner)?;
        Some(Rc::clone(record))
    }

    /// Takes the member table's judgement of every agent, and drops those that are gone.
    pub(crate) fn judge_all(&mut self, members: &MemberTable, now: TimePoint) {
        let views = members
            .views(now)
            .map(|view| (&view.fact.vm, view))
            .collect::<HashMap<_, _>>();
        for records in self.by_kind.values_mut() {
            records.retain(|record| {
                let view = views.get(&record.offer.vm);
                let view = view.filter(|view| view.fact.address == record.address);
                if let Some(view) = view {
                    record.judge(view.state, view.weight);
                }
                view.is_some()
            });
        }
    }

    /// Whether an agent on this VM is known.
    pub(crate) fn knows(&self, vm: &VmId) -> bool {
        self.records().any(|record| record.offer.vm == *vm)
    }

    /// Every agent, in no order.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Rc<AgentRecord>> {
        self.by_kind.values().flatten()
    }
}
