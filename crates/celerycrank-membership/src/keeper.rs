//! How one process learns the configuration and tells others of it.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_config::Configuration;
use celerycrank_types::{DomainId, Revision, TimePoint, VmId};
use smallvec::SmallVec;

use crate::{
    BootstrapOutcome, BootstrapQuorum, DeltaLog, GateOutcome, PeerFact, PeerVerdict, RevisionGate,
    SpreadPlanner, SpreadTimings, UpdateMessage, WatcherRoster,
};

/// Something that the process must send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperAction {
    /// Tell a peer which revision is in force here.
    Offer(VmId),
    /// Ask a peer for what is newer than the revision in force here.
    Pull(VmId),
    /// Ask a watcher for its configuration, to start without the service.
    Ask(VmId),
}

/// A short list of things to send.
pub type KeeperActions = SmallVec<[KeeperAction; 4]>;

/// The configuration in force at one process, and its part in spreading it.
///
/// The process reads the service when it starts and, if it is a watcher, watches it.
/// A change learnt from anywhere is told to the domains for which it watches.
#[derive(Debug)]
pub struct ConfigurationKeeper {
    own: PeerFact,
    timings: SpreadTimings,
    gate: RevisionGate<Configuration>,
    log: DeltaLog,
    roster: WatcherRoster,
    /// Invariant: one planner for each domain that this process watches for.
    planners: BTreeMap<DomainId, SpreadPlanner>,
    /// Invariant: present only while no configuration is in force.
    quorum: Option<BootstrapQuorum<Configuration>>,
    pull: Option<PendingPull>,
}

/// An update that was asked for.
#[derive(Debug)]
struct PendingPull {
    /// Invariant: newer than the revision in force when it was offered.
    offered: Revision,
    peer: VmId,
    asked_at: TimePoint,
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
            quorum: None,
            pull: None,
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

    /// Begins to start without the service; returns the watchers to ask.
    pub fn begin_bootstrap(&mut self) -> KeeperActions {
        if self.gate.document().is_some() {
            return KeeperActions::new();
        }
        let watchers = self.roster.watchers(&self.own.domain);
        let watchers = watchers
            .iter()
            .filter(|vm| **vm != self.own.vm)
            .cloned()
            .collect::<Vec<_>>();
        self.quorum = Some(BootstrapQuorum::new(&watchers));
        watchers.into_iter().map(KeeperAction::Ask).collect()
    }

    /// Takes a watcher's answer to a start without the service.
    pub fn on_answer(
        &mut self,
        watcher: &VmId,
        revision: Revision,
        configuration: Option<Arc<Configuration>>,
    ) -> KeeperActions {
        let Some(quorum) = &mut self.quorum else {
            return KeeperActions::new();
        };
        quorum.answer(watcher, revision, configuration);
        match quorum.outcome() {
            BootstrapOutcome::Waiting { .. } => KeeperActions::new(),
            BootstrapOutcome::Learnt(_, configuration) => self.adopt(&configuration),
        }
    }

    /// Takes what the service answered or reported.
    pub fn on_service(&mut self, configuration: &Arc<Configuration>) -> KeeperActions {
        self.adopt(configuration)
    }

    /// Takes a peer's word of its revision.
    ///
    /// A process that has learnt nothing pulls from nobody: a single peer may be stale.
    pub fn on_offer(&mut self, peer: &VmId, revision: Revision, now: TimePoint) -> KeeperActions {
        match self.gate.judge(revision) {
            PeerVerdict::SelfBehind if self.gate.document().is_some() => {
                self.pull = Some(PendingPull {
                    offered: revision,
                    peer: peer.clone(),
                    asked_at: now,
                });
                SmallVec::from_iter([KeeperAction::Pull(peer.clone())])
            }
            PeerVerdict::PeerBehind if revision > Revision(0) => {
                SmallVec::from_iter([KeeperAction::Offer(peer.clone())])
            }
            _ => KeeperActions::new(),
        }
    }

    /// What brings a peer from its revision to the one in force, if that is newer.
    #[must_use]
    pub fn on_pull(&self, have: Revision) -> Option<UpdateMessage> {
        let configuration = self.gate.document()?;
        (have < self.gate.revision()).then(|| self.log.update_for(have, configuration))
    }

    /// Takes a peer's answer to a pull.
    ///
    /// A delta that does not fit is dropped; the next offer leads to another pull.
    pub fn on_update(&mut self, update: UpdateMessage) -> KeeperActions {
        let Some(present) = self.gate.document().cloned() else {
            return KeeperActions::new();
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
                reached.map_or_else(|_| KeeperActions::new(), |new| self.adopt(&Arc::new(new)))
            }
        }
    }

    /// The offers whose time has come, and an update to ask for again.
    pub fn on_tick(&mut self, now: TimePoint) -> KeeperActions {
        let due = self
            .planners
            .values_mut()
            .flat_map(|planner| planner.on_tick(now));
        let offers = due.map(KeeperAction::Offer).collect::<KeeperActions>();
        offers.into_iter().chain(self.repeat_pull(now)).collect()
    }

    fn repeat_pull(&mut self, now: TimePoint) -> Option<KeeperAction> {
        let present = self.gate.revision();
        let pull = self.pull.as_mut().filter(|pull| pull.offered > present)?;
        if now.since(pull.asked_at) < self.timings.pull_timeout {
            return None;
        }
        pull.asked_at = now;
        Some(KeeperAction::Pull(pull.peer.clone()))
    }

    fn adopt(&mut self, configuration: &Arc<Configuration>) -> KeeperActions {
        let old = self.gate.document().cloned();
        let revision = configuration.revision;
        if self.gate.offer(revision, Arc::clone(configuration)) != GateOutcome::Adopted {
            return KeeperActions::new();
        }
        self.quorum = None;
        if let Some(old) = old {
            self.log.record(&old, configuration);
        }
        let told = self
            .planners
            .values_mut()
            .flat_map(SpreadPlanner::on_learnt);
        told.cloned().map(KeeperAction::Offer).collect()
    }
}
