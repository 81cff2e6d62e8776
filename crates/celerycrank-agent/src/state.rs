//! What the tasks of an agent share.

use std::{cell::Cell, cell::RefCell, rc::Rc};

use celerycrank_config::{AgentSettings, BackendKind};
use celerycrank_membership::PeerFact;
use celerycrank_process::{ProcessClock, ShutdownFlag};
use celerycrank_requests::{
    AttemptActions, AttemptEvent, AttemptId, ClaimantId, StartLedger, StartSettings,
};
use celerycrank_sync::SyncState;
use celerycrank_types::{Incarnation, Revision, TimeSpan};
use celerycrank_wire::{BackendOffer, LoadReport, OfferKind, WelcomeReply};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::Notify;

use crate::{backend::BackendClient, claims::ClaimDesk, metrics::AgentMetrics, slots::SlotQueue};

/// Bounds of the start ledger.
///
/// An attempt is known until its deadline at least, so that the capacity over the longest
/// deadline in use is the most requests in a second that the agent takes.
const LEDGER_BOUNDS: StartSettings = StartSettings {
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
    ledger: RefCell<StartLedger>,
    random: RefCell<StdRng>,
    in_flight: Cell<u32>,
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
        let own = PeerFact {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
        };
        // An agent only compares revisions; what its entries admitted travels with the order.
        let sync = SyncState::new(own, clock, metrics.sync.clone(), Box::new(|_| {}));
        Self {
            incarnation,
            clock,
            shutdown: ShutdownFlag::default(),
            metrics,
            ledger: RefCell::new(StartLedger::new(incarnation, LEDGER_BOUNDS)),
            slots: Rc::new(SlotQueue::new(
                settings.backend.concurrency,
                settings.backend.queue,
                clock,
            )),
            claims: Rc::new(ClaimDesk::new(clock, random.random())),
            random: RefCell::new(random),
            backend: BackendClient::new(settings.backend.address),
            sync: Rc::new(sync),
            in_flight: Cell::new(0),
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

    pub(crate) fn load(&self) -> LoadReport {
        self.slots.load(self.shutdown.is_raised())
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
        self.in_flight.set(self.in_flight.get() + 1);
        FlightGuard {
            state: Rc::clone(self),
        }
    }

    /// Requests whose answers are not yet delivered.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Waits until no request is in flight.
    pub(crate) async fn drained(&self) {
        while self.in_flight.get() > 0 {
            self.idle.notified().await;
        }
    }
}

/// One request in flight.
pub(crate) struct FlightGuard {
    state: Rc<AgentState>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let left = self.state.in_flight.get() - 1;
        self.state.in_flight.set(left);
        if left == 0 {
            self.state.idle.notify_one();
        }
    }
}
