//! State shared by the tasks of an agent.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use celerycrank_config::{AgentSettings, BackendKind};
use celerycrank_membership::{PendingWork, VmDescriptor, VmRole};
use celerycrank_process::{ProcessClock, ShutdownFlag};
use celerycrank_requests::{
    AttemptActions, AttemptEvent, AttemptId, AttemptLedger, AttemptLedgerSettings, ClaimantId,
};
use celerycrank_sync::SyncState;
use celerycrank_types::{Incarnation, Revision, TimePoint, TimeSpan};
use celerycrank_wire::{BackendOffer, LoadReport, OfferKind, WelcomeReply};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::Notify;

use crate::{
    backend::BackendClient, claims::ClaimHandler, metrics::AgentMetrics, slots::SlotQueue,
};

/// Settings of the attempt ledger.
///
/// An attempt is kept until its deadline at least, so the agent accepts at most
/// `capacity / longest deadline` requests per second.
const LEDGER_SETTINGS: AttemptLedgerSettings = AttemptLedgerSettings {
    capacity: 1 << 19,
    retention: TimeSpan::from_secs(1),
};

/// State shared by the tasks of an agent, all of which run on one arbiter.
pub(crate) struct AgentState {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) shutdown: ShutdownFlag,
    pub(crate) metrics: AgentMetrics,
    pub(crate) slots: Rc<SlotQueue>,
    pub(crate) claims: Rc<ClaimHandler>,
    pub(crate) backend: BackendClient,
    pub(crate) sync: Rc<SyncState>,
    ledger: RefCell<AttemptLedger>,
    random: RefCell<StdRng>,
    /// Requests in flight, ordered by start time; the serial number distinguishes equal times.
    requests_in_flight: RefCell<BTreeSet<(TimePoint, u64)>>,
    next_serial: Cell<u64>,
    idle: Notify,
}

impl AgentState {
    pub(crate) fn new(
        settings: AgentSettings,
        incarnation: Incarnation,
        metrics: AgentMetrics,
    ) -> Self {
        let clock = ProcessClock::start();
        let mut random = StdRng::from_os_rng();
        let own = own_descriptor(&settings);
        // An agent only compares revisions: what its entries admitted is part of the order.
        let sync = SyncState::new(own, clock, metrics.sync.clone(), Box::new(|_| {}));
        Self {
            incarnation,
            clock,
            shutdown: ShutdownFlag::default(),
            metrics,
            ledger: RefCell::new(AttemptLedger::new(incarnation, LEDGER_SETTINGS)),
            slots: Rc::new(SlotQueue::new(
                settings.backend.concurrency,
                settings.backend.queue,
                clock,
            )),
            claims: Rc::new(ClaimHandler::new(clock, random.random())),
            random: RefCell::new(random),
            backend: BackendClient::new(settings.backend.address, clock),
            sync: Rc::new(sync),
            requests_in_flight: RefCell::default(),
            next_serial: Cell::new(0),
            idle: Notify::new(),
            settings,
        }
    }

    /// The revision of the configuration in force; zero if none is known.
    pub(crate) fn revision(&self) -> Revision {
        self.sync.revision()
    }

    /// Applies an event of an attempt to the attempt ledger and returns the resulting actions.
    pub(crate) fn apply_attempt_event(
        &self,
        attempt: AttemptId,
        event: AttemptEvent,
    ) -> AttemptActions {
        let now = self.clock.now();
        self.ledger.borrow_mut().handle(attempt, event, now)
    }

    /// Generates the random id under which an attempt claims its idempotency key; unlike the
    /// attempt's [`AttemptId`], it is stored in the claim's record.
    pub(crate) fn generate_claimant(&self) -> ClaimantId {
        ClaimantId::from(self.random.borrow_mut().random::<u64>())
    }

    /// Whether new requests are refused, because the process is shutting down or a planned stop of
    /// it has begun.
    pub(crate) fn refuses_work(&self) -> bool {
        self.shutdown.is_raised() || self.sync.is_stopping()
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.slots.load(self.refuses_work())
    }

    pub(crate) fn welcome(&self) -> WelcomeReply {
        let backend = &self.settings.backend;
        WelcomeReply {
            incarnation: self.incarnation,
            clock: self.clock.now(),
            revision: self.revision(),
            offer: BackendOffer {
                backend: backend.backend.clone(),
                vm: self.settings.vm.clone(),
                domain: self.settings.domain.clone(),
                kind: match &backend.kind {
                    BackendKind::Engine(model) => OfferKind::Model(model.clone()),
                    BackendKind::Service(service) => OfferKind::Service(service.clone()),
                },
            },
            load: self.load(),
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(self: &Rc<Self>) -> InFlightGuard {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        let request = (self.clock.now(), serial);
        self.requests_in_flight.borrow_mut().insert(request);
        InFlightGuard {
            state: Rc::clone(self),
            request,
        }
    }

    /// The work that a planned stop still waits for.
    pub(crate) fn pending_work(&self) -> PendingWork {
        let now = self.clock.now();
        let requests = self.requests_in_flight.borrow();
        PendingWork {
            requests: self.in_flight().into(),
            oldest: requests
                .first()
                .map_or(TimeSpan::ZERO, |(started_at, _)| now.since(*started_at)),
            // Open claims are not reported. A shutdown waits for them nevertheless, in
            // `ClaimHandler::wait_until_flushed`.
            claims: 0,
        }
    }

    /// Number of requests whose answers are not yet delivered.
    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.requests_in_flight.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Waits until no request is in flight.
    pub(crate) async fn wait_until_drained(&self) {
        while self.in_flight() > 0 {
            self.idle.notified().await;
        }
    }
}

/// A request in flight; dropping it removes the request from the count.
pub(crate) struct InFlightGuard {
    state: Rc<AgentState>,
    request: (TimePoint, u64),
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut requests = self.state.requests_in_flight.borrow_mut();
        requests.remove(&self.request);
        if requests.is_empty() {
            self.state.idle.notify_one();
        }
    }
}

fn own_descriptor(settings: &AgentSettings) -> VmDescriptor {
    VmDescriptor {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: settings.link.listen,
        role: match &settings.backend.kind {
            BackendKind::Engine(model) => VmRole::Engine(model.clone()),
            BackendKind::Service(service) => VmRole::Service(service.clone()),
        },
        backend: Some(settings.backend.backend.clone()),
        group: None,
    }
}
