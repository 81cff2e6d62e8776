//! What the tasks of an entry share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use celerycrank_client::{KeyValueClient, WireForm};
use celerycrank_config::DirectEntrySettings;
use celerycrank_process::{ProcessClock, ShutdownFlag};
use celerycrank_serving::{
    AccountTable, BackendTable, CallerBounds, FreshnessGuard, RetryAllowance, RetryWindow,
    RouteTable, ServingConfiguration,
};
use celerycrank_types::{DecimalSpan, Revision, ServiceId, TimeSpan};
use rand::{SeedableRng, rngs::StdRng};

use super::{metrics::EntryMetrics, pool::ConnectionPool};

/// What the tasks of an entry share; all of them run on one arbiter.
pub(crate) struct EntryState {
    settings: RefCell<Rc<DirectEntrySettings>>,
    pub(crate) clock: ProcessClock,
    pub(crate) shutdown: ShutdownFlag,
    pub(crate) metrics: EntryMetrics,
    pub(crate) client: KeyValueClient,
    pub(crate) backends: RefCell<BackendTable>,
    pub(crate) pool: ConnectionPool,
    pub(crate) random: RefCell<StdRng>,
    pub(crate) freshness: RefCell<Option<FreshnessGuard>>,
    /// Whether the backend servers were read at least once.
    pub(crate) has_read_backends: Cell<bool>,
    /// Whether a signal to stop has come.
    pub(crate) is_stopping: Cell<bool>,
    /// Connections of callers that are open now.
    pub(crate) callers: Cell<u32>,
    /// Requests that are being answered now.
    pub(crate) requests: Cell<u32>,
    in_force: RefCell<Option<Rc<ConfigurationInForce>>>,
    retries: RefCell<HashMap<ServiceId, RetryWindow>>,
}

/// The configuration in force, ready for look-ups.
#[derive(Debug)]
pub(crate) struct ConfigurationInForce {
    pub(crate) revision: Revision,
    pub(crate) routes: RouteTable,
    pub(crate) accounts: AccountTable,
    pub(crate) limits: CallerBounds,
    /// Services with model engines, whose agents tell their load.
    pub(crate) engine_services: Vec<ServiceId>,
}

impl ConfigurationInForce {
    fn compile(configuration: &ServingConfiguration) -> Self {
        let engines = configuration.services.iter();
        let engines = engines.filter(|service| service.engine.is_some());
        Self {
            revision: configuration.revision,
            routes: RouteTable::new(&configuration.routes),
            accounts: AccountTable::new(&configuration.accounts),
            limits: configuration.limits,
            engine_services: engines.map(|it| it.service.clone()).collect(),
        }
    }
}

impl EntryState {
    pub(crate) fn new(settings: DirectEntrySettings, metrics: EntryMetrics) -> Self {
        let addresses = [Arc::clone(&settings.store.address)];
        let client =
            KeyValueClient::with_form(WireForm::Platform, &addresses, settings.store.timeout);
        let guard = settings.revocation.map(|span| FreshnessGuard::new(span.0));
        Self {
            clock: ProcessClock::start(),
            shutdown: ShutdownFlag::default(),
            metrics,
            client,
            backends: RefCell::default(),
            pool: ConnectionPool::default(),
            random: RefCell::new(StdRng::from_os_rng()),
            freshness: RefCell::new(guard),
            has_read_backends: Cell::new(false),
            is_stopping: Cell::new(false),
            callers: Cell::new(0),
            requests: Cell::new(0),
            in_force: RefCell::default(),
            retries: RefCell::default(),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// The settings in use.
    pub(crate) fn settings(&self) -> Rc<DirectEntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes settings that were read again; addresses stay as they were bound at the start.
    pub(crate) fn reload(&self, settings: DirectEntrySettings) {
        let known = self.settings();
        if settings == *known {
            tracing::info!("settings read again; nothing has changed");
            return;
        }
        let is_bound_elsewhere = (
            settings.listen,
            settings.probe,
            settings.admin,
            settings.peer,
        ) != (known.listen, known.probe, known.admin, known.peer);
        if is_bound_elsewhere || settings.store != known.store {
            tracing::warn!("changed addresses are used from the next start on");
        }
        if settings.revocation != known.revocation {
            let mut guard = self.freshness.borrow_mut();
            *guard = settings.revocation.map(|DecimalSpan(span)| {
                let known = guard.unwrap_or_else(|| FreshnessGuard::new(span));
                known.with_revocation(span)
            });
        }
        self.retries.borrow_mut().clear();
        *self.settings.borrow_mut() = Rc::new(settings);
        tracing::info!("settings reloaded");
    }

    /// The configuration in force, if one is known.
    pub(crate) fn in_force(&self) -> Option<Rc<ConfigurationInForce>> {
        self.in_force.borrow().as_ref().map(Rc::clone)
    }

    /// Puts a configuration in force, unless a newer one is; says whether it did.
    pub(crate) fn adopt(&self, configuration: &ServingConfiguration) -> bool {
        let mut in_force = self.in_force.borrow_mut();
        let is_newer = in_force
            .as_ref()
            .is_none_or(|known| configuration.revision > known.revision);
        if is_newer {
            *in_force = Some(Rc::new(ConfigurationInForce::compile(configuration)));
        }
        is_newer
    }

    /// Notes that the store held the configuration in force when it was asked.
    pub(crate) fn confirm(&self, asked_at: celerycrank_types::TimePoint) {
        if let Some(guard) = self.freshness.borrow_mut().as_mut() {
            guard.confirm(asked_at);
        }
    }

    /// Whether requests with a key may be served now.
    pub(crate) fn is_fresh(&self) -> bool {
        let guard = self.freshness.borrow();
        guard.is_none_or(|guard| guard.is_fresh(self.clock.now()))
    }

    /// How long ago the configuration was known to be the newest.
    pub(crate) fn configuration_age(&self) -> Option<TimeSpan> {
        let guard = self.freshness.borrow();
        guard.and_then(|guard| guard.age(self.clock.now()))
    }

    /// Whether the balancer may send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        let knows_all = self.in_force.borrow().is_some() && self.has_read_backends.get();
        knows_all && !self.is_stopping.get() && self.is_fresh()
    }

    /// Lends out a service's window of retries.
    pub(crate) fn with_retry_window<T>(
        &self,
        service: &ServiceId,
        work: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let mut windows = self.retries.borrow_mut();
        if !windows.contains_key(service) {
            let settings = self.settings().retries;
            let allowance = RetryAllowance {
                window: settings.window.0,
                ratio: settings.ratio.get(),
                slack: settings.slack.get(),
            };
            windows.insert(service.clone(), RetryWindow::new(allowance));
        }
        work(windows.get_mut(service).expect("it was inserted"))
    }
}

/// Adds one to a count for as long as it lives.
pub(crate) struct CountGuard<'count> {
    count: &'count Cell<u32>,
}

impl<'count> CountGuard<'count> {
    pub(crate) fn new(count: &'count Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self { count }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
