//! How one process learns the configuration and tells others of it.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_config::Configuration;
use celerycrank_types::{DomainId, Revision, TimePoint, VmId};
use smallvec::SmallVec;

use crate::{
    BootstrapOutcome, BootstrapQuorum, DeltaLog, OfferOutcome, OfferScheduler, OfferTimings,
    PeerDescriptor, RevisionComparison, UpdateMessage, VersionedDocument, WatcherAssignments,
};

/// The peers to tell which revision is in force here.
pub type OfferTargets = SmallVec<[VmId; 4]>;

/// What a watcher does after a peer has named its own revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferReplyAction {
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
pub struct ConfigurationReplica {
    own: PeerDescriptor,
    timings: OfferTimings,
    gate: VersionedDocument<Configuration>,
    log: DeltaLog,
    assignments: WatcherAssignments,
    /// Invariant: one planner for each domain that this process watches for.
    planners: BTreeMap<DomainId, OfferScheduler>,
    /// Invariant: collects answers only while no configuration is in force.
    quorum: BootstrapQuorum<Configuration>,
}

impl ConfigurationReplica {
    /// A replica of a process that has learnt nothing yet.
    #[must_use]
    pub fn new(own: PeerDescriptor, timings: OfferTimings) -> Self {
        Self {
            own,
            timings,
            gate: VersionedDocument::new(),
            log: DeltaLog::default(),
            assignments: WatcherAssignments::default(),
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
    pub fn compare_revision(&self, peer: Revision) -> RevisionComparison {
        self.gate.compare_revision(peer)
    }

    /// Whether this process watches the service.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        !self.planners.is_empty()
    }

    /// How many entries watch for the domain of a peer.
    #[must_use]
    pub fn watcher_count(&self, domain: &DomainId) -> usize {
        self.assignments.watchers(domain).len()
    }

    /// Takes the present entries and everyone else, as the VM list names them.
    pub fn on_peers(
        &mut self,
        entries: &[PeerDescriptor],
        agents: &[PeerDescriptor],
        now: TimePoint,
    ) {
        let everyone = entries.iter().chain(agents);
        let mut domains = everyone
            .clone()
            .map(|peer| peer.domain.clone())
            .collect::<Vec<_>>();
        domains.sort_unstable();
        domains.dedup();
        self.assignments = WatcherAssignments::compute(entries, &domains);
        let duties = self
            .assignments
            .domain_ranks(&self.own.vm)
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
            let planner = planner.or_insert_with(|| OfferScheduler::new(self.timings, rank, now));
            planner.set_peers(peers.collect());
        }
    }

    /// Takes what the service answered or reported; returns whom to tell at once.
    pub fn on_stored_configuration(&mut self, configuration: &Arc<Configuration>) -> OfferTargets {
        self.adopt(configuration)
    }

    /// What follows an offer to which a peer answered with its own revision.
    #[must_use]
    pub fn on_offer_reply(&self, peer: Revision) -> OfferReplyAction {
        match self.gate.compare_revision(peer) {
            RevisionComparison::PeerBehind => self
                .update_for(peer)
                .map_or(OfferReplyAction::Nothing, OfferReplyAction::Push),
            RevisionComparison::SelfBehind => OfferReplyAction::Pull,
            RevisionComparison::Equal | RevisionComparison::BothEmpty => OfferReplyAction::Nothing,
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
        self.quorum.record_answer(
            from,
            watchers,
            configuration.revision,
            Arc::new(configuration),
        );
        match self.quorum.outcome() {
            BootstrapOutcome::Waiting { .. } => OfferTargets::new(),
            BootstrapOutcome::QuorumReached(_, configuration) => self.adopt(&configuration),
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
        if self.gate.offer(revision, Arc::clone(configuration)) != OfferOutcome::Adopted {
            return OfferTargets::new();
        }
        if let Some(old) = old {
            self.log.record(&old, configuration);
        }
        self.planners
            .values_mut()
            .flat_map(OfferScheduler::on_new_revision)
            .cloned()
            .collect()
    }
}
