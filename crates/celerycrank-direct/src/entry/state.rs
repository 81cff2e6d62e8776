//! State shared by the entry's tasks.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use celerycrank_client::{KeyValueClient, KeyValueProtocol};
use celerycrank_config::DirectEntrySettings;
use celerycrank_process::{ProcessClock, ShutdownFlag, TaskHandle};
use celerycrank_serving::{
    AccountTable, AdmissionPolicy, AnswerCollector, BackendTable, CallerBounds, ColdBounds,
    ColdStart, CrashCollector, EngineProfile, EntryCount, FreshnessGuard, PartQuarantine,
    RetryAllowance, RetryWindow, RouteTable, ServingConfiguration,
};
use celerycrank_types::{
    BackendId, DecimalSpan, RequestRate, Revision, ServiceId, TimePoint, TimeSpan,
};
use rand::{SeedableRng, rngs::StdRng};
use tokio::sync::Notify;

use super::{
    admission::{AdmissionState, compile_policies},
    crash_check::CrashChecks,
    limits::LimitSharing,
    metrics::EntryMetrics,
    pool::ConnectionPool,
    prompt_cache::PromptCache,
    quarantine::ReportQueue,
    space::SpaceLedger,
    stop::StopSchedule,
};

/// State shared by the tasks of an entry, all of which run on one arbiter.
pub(crate) struct EntryState {
    settings: RefCell<Rc<DirectEntrySettings>>,
    pub(crate) clock: ProcessClock,
    pub(crate) shutdown: ShutdownFlag,
    pub(crate) metrics: EntryMetrics,
    /// Starts the tasks that serve one connection each.
    pub(crate) tasks: TaskHandle,
    pub(crate) store: KeyValueClient,
    pub(crate) backends: RefCell<BackendTable>,
    pub(crate) pool: ConnectionPool,
    pub(crate) random: RefCell<StdRng>,
    pub(crate) freshness: RefCell<Option<FreshnessGuard>>,
    /// Whether the backend servers have been read from the key-value service at least once.
    pub(crate) has_read_backends: Cell<bool>,
    /// Whether a stop signal has been received.
    pub(crate) is_stopping: Cell<bool>,
    /// When a stopping entry does what; `None` before the stop signal.
    pub(crate) stop: Cell<Option<StopSchedule>>,
    /// Raised when the grace period ends, upon which requests in flight get their final answers.
    pub(crate) ending: ShutdownFlag,
    /// Number of open connections of callers.
    pub(crate) caller_connections: Cell<u32>,
    /// The memory and the connections of callers.
    pub(crate) space: SpaceLedger,
    /// Number of requests whose answer is not complete.
    pub(crate) requests_in_flight: Cell<u32>,
    in_force: RefCell<Option<Rc<ConfigurationInForce>>>,
    retry_windows: RefCell<HashMap<ServiceId, RetryWindow>>,
    /// The number of entries that share the allowance of retries.
    pub(crate) entry_count: RefCell<EntryCount>,
    /// The prompt parts that are refused since they crash backend servers.
    pub(crate) quarantine: RefCell<PartQuarantine>,
    /// Finished answers that their backend servers have not outlived yet.
    pub(crate) finished_answers: RefCell<AnswerCollector>,
    /// Wakes the task that counts them.
    pub(crate) answer_noted: Notify,
    /// Backend servers that may have crashed.
    pub(crate) crash_checks: CrashChecks,
    /// Crashes that this entry has just seen.
    pub(crate) crashes: RefCell<CrashCollector>,
    /// Wakes the task that decides about crashes.
    pub(crate) crash_noted: Notify,
    /// Wakes the task that writes clearances.
    pub(crate) clearance_noted: Notify,
    /// The requests that wait for a place at the engines of their service.
    pub(crate) admission: AdmissionState,
    /// What is needed to share the limits of backend servers with the other entries.
    pub(crate) limits: LimitSharing,
    /// Reports of crashes for the other entries.
    pub(crate) crash_reports: ReportQueue,
    /// Which backend servers probably hold which prompts.
    pub(crate) prompt_cache: PromptCache,
}

/// The configuration in force, compiled for lookups.
#[derive(Debug)]
pub(crate) struct ConfigurationInForce {
    pub(crate) revision: Revision,
    pub(crate) routes: RouteTable,
    pub(crate) accounts: AccountTable,
    pub(crate) limits: CallerBounds,
    /// Admission to the services whose requests differ in urgency.
    pub(crate) admissions: HashMap<ServiceId, Rc<AdmissionPolicy>>,
    /// Services with model engines, whose agents report their load.
    pub(crate) engine_services: Vec<ServiceId>,
    /// How the backend servers of each service start.
    cold_starts: HashMap<ServiceId, ColdStart>,
    /// Performance of the model engines of these services.
    pub(crate) engines: HashMap<ServiceId, EngineProfile>,
}

impl ConfigurationInForce {
    fn compile(configuration: &ServingConfiguration) -> Self {
        let engines = configuration.services.iter();
        let engines = engines.filter(|service| service.engine.is_some());
        let cold_starts = configuration.services.iter();
        let cold_starts = cold_starts.filter_map(|it| Some((it.service.clone(), it.cold_start?)));
        let profiles = engines.clone();
        let profiles =
            profiles.filter_map(|service| Some((service.service.clone(), service.engine?)));
        Self {
            revision: configuration.revision,
            routes: RouteTable::new(&configuration.routes, &configuration.closed_routes),
            accounts: AccountTable::new(&configuration.keys),
            limits: configuration.limits,
            admissions: compile_policies(configuration),
            engine_services: engines.map(|it| it.service.clone()).collect(),
            cold_starts: cold_starts.collect(),
            engines: profiles.collect(),
        }
    }
}

impl EntryState {
    pub(crate) fn new(
        settings: DirectEntrySettings,
        metrics: EntryMetrics,
        tasks: TaskHandle,
    ) -> Self {
        let addresses = [Arc::clone(&settings.store.address)];
        let store = KeyValueClient::with_protocol(
            KeyValueProtocol::Platform,
            &addresses,
            settings.store.timeout,
        );
        let guard = settings.revocation.map(|span| FreshnessGuard::new(span.0));
        Self {
            clock: ProcessClock::start(),
            shutdown: ShutdownFlag::default(),
            metrics,
            tasks,
            store,
            backends: RefCell::default(),
            pool: ConnectionPool::default(),
            random: RefCell::new(StdRng::from_os_rng()),
            freshness: RefCell::new(guard),
            has_read_backends: Cell::new(false),
            is_stopping: Cell::new(false),
            stop: Cell::new(None),
            ending: ShutdownFlag::default(),
            caller_connections: Cell::new(0),
            space: SpaceLedger::new(&settings),
            requests_in_flight: Cell::new(0),
            in_force: RefCell::default(),
            retry_windows: RefCell::default(),
            entry_count: RefCell::default(),
            quarantine: RefCell::default(),
            finished_answers: RefCell::default(),
            answer_noted: Notify::new(),
            crash_checks: CrashChecks::default(),
            crashes: RefCell::default(),
            crash_noted: Notify::new(),
            clearance_noted: Notify::new(),
            admission: AdmissionState::default(),
            limits: LimitSharing::default(),
            crash_reports: ReportQueue::default(),
            prompt_cache: PromptCache::new(settings.prompt_cache),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// The settings in use.
    pub(crate) fn settings(&self) -> Rc<DirectEntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies settings that were read again; changed addresses take effect only at the next start.
    pub(crate) fn reload(&self, settings: DirectEntrySettings) {
        let known = self.settings();
        if settings == *known {
            tracing::info!("settings read again; nothing has changed");
            return;
        }
        let have_addresses_changed = (
            settings.listen,
            settings.probe,
            settings.admin,
            settings.peer,
        ) != (known.listen, known.probe, known.admin, known.peer);
        if have_addresses_changed || settings.store != known.store {
            tracing::warn!("changed addresses take effect at the next start");
        }
        if settings.revocation != known.revocation {
            let mut guard = self.freshness.borrow_mut();
            *guard = settings.revocation.map(|DecimalSpan(span)| {
                let known = guard.unwrap_or_else(|| FreshnessGuard::new(span));
                known.with_revocation_limit(span)
            });
        }
        if settings.prompt_cache != known.prompt_cache {
            self.prompt_cache.reload(settings.prompt_cache);
        }
        self.retry_windows.borrow_mut().clear();
        self.space.reload(&settings);
        *self.settings.borrow_mut() = Rc::new(settings);
        self.update_cold_starts();
        tracing::info!("settings reloaded");
    }

    /// Returns the configuration in force, if there is one.
    pub(crate) fn in_force(&self) -> Option<Rc<ConfigurationInForce>> {
        self.in_force.borrow().as_ref().map(Rc::clone)
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it did.
    pub(crate) fn adopt(&self, configuration: &ServingConfiguration) -> bool {
        let known = self.in_force();
        let is_newer = known.is_none_or(|known| configuration.revision > known.revision);
        if is_newer {
            let compiled = Rc::new(ConfigurationInForce::compile(configuration));
            self.admission.retain_services(&compiled);
            *self.in_force.borrow_mut() = Some(compiled);
            self.update_cold_starts();
        }
        is_newer
    }

    /// Applies what the configuration and the settings say about cold backend servers.
    fn update_cold_starts(&self) {
        let in_force = self.in_force();
        let starts = in_force
            .map(|it| it.cold_starts.clone())
            .unwrap_or_default();
        let bounds = self.settings().cold.map(|cold| ColdBounds {
            overshoot: cold.overshoot.get(),
            tolerance: cold.tolerance.get(),
        });
        let now = self.clock.now();
        let mut backends = self.backends.borrow_mut();
        backends.set_cold_starts(starts, bounds, now);
    }

    /// Records that the key-value service still held the configuration in force at `asked_at`.
    pub(crate) fn confirm(&self, asked_at: TimePoint) {
        if let Some(guard) = self.freshness.borrow_mut().as_mut() {
            guard.confirm(asked_at);
        }
    }

    /// Whether requests with a key may be served now.
    pub(crate) fn is_fresh(&self) -> bool {
        let guard = self.freshness.borrow();
        guard.is_none_or(|guard| guard.is_fresh(self.clock.now()))
    }

    /// Time since the configuration was last known to be the newest.
    pub(crate) fn configuration_age(&self) -> Option<TimeSpan> {
        let guard = self.freshness.borrow();
        guard.and_then(|guard| guard.age(self.clock.now()))
    }

    /// Whether a request with this deadline that has just been read may be sent to a backend
    /// server.
    pub(crate) fn admits_until(&self, deadline: TimePoint) -> bool {
        let stop = self.stop.get();
        stop.is_none_or(|schedule| schedule.admits(deadline, self.clock.now()))
    }

    /// The admission policy of a service, if its requests differ in urgency.
    pub(crate) fn admission_policy(&self, service: &ServiceId) -> Option<Rc<AdmissionPolicy>> {
        let in_force = self.in_force()?;
        in_force.admissions.get(service).map(Rc::clone)
    }

    /// The limit that a backend server names, if any.
    pub(crate) fn limit_of(&self, backend: &BackendId) -> Option<RequestRate> {
        let mut backends = self.backends.borrow_mut();
        backends.find_mut(backend).and_then(|state| state.limit())
    }

    /// Whether the balancer may send callers to this entry.
    pub(crate) fn is_ready(&self) -> bool {
        let is_initialized = self.in_force.borrow().is_some() && self.has_read_backends.get();
        is_initialized && !self.is_stopping.get() && self.is_fresh()
    }

    /// Runs `work` on a service's retry window, which is created on first use.
    pub(crate) fn with_retry_window<T>(
        &self,
        service: &ServiceId,
        work: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let mut windows = self.retry_windows.borrow_mut();
        if !windows.contains_key(service) {
            let settings = self.settings().retries;
            let allowance = RetryAllowance {
                window: settings.window.0,
                ratio: settings.ratio.get(),
                slack: settings.slack.get(),
            };
            windows.insert(service.clone(), RetryWindow::new(allowance));
        }
        let window = windows
            .get_mut(service)
            .expect("the window was just inserted");
        let entries = self.entry_count.borrow_mut().get(self.clock.now());
        window.set_entries(entries);
        work(window)
    }
}

/// Increments a count; decrements it when dropped.
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
