//! What the tasks of an agent share.

use std::{cell::Cell, cell::RefCell, rc::Rc};

use bytes::Bytes;
use celerycrank_config::{AgentSettings, BackendKind, Configuration};
use celerycrank_process::{ProcessClock, ShutdownFlag};
use celerycrank_types::{Incarnation, Revision};
use celerycrank_wire::{BackendOffer, LoadReport, OfferKind, WelcomeReply};
use tokio::sync::Notify;

use crate::{
    backend::BackendClient, ledger::RequestLedger, metrics::AgentMetrics, slots::SlotQueue,
};

/// What the tasks of an agent share; all of them run on one arbiter.
pub(crate) struct AgentState {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) shutdown: ShutdownFlag,
    pub(crate) metrics: AgentMetrics,
    pub(crate) ledger: RefCell<RequestLedger>,
    pub(crate) slots: SlotQueue,
    pub(crate) backend: BackendClient,
    pub(crate) in_force: RefCell<Option<ConfigurationInForce>>,
    in_flight: Cell<u32>,
    idle: Notify,
}

/// The configuration that the agent has in force, as it passes it on.
#[derive(Debug, Clone)]
pub(crate) struct ConfigurationInForce {
    pub(crate) revision: Revision,
    pub(crate) json: Bytes,
}

impl AgentState {
    pub(crate) fn new(
        settings: AgentSettings,
        incarnation: Incarnation,
        metrics: AgentMetrics,
    ) -> Self {
        Self {
            incarnation,
            clock: ProcessClock::start(),
            shutdown: ShutdownFlag::default(),
            metrics,
            ledger: RefCell::default(),
            slots: SlotQueue::new(settings.backend.concurrency, settings.backend.queue),
            backend: BackendClient::new(settings.backend.address),
            in_force: RefCell::default(),
            in_flight: Cell::new(0),
            idle: Notify::new(),
            settings,
        }
    }

    /// The revision in force; zero while none is known.
    pub(crate) fn revision(&self) -> Revision {
        let in_force = self.in_force.borrow();
        in_force
            .as_ref()
            .map_or(Revision(0), |known| known.revision)
    }

    /// Puts a configuration in force unless an equal or newer one is.
    pub(crate) fn adopt(&self, configuration: &Configuration) {
        if configuration.revision <= self.revision() {
            return;
        }
        let json = serde_json::to_vec(configuration).expect("a configuration encodes as JSON");
        tracing::info!(revision = %configuration.revision, "configuration in force");
        *self.in_force.borrow_mut() = Some(ConfigurationInForce {
            revision: configuration.revision,
            json: json.into(),
        });
    }

    /// The configuration for a peer that acts under an older revision.
    pub(crate) fn newer_configuration(&self, than: Revision) -> Option<Bytes> {
        let in_force = self.in_force.borrow();
        let known = in_force.as_ref().filter(|known| known.revision > than)?;
        Some(known.json.clone())
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.slots.load(self.shutdown.is_raised())
    }

    pub(crate) fn welcome(&self) -> WelcomeReply {
        let backend = &self.settings.backend;
        WelcomeReply {
            incarnation: self.incarnation,
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
