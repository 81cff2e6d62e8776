//! Configuration and membership state shared by the tasks of a process.

use std::{
    cell::{Ref, RefCell},
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use celerycrank_config::Configuration;
use celerycrank_membership::{
    AdoptOutcome, ConfigurationReplica, MemberEvidence, MemberTable, MemberTimings,
    OfferReplyAction, OfferTargets, OfferTimings, StopTarget, StopsRecord, UpdateMessage,
    VersionedDocument, VmDescriptor,
};
use celerycrank_process::{MetricError, MetricSet, ProcessClock};
use celerycrank_types::{Revision, VmId};
use celerycrank_wire::{ConfigurationReply, OfferOrder, PeerOrder, PullOrder, UpdateOrder};
use prometheus::IntCounter;

/// Called with each new configuration when it comes into force.
pub type AdoptCallback = Box<dyn Fn(&Arc<Configuration>)>;

/// Metrics of configuration and membership.
#[derive(Debug, Clone)]
pub struct SyncCounters {
    /// Configurations put in force.
    pub adopted: IntCounter,
    /// Updates that could not be decoded.
    pub malformed: IntCounter,
    /// Offers sent to peers.
    pub offers: IntCounter,
    /// Offers that a peer did not answer.
    pub unanswered: IntCounter,
    /// Failed calls to the key-value service.
    pub service_errors: IntCounter,
    /// Failed reads of the VM list.
    pub list_errors: IntCounter,
}

impl SyncCounters {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// Fails if a counter is already registered under one of the names.
    pub fn register(set: &MetricSet) -> Result<Self, MetricError> {
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

/// The configuration and the members known to a process; used by a single actix arbiter.
pub struct SyncState {
    own: VmDescriptor,
    clock: ProcessClock,
    replica: RefCell<ConfigurationReplica>,
    members: RefCell<MemberTable>,
    stops: RefCell<VersionedDocument<StopsRecord>>,
    own_stop: RefCell<Option<StopTarget>>,
    /// Peers that must be offered a new revision without delay.
    urgent: RefCell<OfferTargets>,
    on_adopted: AdoptCallback,
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
    /// Creates the state of a process that has no configuration and knows no members.
    #[must_use]
    pub fn new(
        own: VmDescriptor,
        clock: ProcessClock,
        counters: SyncCounters,
        on_adopted: AdoptCallback,
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
            on_adopted,
            counters,
        }
    }

    /// Returns the clock of the member table, whose time points must not be mixed with those of
    /// another clock.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Returns the revision in force; zero before the first configuration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.replica.borrow().revision()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.replica.borrow().configuration().cloned()
    }

    /// Borrows the member table.
    pub fn members(&self) -> Ref<'_, MemberTable> {
        self.members.borrow()
    }

    /// Applies evidence about the state of a VM to the member table.
    pub fn observe(&self, vm: &VmId, evidence: MemberEvidence) {
        let before = self.members.borrow().state(vm);
        self.members
            .borrow_mut()
            .observe(vm, evidence, self.clock.now());
        let after = self.members.borrow().state(vm);
        if before != after {
            tracing::info!(%vm, ?evidence, ?before, ?after, "member state changed");
        }
    }

    /// Adds a live VM to the member table, as described by its agent rather than by the VM list.
    pub fn on_live_vm(&self, descriptor: &VmDescriptor) {
        self.members
            .borrow_mut()
            .on_live_vm(descriptor, self.clock.now());
    }

    /// Applies one read of the VM list; only entries read it.
    pub fn on_list(&self, descriptors: &[(VmDescriptor, bool)]) {
        let now = self.clock.now();
        self.members.borrow_mut().on_list(descriptors, now);
        let members = self.members.borrow();
        let peers = |entries: bool| {
            let matching = members
                .descriptors()
                .filter(move |descriptor| descriptor.role.is_entry() == entries);
            matching.map(VmDescriptor::peer).collect::<Vec<_>>()
        };
        let mut entries = peers(true);
        // The VM list lags. An entry that is not listed yet must not wait to learn the revision.
        if !entries.iter().any(|entry| entry.vm == self.own.vm) {
            entries.push(self.own.peer());
        }
        self.replica
            .borrow_mut()
            .on_peers(&entries, &peers(false), now);
    }

    /// Applies planned stops that have begun, ends slow starts and begins due probes; returns the
    /// VMs to probe.
    pub fn tick_members(&self) -> Vec<VmDescriptor> {
        let now = self.clock.now();
        let begun = self.begun_stops();
        let mut members = self.members.borrow_mut();
        members.on_stops(&begun, now);
        members.on_tick(now);
        members.probing().cloned().collect()
    }

    /// Applies the planned stops received from the key-value service or from a peer.
    pub fn on_stops(&self, stops: StopsRecord) {
        let revision = Revision(stops.revision);
        let outcome = self
            .stops
            .borrow_mut()
            .adopt_if_newer(revision, Arc::new(stops));
        if outcome == AdoptOutcome::Adopted {
            tracing::info!(%revision, begun = self.begun_stops().len(), "planned stops changed");
        }
    }

    /// Returns the planned stop of this process that has begun, as of the last check.
    #[must_use]
    pub fn own_stop(&self) -> Option<StopTarget> {
        self.own_stop.borrow().clone()
    }

    /// Returns whether a planned stop of this process has begun, as of the last check.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.own_stop.borrow().is_some()
    }

    /// Checks whether a planned stop of this process has begun.
    pub fn update_own_stop(&self) {
        let stop = self
            .begun_stops()
            .into_iter()
            .find(|target| target.covers(&self.own));
        let before = self.own_stop.replace(stop);
        match (&before, &*self.own_stop.borrow()) {
            (None, Some(target)) => tracing::info!(%target, "planned stop begun"),
            (Some(target), None) => tracing::info!(%target, "planned stop withdrawn"),
            _ => {}
        }
    }

    fn begun_stops(&self) -> Vec<StopTarget> {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        let seconds = elapsed.map_or(0, |elapsed| elapsed.as_secs());
        let stops = self.stops.borrow();
        stops
            .document()
            .map(|stops| stops.begun_targets(seconds))
            .unwrap_or_default()
    }

    fn newer_stops(&self, peer: Revision) -> Option<Bytes> {
        let stops = self.stops.borrow();
        let known = stops
            .document()
            .filter(|stops| Revision(stops.revision) > peer)?;
        Some(
            serde_json::to_vec(&**known)
                .expect("planned stops can be serialized as JSON")
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

    /// Applies the configuration stored in the key-value service.
    pub fn on_stored_configuration(&self, configuration: &Arc<Configuration>) {
        self.update_replica(|replica| replica.on_stored_configuration(configuration));
    }

    /// Returns whether the process must currently read the key-value service.
    #[must_use]
    pub fn reads_service(&self) -> bool {
        let replica = self.replica.borrow();
        replica.configuration().is_none() || replica.is_watcher()
    }

    /// Returns whether the process is a watcher of the key-value service.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.replica.borrow().is_watcher()
    }

    /// Returns the update from a peer's revision to the one in force, as JSON, if the peer's is
    /// older.
    #[must_use]
    pub fn update_for(&self, peer: Revision) -> Option<Bytes> {
        self.replica
            .borrow()
            .update_for(peer)
            .as_ref()
            .map(encode_update)
    }

    /// Applies an update from a refusal or from the reply to a pull.
    pub fn on_update(&self, update: &Bytes) {
        if let Some(update) = self.decode_update(update) {
            self.update_replica(|replica| replica.on_update(update));
        }
    }

    /// Returns the reply to a watcher's offer: this process's revisions, whatever was offered. The
    /// watcher compares them with its own and decides what to send or to pull.
    #[must_use]
    pub fn answer_offer(&self, _order: &OfferOrder) -> ConfigurationReply {
        self.reply(None, None)
    }

    /// Applies a watcher's update and returns the reply to it.
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

    /// Returns the reply to a pull.
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

    /// Returns the order, if any, that a watcher sends after a peer's reply to its offer.
    pub(crate) fn follow_up(
        &self,
        peer: &VmDescriptor,
        reply: &ConfigurationReply,
    ) -> Option<PeerOrder<'_>> {
        let known_stops = self.stops.borrow().revision();
        let follow_up = self.replica.borrow().on_offer_reply(reply.revision);
        let update = match follow_up {
            OfferReplyAction::Push(update) => Some(encode_update(&update)),
            OfferReplyAction::Nothing => None,
            OfferReplyAction::Pull => return Some(PeerOrder::Pull(self.pull())),
        };
        if reply.stops > known_stops {
            return Some(PeerOrder::Pull(self.pull()));
        }
        let newer_stops = self.newer_stops(reply.stops);
        if update.is_none() && newer_stops.is_none() {
            return None;
        }
        let watchers = self.replica.borrow().watcher_count(&peer.domain);
        Some(PeerOrder::Update(UpdateOrder {
            watcher: self.own.vm.clone(),
            watchers: u8::try_from(watchers).unwrap_or(u8::MAX),
            update,
            stops: newer_stops,
        }))
    }

    /// Applies the reply to the order that followed an offer.
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

    /// Returns the peers to which an offer is due, with their addresses.
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
        (self.on_adopted)(&configuration);
    }
}

fn encode_update(update: &UpdateMessage) -> Bytes {
    serde_json::to_vec(update)
        .expect("an update can be serialized as JSON")
        .into()
}
