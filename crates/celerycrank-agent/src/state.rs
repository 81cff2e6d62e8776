//! What the tasks of an agent share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use celerycrank_config::{AgentSettings, BackendKind};
use celerycrank_membership::{PendingWork, VmFact, VmRole};
use celerycrank_process::{ProcessClock, ShutdownFlag};
use celerycrank_requests::{
    AttemptActions, AttemptEvent, AttemptId, AttemptLedger, AttemptLedgerSettings, ClaimantId,
};
use celerycrank_sync::SyncState;
use celerycrank_types::{Incarnation, Revision, TimePoint, TimeSpan};
use celerycrank_wire::{BackendOffer, LoadReport, OfferKind, WelcomeReply};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::Notify;

use crate::{backend::BackendClient, claims::ClaimDesk, metrics::AgentMetrics, slots::SlotQueue};

/// Bounds of the start ledger.
///
/// An attempt is known until its deadline at least, so that the capacity over the longest
/// deadline in use is the most requests in a second that the agent takes.
const LEDGER_BOUNDS: AttemptLedgerSettings = AttemptLedgerSettings {
    capacity: 1 << 19,
    retention: TimeSpan::from_secs(1),
};

/// What the tasks of an agent share; all of them run on one arbiter.
pub(crate) struct AgentState {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) shutdown: ShutdownFlag,
    pub(crate) metrics: AgentMetrics,
    pub(crate) slots: Rc<SlotQueue>,
    pub(crate) claims: Rc<ClaimDesk>,
    pub(crate) backend: BackendClient,
    pub(crate) sync: Rc<SyncState>,
    ledger: RefCell<AttemptLedger>,
    random: RefCell<StdRng>,
    /// Requests in flight by when they began; the serial number sets equal times apart.
    flights: RefCell<BTreeSet<(TimePoint, u64)>>,
    next_flight: Cell<u64>,
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
        let own = own_fact(&settings);
        // An agent only compares revisions; what its entries admitted travels with the order.
        let sync = SyncState::new(own, clock, metrics.sync.clone(), Box::new(|_| {}));
        Self {
            incarnation,
            clock,
            shutdown: ShutdownFlag::default(),
            metrics,
            ledger: RefCell::new(AttemptLedger::new(incarnation, LEDGER_BOUNDS)),
            slots: Rc::new(SlotQueue::new(
                settings.backend.concurrency,
                settings.backend.queue,
                clock,
            )),
            claims: Rc::new(ClaimDesk::new(clock, random.random())),
            random: RefCell::new(random),
            backend: BackendClient::new(settings.backend.address),
            sync: Rc::new(sync),
            flights: RefCell::default(),
            next_flight: Cell::new(0),
            idle: Notify::new(),
            settings,
        }
    }

    /// The revision in force; zero while none is known.
    pub(crate) fn revision(&self) -> Revision {
        self.sync.revision()
    }

    /// Tells the start ledger what happened to an attempt; returns what to do about it.
    pub(crate) fn handle_attempt(&self, attempt: AttemptId, event: AttemptEvent) -> AttemptActions {
        let now = self.clock.now();
        self.ledger.borrow_mut().handle(attempt, event, now)
    }

    /// Draws the name under which one attempt claims its key.
    pub(crate) fn draw_claimant(&self) -> ClaimantId {
        ClaimantId::from(self.random.borrow_mut().random::<u64>())
    }

    /// Whether new requests are refused: the process ends, or its planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.is_raised() || self.sync.is_stopping()
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.slots.load(self.is_leaving())
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

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track(self: &Rc<Self>) -> FlightGuard {
        let serial = self.next_flight.get();
        self.next_flight.set(serial + 1);
        let flight = (self.clock.now(), serial);
        self.flights.borrow_mut().insert(flight);
        FlightGuard {
            state: Rc::clone(self),
            flight,
        }
    }

    /// What a stop still waits for.
    pub(crate) fn pending_work(&self) -> PendingWork {
        let now = self.clock.now();
        let flights = self.flights.borrow();
        PendingWork {
            requests: self.in_flight().into(),
            oldest: flights
                .first()
                .map_or(TimeSpan::ZERO, |(since, _)| now.since(*since)),
            claims: 0,
        }
    }

    /// Requests whose answers are not yet delivered.
    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.flights.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Waits until no request is in flight.
    pub(crate) async fn drained(&self) {
        while self.in_flight() > 0 {
            self.idle.notified().await;
        }
    }
}

/// One request in flight.
pub(crate) struct FlightGuard {
    state: Rc<AgentState>,
    flight: (TimePoint, u64),
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let mut flights = self.state.flights.borrow_mut();
        flights.remove(&self.flight);
        if flights.is_empty() {
            self.state.idle.notify_one();
        }
    }
}

fn own_fact(settings: &AgentSettings) -> VmFact {
    VmFact {
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
