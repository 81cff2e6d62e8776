//! What the tasks of a process share about configuration and membership.

use std::{
    cell::{Ref, RefCell},
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use celerycrank_config::Configuration;
use celerycrank_membership::{
    ConfigurationReplica, MemberEvidence, MemberTable, MemberTimings, OfferOutcome,
    OfferReplyAction, OfferTargets, OfferTimings, StopTarget, StopsRecord, UpdateMessage,
    VersionedDocument, VmDescriptor,
};
use celerycrank_process::{CounterFault, MetricSet, ProcessClock};
use celerycrank_types::{Revision, VmId};
use celerycrank_wire::{ConfigurationReply, OfferOrder, PeerOrder, PullOrder, UpdateOrder};
use prometheus::IntCounter;

/// Called with each configuration as it is put in force.
pub type AdoptCallback = Box<dyn Fn(&Arc<Configuration>)>;

/// Counters of configuration and membership.
#[derive(Debug, Clone)]
pub struct SyncCounters {
    /// Configurations put in force.
    pub adopted: IntCounter,
    /// Updates that could not be decoded.
    pub malformed: IntCounter,
    /// Offers made to peers.
    pub offers: IntCounter,
    /// Offers that a peer did not answer.
    pub unanswered: IntCounter,
    /// Calls of the key-value service that failed.
    pub service_errors: IntCounter,
    /// Readings of the VM list that failed.
    pub list_errors: IntCounter,
}

impl SyncCounters {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// Fails if a name is registered already.
    pub fn register(set: &MetricSet) -> Result<Self, CounterFault> {
        let counter =
            |name: &str, help: &str| set.counter(&format!("celerycrank_sync_{name}"), help);
        Ok(Self {
            adopted: counter("adopted_total", "configurations put in force")?,
            malformed: counter("malformed_total", "updates that could not be decoded")?,
            offers: counter("offers_total", "revision offers made to peers")?,
            unanswered: counter("unanswered_total", "revision offers not answered")?,
            service_errors: counter("service_faults_total", "failed key-value calls")?,
            list_errors: counter("list_faults_total", "failed readings of the VM list")?,
        })
    }
}

/// The configuration and the members that a process knows; lives on one arbiter.
pub struct SyncState {
    own: VmDescriptor,
    clock: ProcessClock,
    replica: RefCell<ConfigurationReplica>,
    members: RefCell<MemberTable>,
    stops: RefCell<VersionedDocument<StopsRecord>>,
    own_stop: RefCell<Option<StopTarget>>,
    /// Peers to tell at once of a revision just learnt.
    urgent: RefCell<OfferTargets>,
    adopt: AdoptCallback,
    pub(crate) counters: SyncCounters,
}

impl std::fmt::Debug for SyncState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SyncState")
            .field("own", &self.own)
            .finish_non_exhaustive()
    }
}

impl SyncState {
    /// The state of a process that has learnt nothing yet.
    #[must_use]
    pub fn new(
        own: VmDescriptor,
        clock: ProcessClock,
        counters: SyncCounters,
        adopt: AdoptCallback,
    ) -> Self {
        Self {
            replica: RefCell::new(ConfigurationReplica::new(
                own.peer(),
                OfferTimings::default(),
            )),
            members: RefCell::new(MemberTable::new(MemberTimings::default())),
            stops: RefCell::default(),
            own_stop: RefCell::default(),
            urgent: RefCell::default(),
            own,
            clock,
            adopt,
            counters,
        }
    }

    /// The clock by which members are judged; points of another one must not be mixed in.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// The revision in force; zero before the first configuration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.replica.borrow().revision()
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.replica.borrow().configuration().cloned()
    }

    /// The member table.
    pub fn members(&self) -> Ref<'_, MemberTable> {
        self.members.borrow()
    }

    /// Takes one piece of evidence about a VM.
    pub fn observe(&self, vm: &VmId, evidence: MemberEvidence) {
        let before = self.members.borrow().state(vm);
        self.members
            .borrow_mut()
            .observe(vm, evidence, self.clock.now());
        let after = self.members.borrow().state(vm);
        if before != after {
            tracing::info!(%vm, ?evidence, ?before, ?after, "member changed");
        }
    }

    /// Takes the descriptor of a VM learnt without the list.
    pub fn on_live_vm(&self, descriptor: &VmDescriptor) {
        self.members
            .borrow_mut()
            .on_live_vm(descriptor, self.clock.now());
    }

    /// Takes one reading of the VM list; only entries read it.
    pub fn on_list(&self, descriptors: &[(VmDescriptor, bool)]) {
        let now = self.clock.now();
        self.members.borrow_mut().on_list(descriptors, now);
        let members = self.members.borrow();
        let peers = |entries: bool| {
            let of_kind = members
                .descriptors()
                .filter(move |descriptor| descriptor.role.is_entry() == entries);
            of_kind.map(VmDescriptor::peer).collect::<Vec<_>>()
        };
        let mut entries = peers(true);
        // The list lags: an entry that it does not name yet must not wait to be told.
        if !entries.iter().any(|entry| entry.vm == self.own.vm) {
            entries.push(self.own.peer());
        }
        self.replica
            .borrow_mut()
            .on_peers(&entries, &peers(false), now);
    }

    /// Ends slow starts and begins probes; returns the VMs to probe.
    pub fn tick_members(&self) -> Vec<VmDescriptor> {
        let now = self.clock.now();
        let begun = self.active_stops();
        let mut members = self.members.borrow_mut();
        members.on_stops(&begun, now);
        members.on_tick(now);
        members.probing().cloned().collect()
    }

    /// Takes the planned stops, from the key-value service or from a peer.
    pub fn on_stops(&self, stops: StopsRecord) {
        let revision = Revision(stops.revision);
        let outcome = self.stops.borrow_mut().offer(revision, Arc::new(stops));
        if outcome == OfferOutcome::Adopted {
            tracing::info!(%revision, begun = self.active_stops().len(), "planned stops changed");
        }
    }

    /// The planned stop of this process that has begun, as of the last look.
    #[must_use]
    pub fn own_stop(&self) -> Option<StopTarget> {
        self.own_stop.borrow().clone()
    }

    /// Whether a planned stop of this process has begun, as of the last look.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.own_stop.borrow().is_some()
    }

    /// Looks whether a planned stop of this process has begun.
    pub fn update_own_stop(&self) {
        let stop = self
            .active_stops()
            .into_iter()
            .find(|target| target.covers(&self.own));
        let before = self.own_stop.replace(stop);
        match (&before, &*self.own_stop.borrow()) {
            (None, Some(target)) => tracing::info!(%target, "planned stop begins"),
            (Some(target), None) => tracing::info!(%target, "planned stop is withdrawn"),
            _ => {}
        }
    }

    fn active_stops(&self) -> Vec<StopTarget> {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        let seconds = elapsed.map_or(0, |elapsed| elapsed.as_secs());
        let stops = self.stops.borrow();
        stops
            .document()
            .map(|stops| stops.active_targets(seconds))
            .unwrap_or_default()
    }

    fn newer_stops(&self, peer: Revision) -> Option<Bytes> {
        let stops = self.stops.borrow();
        let known = stops
            .document()
            .filter(|stops| Revision(stops.revision) > peer)?;
        Some(
            serde_json::to_vec(&**known)
                .expect("stops always have a JSON form")
                .into(),
        )
    }

    fn apply_stops(&self, stops: Option<&Bytes>) {
        let Some(stops) = stops else { return };
        match serde_json::from_slice(stops) {
            Ok(stops) => self.on_stops(stops),
            Err(_) => self.counters.malformed.inc(),
        }
    }

    /// Takes what the key-value service holds.
    pub fn on_stored_configuration(&self, configuration: &Arc<Configuration>) {
        self.update_replica(|replica| replica.on_stored_configuration(configuration));
    }

    /// Whether the process reads the key-value service at present.
    #[must_use]
    pub fn reads_service(&self) -> bool {
        let replica = self.replica.borrow();
        replica.configuration().is_none() || replica.is_watcher()
    }

    /// Whether the process watches the key-value service.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.replica.borrow().is_watcher()
    }

    /// What brings a peer to the revision in force, as JSON, if the peer is behind.
    #[must_use]
    pub fn update_for(&self, peer: Revision) -> Option<Bytes> {
        self.replica
            .borrow()
            .update_for(peer)
            .as_ref()
            .map(encode_update)
    }

    /// Takes an update that came with a refusal or answered a pull.
    pub fn on_update(&self, update: &Bytes) {
        if let Some(update) = self.decode_update(update) {
            self.update_replica(|replica| replica.on_update(update));
        }
    }

    /// Answers a watcher's offer.
    #[must_use]
    pub fn answer_offer(&self, _order: &OfferOrder) -> ConfigurationReply {
        self.reply(None, None)
    }

    /// Answers a watcher's update.
    #[must_use]
    pub fn answer_update(&self, order: &UpdateOrder) -> ConfigurationReply {
        self.apply_stops(order.stops.as_ref());
        let update = order
            .update
            .as_ref()
            .and_then(|update| self.decode_update(update));
        if let Some(update) = update {
            let watchers = usize::from(order.watchers);
            self.update_replica(|replica| replica.on_push(&order.watcher, watchers, update));
        }
        self.reply(None, None)
    }

    /// Answers a pull.
    #[must_use]
    pub fn answer_pull(&self, order: &PullOrder) -> ConfigurationReply {
        self.reply(
            self.update_for(order.revision),
            self.newer_stops(order.stops),
        )
    }

    fn reply(&self, configuration: Option<Bytes>, stop_list: Option<Bytes>) -> ConfigurationReply {
        ConfigurationReply {
            revision: self.revision(),
            configuration,
            stops: self.stops.borrow().revision(),
            stop_list,
        }
    }

    /// What a watcher sends after a peer's answer to its offer, if anything.
    pub(crate) fn follow_up(
        &self,
        peer: &VmDescriptor,
        reply: &ConfigurationReply,
    ) -> Option<PeerOrder<'_>> {
        let stops = self.stops.borrow().revision();
        let follow_up = self.replica.borrow().on_offer_reply(reply.revision);
        let update = match follow_up {
            OfferReplyAction::Push(update) => Some(encode_update(&update)),
            OfferReplyAction::Nothing => None,
            OfferReplyAction::Pull => return Some(PeerOrder::Pull(self.pull())),
        };
        if reply.stops > stops {
            return Some(PeerOrder::Pull(self.pull()));
        }
        let stops = self.newer_stops(reply.stops);
        if update.is_none() && stops.is_none() {
            return None;
        }
        let watchers = self.replica.borrow().watcher_count(&peer.domain);
        Some(PeerOrder::Update(UpdateOrder {
            watcher: self.own.vm.clone(),
            watchers: u8::try_from(watchers).unwrap_or(u8::MAX),
            update,
            stops,
        }))
    }

    /// Takes the answer to whatever followed an offer.
    pub(crate) fn on_reply(&self, reply: &ConfigurationReply) {
        self.apply_stops(reply.stop_list.as_ref());
        if let Some(update) = &reply.configuration {
            self.on_update(update);
        }
    }

    fn pull(&self) -> PullOrder {
        PullOrder {
            revision: self.revision(),
            stops: self.stops.borrow().revision(),
        }
    }

    /// The peers that an offer is due to, with their addresses.
    pub(crate) fn due_offers(&self) -> Vec<VmDescriptor> {
        let mut due = std::mem::take(&mut *self.urgent.borrow_mut());
        due.extend(self.replica.borrow_mut().on_tick(self.clock.now()));
        let members = self.members.borrow();
        due.iter()
            .filter_map(|vm| members.descriptor(vm).cloned())
            .collect()
    }

    pub(crate) fn offer(&self) -> OfferOrder {
        OfferOrder {
            watcher: self.own.vm.clone(),
            revision: self.revision(),
            stops: self.stops.borrow().revision(),
        }
    }

    fn decode_update(&self, update: &Bytes) -> Option<UpdateMessage> {
        let decoded = serde_json::from_slice(update).ok();
        if decoded.is_none() {
            self.counters.malformed.inc();
        }
        decoded
    }

    fn update_replica(&self, step: impl FnOnce(&mut ConfigurationReplica) -> OfferTargets) {
        let before = self.revision();
        let targets = step(&mut self.replica.borrow_mut());
        self.urgent.borrow_mut().extend(targets);
        let Some(configuration) = self.configuration().filter(|now| now.revision > before) else {
            return;
        };
        self.counters.adopted.inc();
        tracing::info!(revision = %configuration.revision, "configuration in force");
        (self.adopt)(&configuration);
    }
}

fn encode_update(update: &UpdateMessage) -> Bytes {
    serde_json::to_vec(update)
        .expect("an update always has a JSON form")
        .into()
}
