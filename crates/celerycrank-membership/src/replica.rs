//! A process's replica of the configuration and its part in propagating changes.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_config::Configuration;
use celerycrank_types::{DomainId, Revision, TimePoint, VmId};
use smallvec::SmallVec;

use crate::{
    AdoptOutcome, BootstrapOutcome, BootstrapQuorum, DeltaLog, OfferScheduler, OfferTimings,
    PeerDescriptor, RevisionComparison, UpdateMessage, VersionedDocument, WatcherAssignments,
};

/// The peers to which the local revision is offered.
pub type OfferTargets = SmallVec<[VmId; 4]>;

/// What a watcher does after a peer has replied to an offer with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferReplyAction {
    /// Both have the same revision.
    Nothing,
    /// The peer has an older revision: send it this update.
    Push(UpdateMessage),
    /// The peer has a newer revision: request an update from it.
    Pull,
}

/// The configuration in force at one process.
///
/// The process reads the configuration from the key-value service when it starts and, if
/// it is a watcher, keeps watching it there. It offers every change, whatever its source, to the
/// domains that it watches for. Only watchers initiate offers, pushes and pulls; other
/// processes only answer them.
#[derive(Debug)]
pub struct ConfigurationReplica {
    own: PeerDescriptor,
    timings: OfferTimings,
    current: VersionedDocument<Configuration>,
    log: DeltaLog,
    assignments: WatcherAssignments,
    /// Invariant: one scheduler for each domain that this process watches for.
    schedulers: BTreeMap<DomainId, OfferScheduler>,
    /// Invariant: collects answers only while no configuration is in force.
    quorum: BootstrapQuorum<Configuration>,
}

impl ConfigurationReplica {
    /// Creates a replica without a configuration.
    #[must_use]
    pub fn new(own: PeerDescriptor, timings: OfferTimings) -> Self {
        Self {
            own,
            timings,
            current: VersionedDocument::new(),
            log: DeltaLog::default(),
            assignments: WatcherAssignments::default(),
            schedulers: BTreeMap::new(),
            quorum: BootstrapQuorum::default(),
        }
    }

    /// The revision in force; zero if there is no configuration yet.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.current.revision()
    }

    /// The configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.current.document()
    }

    /// Compares the revision in a peer's message with the one in force.
    #[must_use]
    pub fn compare_revision(&self, peer: Revision) -> RevisionComparison {
        self.current.compare_revision(peer)
    }

    /// Whether this process watches the key-value service.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        !self.schedulers.is_empty()
    }

    /// Number of entries that watch for a failure domain.
    #[must_use]
    pub fn watcher_count(&self, domain: &DomainId) -> usize {
        self.assignments.watchers(domain).len()
    }

    /// Updates the entries and agents to those of the current VM list.
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
        let positions = self
            .assignments
            .domain_positions(&self.own.vm)
            .map(|(domain, position)| (domain.clone(), position));
        let positions = positions.collect::<BTreeMap<_, _>>();
        self.schedulers
            .retain(|domain, scheduler| positions.get(domain) == Some(&scheduler.position()));
        for (domain, position) in positions {
            let peers = everyone
                .clone()
                .filter(|peer| peer.domain == domain && peer.vm != self.own.vm)
                .map(|peer| peer.vm.clone());
            let scheduler = self.schedulers.entry(domain.clone());
            let scheduler =
                scheduler.or_insert_with(|| OfferScheduler::new(self.timings, position, now));
            scheduler.set_peers(peers.collect());
        }
    }

    /// Applies a configuration that was read from the key-value service, and returns the peers
    /// to offer it to immediately.
    pub fn on_stored_configuration(&mut self, configuration: &Arc<Configuration>) -> OfferTargets {
        self.adopt(configuration)
    }

    /// Decides what to do after a peer replied to an offer with its revision.
    #[must_use]
    pub fn on_offer_reply(&self, peer: Revision) -> OfferReplyAction {
        match self.current.compare_revision(peer) {
            RevisionComparison::PeerBehind => self
                .update_for(peer)
                .map_or(OfferReplyAction::Nothing, OfferReplyAction::Push),
            RevisionComparison::SelfBehind => OfferReplyAction::Pull,
            RevisionComparison::Equal | RevisionComparison::BothEmpty => OfferReplyAction::Nothing,
        }
    }

    /// Returns the update from a peer's revision to the one in force, if the latter is newer.
    #[must_use]
    pub fn update_for(&self, peer: Revision) -> Option<UpdateMessage> {
        let configuration = self.current.document()?;
        (peer < self.current.revision()).then(|| self.log.update_for(peer, configuration))
    }

    /// Applies an update pushed by watcher `from`; `watchers` is the number of watchers for this
    /// process's failure domain.
    ///
    /// A process without a configuration waits for a majority of the watchers. A delta that
    /// can't be applied is dropped, since the next offer leads to another update.
    pub fn on_push(&mut self, from: &VmId, watchers: usize, update: UpdateMessage) -> OfferTargets {
        if self.current.document().is_some() {
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

    /// Applies the answer to a pull, or an update that came with a refusal.
    ///
    /// A process without a configuration drops the update, since a single peer may be stale.
    pub fn on_update(&mut self, update: UpdateMessage) -> OfferTargets {
        let Some(old) = self.current.document().cloned() else {
            return OfferTargets::new();
        };
        match update {
            UpdateMessage::Whole(configuration) => self.adopt(&Arc::new(configuration)),
            UpdateMessage::Deltas(deltas) => {
                let reached = deltas
                    .iter()
                    .skip_while(|delta| delta.base < old.revision)
                    .try_fold(Configuration::clone(&old), |configuration, delta| {
                        delta.apply(&configuration)
                    });
                reached.map_or_else(|_| OfferTargets::new(), |new| self.adopt(&Arc::new(new)))
            }
        }
    }

    /// The peers that are due for an offer.
    pub fn on_tick(&mut self, now: TimePoint) -> OfferTargets {
        self.schedulers
            .values_mut()
            .flat_map(|scheduler| scheduler.on_tick(now))
            .collect()
    }

    fn adopt(&mut self, configuration: &Arc<Configuration>) -> OfferTargets {
        let old = self.current.document().cloned();
        let revision = configuration.revision;
        if self
            .current
            .adopt_if_newer(revision, Arc::clone(configuration))
            != AdoptOutcome::Adopted
        {
            return OfferTargets::new();
        }
        if let Some(old) = old {
            self.log.record(&old, configuration);
        }
        self.schedulers
            .values_mut()
            .flat_map(OfferScheduler::on_new_revision)
            .cloned()
            .collect()
    }
}
