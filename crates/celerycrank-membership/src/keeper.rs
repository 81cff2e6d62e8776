//! How one process learns the configuration and tells others of it.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_config::Configuration;
use celerycrank_types::{DomainId, Revision, TimePoint, VmId};
use smallvec::SmallVec;

use crate::{
    BootstrapOutcome, BootstrapQuorum, DeltaLog, GateOutcome, PeerFact, PeerVerdict, RevisionGate,
    SpreadPlanner, SpreadTimings, UpdateMessage, WatcherRoster,
};

/// The peers to tell which revision is in force here.
pub type OfferTargets = SmallVec<[VmId; 4]>;

/// What a watcher does after a peer has named its own revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferFollowUp {
    /// Both act under one revision.
    Nothing,
    /// The peer is behind: send it this.
    Push(UpdateMessage),
    /// The peer is ahead: ask it for what is newer.
    Pull,
}

/// The configuration in force at one process, and its part in spreading it.
///
/// The process reads the service when it starts and, if it is a watcher, watches it. A
/// change learnt from anywhere is offered to the domains for which it watches. Offers
/// and what follows them are begun by watchers alone; other processes only answer.
#[derive(Debug)]
pub struct ConfigurationKeeper {
    own: PeerFact,
    timings: SpreadTimings,
    gate: RevisionGate<Configuration>,
    log: DeltaLog,
    roster: WatcherRoster,
    /// Invariant: one planner for each domain that this process watches for.
    planners: BTreeMap<DomainId, SpreadPlanner>,
    /// Invariant: collects answers only while no configuration is in force.
    quorum: BootstrapQuorum<Configuration>,
}

impl ConfigurationKeeper {
    /// A keeper of a process that has learnt nothing yet.
    #[must_use]
    pub fn new(own: PeerFact, timings: SpreadTimings) -> Self {
        Self {
            own,
            timings,
            gate: RevisionGate::new(),
            log: DeltaLog::default(),
            roster: WatcherRoster::default(),
            planners: BTreeMap::new(),
            quorum: BootstrapQuorum::default(),
        }
    }

    /// The revision in force; zero before the first configuration.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.gate.revision()
    }

    /// The configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.gate.document()
    }

    /// Compares the revision that a message carries with the one in force.
    #[must_use]
    pub fn judge(&self, peer: Revision) -> PeerVerdict {
        self.gate.judge(peer)
    }

    /// Whether this process watches the service.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        !self.planners.is_empty()
    }

    /// How many entries watch for the domain of a peer.
    #[must_use]
    pub fn watchers_of(&self, domain: &DomainId) -> usize {
        self.roster.watchers(domain).len()
    }

    /// Takes the present entries and everyone else, as the VM list names them.
    pub fn on_peers(&mut self, entries: &[PeerFact], agents: &[PeerFact], now: TimePoint) {
        let everyone = entries.iter().chain(agents);
        let mut domains = everyone
            .clone()
            .map(|peer| peer.domain.clone())
            .collect::<Vec<_>>();
        domains.sort_unstable();
        domains.dedup();
        self.roster = WatcherRoster::compute(entries, &domains);
        let duties = self
            .roster
            .duties(&self.own.vm)
            .map(|(domain, rank)| (domain.clone(), rank));
        let duties = duties.collect::<BTreeMap<_, _>>();
        self.planners
            .retain(|domain, planner| duties.get(domain) == Some(&planner.rank()));
        for (domain, rank) in duties {
            let peers = everyone
                .clone()
                .filter(|peer| peer.domain == domain && peer.vm != self.own.vm)
                .map(|peer| peer.vm.clone());
            let planner = self.planners.entry(domain.clone());
            let planner = planner.or_insert_with(|| SpreadPlanner::new(self.timings, rank, now));
            planner.set_peers(peers.collect());
        }
    }

    /// Takes what the service answered or reported; returns whom to tell at once.
    pub fn on_service(&mut self, configuration: &Arc<Configuration>) -> OfferTargets {
        self.adopt(configuration)
    }

    /// What follows an offer to which a peer answered with its own revision.
    #[must_use]
    pub fn on_offer_reply(&self, peer: Revision) -> OfferFollowUp {
        match self.gate.judge(peer) {
            PeerVerdict::PeerBehind => self
                .update_for(peer)
                .map_or(OfferFollowUp::Nothing, OfferFollowUp::Push),
            PeerVerdict::SelfBehind => OfferFollowUp::Pull,
            PeerVerdict::Equal | PeerVerdict::BothEmpty => OfferFollowUp::Nothing,
        }
    }

    /// What brings a peer from its revision to the one in force, if that is newer.
    #[must_use]
    pub fn update_for(&self, peer: Revision) -> Option<UpdateMessage> {
        let configuration = self.gate.document()?;
        (peer < self.gate.revision()).then(|| self.log.update_for(peer, configuration))
    }

    /// Takes an update that watcher `from` pushed, one of `watchers` of this domain.
    ///
    /// A process that has learnt nothing waits for a majority of them. A delta that does
    /// not fit is dropped; the next offer leads to another.
    pub fn on_push(&mut self, from: &VmId, watchers: usize, update: UpdateMessage) -> OfferTargets {
        if self.gate.document().is_some() {
            return self.on_update(update);
        }
        let UpdateMessage::Whole(configuration) = update else {
            return OfferTargets::new();
        };
        self.quorum.answer(
            from,
            watchers,
            configuration.revision,
            Arc::new(configuration),
        );
        match self.quorum.outcome() {
            BootstrapOutcome::Waiting { .. } => OfferTargets::new(),
            BootstrapOutcome::Learnt(_, configuration) => self.adopt(&configuration),
        }
    }

    /// Takes the answer to a pull, or an update beside a refusal.
    ///
    /// A process that has learnt nothing drops it: a single peer may be stale.
    pub fn on_update(&mut self, update: UpdateMessage) -> OfferTargets {
        let Some(present) = self.gate.document().cloned() else {
            return OfferTargets::new();
        };
        match update {
            UpdateMessage::Whole(configuration) => self.adopt(&Arc::new(configuration)),
            UpdateMessage::Deltas(deltas) => {
                let reached = deltas
                    .iter()
                    .skip_while(|delta| delta.base < present.revision)
                    .try_fold(Configuration::clone(&present), |old, delta| {
                        delta.apply(&old)
                    });
                reached.map_or_else(|_| OfferTargets::new(), |new| self.adopt(&Arc::new(new)))
            }
        }
    }

    /// The peers whose turn for an offer has come.
    pub fn on_tick(&mut self, now: TimePoint) -> OfferTargets {
        self.planners
            .values_mut()
            .flat_map(|planner| planner.on_tick(now))
            .collect()
    }

    fn adopt(&mut self, configuration: &Arc<Configuration>) -> OfferTargets {
        let old = self.gate.document().cloned();
        let revision = configuration.revision;
        if self.gate.offer(revision, Arc::clone(configuration)) != GateOutcome::Adopted {
            return OfferTargets::new();
        }
        if let Some(old) = old {
            self.log.record(&old, configuration);
        }
        self.planners
            .values_mut()
            .flat_map(SpreadPlanner::on_learnt)
            .cloned()
            .collect()
    }
}
