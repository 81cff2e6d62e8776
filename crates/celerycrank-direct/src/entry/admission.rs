//! Lets requests wait at the entry while the engines of their service hold as many as can be answered
//! in time.

use std::{
    cell::RefCell,
    collections::HashMap,
    ops::RangeInclusive,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::timeout;
use celerycrank_serving::{
    AccountLoads, AdmissionPolicy, AdmissionQueue, ArrivalMeter, BackendRegistration, ChoiceQuery,
    FirstEventEstimate, LoadCeiling, LoadLimit, WaitBand, WaitBounds, WaitRank, WaitTicket,
    has_place,
};
use celerycrank_types::{AccountId, RefusalReason, ServiceId, TimePoint, TimeSpan};
use rand::Rng;
use tokio::sync::oneshot;

use super::{
    dispatch::RequestDispatch,
    progress::RequestError,
    refusal::RequestRefusal,
    request::AdmittedRequest,
    state::{ConfigurationInForce, EntryState},
};

/// Maximum number of requests that wait for a place at one service.
const MAX_WAITING: usize = 512;

/// Retry delays sent to callers that got no place. The load that refuses them lasts for seconds.
const RETRY_AFTER_MILLIS: RangeInclusive<u64> = 500..=2_500;

/// Time without a waiting request after which a service no longer counts as contended.
const CALM_SPAN: TimeSpan = TimeSpan::from_secs(5);

/// The admission to all services of an entry that have a policy.
#[derive(Debug, Default)]
pub(crate) struct AdmissionState {
    services: RefCell<HashMap<ServiceId, ServiceAdmission>>,
}

/// The requests of one service that wait or are in flight.
#[derive(Debug)]
struct ServiceAdmission {
    queue: AdmissionQueue<oneshot::Sender<()>>,
    loads: AccountLoads,
    arrivals: ArrivalMeter,
    first_event: FirstEventEstimate,
    ceiling: LoadCeiling,
    /// When a request last had to wait; `None` while the service is not contended.
    contended_at: Option<TimePoint>,
}

impl Default for ServiceAdmission {
    fn default() -> Self {
        Self {
            queue: AdmissionQueue::new(MAX_WAITING),
            loads: AccountLoads::default(),
            arrivals: ArrivalMeter::default(),
            first_event: FirstEventEstimate::default(),
            ceiling: LoadCeiling::default(),
            contended_at: None,
        }
    }
}

impl AdmissionState {
    /// Runs `work` on the admission to a service, which is created on first use.
    fn with<T>(&self, service: &ServiceId, work: impl FnOnce(&mut ServiceAdmission) -> T) -> T {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.clone(), ServiceAdmission::default());
        }
        work(services.get_mut(service).expect("it was just inserted"))
    }

    fn services(&self) -> Vec<ServiceId> {
        self.services.borrow().keys().cloned().collect()
    }

    /// Drops the services that have no policy any more; their waiting requests are woken.
    pub(crate) fn retain_services(&self, in_force: &ConfigurationInForce) {
        let mut services = self.services.borrow_mut();
        services.retain(|service, _| in_force.admissions.contains_key(service));
    }

    /// Records the gap between two events of a stream.
    pub(crate) fn note_gap(
        &self,
        service: &ServiceId,
        policy: &AdmissionPolicy,
        gap: TimeSpan,
        now: TimePoint,
    ) {
        if let Some(target) = policy.gap_target() {
            self.with(service, |it| it.ceiling.observe_gap(gap, target, now));
        }
    }

    /// Records the time from sending a request to its first event.
    pub(crate) fn note_first_event(
        &self,
        service: &ServiceId,
        policy: &AdmissionPolicy,
        span: TimeSpan,
        now: TimePoint,
    ) {
        let target = policy.first_event_target();
        self.with(service, |admission| {
            admission.first_event.observe(span);
            admission.ceiling.observe_first_event(span, target, now);
        });
    }
}

/// Counts a request as one of its account until dropped.
pub(crate) struct AccountGuard<'run> {
    state: &'run EntryState,
    service: ServiceId,
    account: Option<AccountId>,
}

impl<'run> AccountGuard<'run> {
    /// Counts a request whose service has a policy.
    pub(crate) fn begin(state: &'run EntryState, request: &AdmittedRequest) -> Option<Self> {
        let level = request.admission.as_ref()?.level(request.priority);
        let (service, account) = (request.service.clone(), request.account.clone());
        let now = state.clock.now();
        state.admission.with(&service, |admission| {
            admission.loads.begin(account.as_ref());
            admission.arrivals.record(level, now);
        });
        Some(Self {
            state,
            service,
            account,
        })
    }
}

impl Drop for AccountGuard<'_> {
    fn drop(&mut self) {
        let mut services = self.state.admission.services.borrow_mut();
        if let Some(admission) = services.get_mut(&self.service) {
            admission.loads.finish(self.account.as_ref());
        }
    }
}

/// Removes a waiting request from the queue when dropped.
struct WaitGuard<'run> {
    state: &'run EntryState,
    service: &'run ServiceId,
    ticket: WaitTicket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.state.metrics.admission.waiting.dec();
        let mut services = self.state.admission.services.borrow_mut();
        let admission = services.get_mut(self.service);
        let was_waiting = admission.is_some_and(|it| it.queue.remove(&self.ticket));
        drop(services);
        if !was_waiting {
            // The request may not use the place for which it was woken.
            wake_waiting(self.state, self.service);
        }
    }
}

/// How a request that waited goes on.
enum WaitEnd {
    /// There may be a place.
    Woken,
    /// The time for which it may wait in its band is over.
    Expired,
    /// The queue is full of requests that rank before it.
    Crowded,
}

impl RequestDispatch<'_> {
    /// Waits until a backend server has a place for the request, and chooses it.
    ///
    /// A request that has been sent before, such as a stream that broke off, gets none that is free
    /// only if it waits too long.
    pub(super) async fn wait_for_place(
        &self,
        policy: &AdmissionPolicy,
        is_first: bool,
    ) -> Result<BackendRegistration, RequestError> {
        let (state, request) = (self.state, self.request);
        let bounds = if is_first {
            self.wait_bounds(policy)
        } else {
            WaitBounds::for_resumption(state.clock.now(), request.deadline)
        };
        let arrived_at = Instant::now();
        let mut has_waited = false;
        loop {
            let rank = self.wait_rank(policy, bounds);
            if !ranks_behind(state, &request.service, rank)
                && let Some(chosen) = self.choose_within(Some(self.load_limit(policy, rank)))?
            {
                if has_waited {
                    state.metrics.admission.admitted_late.inc();
                    let waited = arrived_at.elapsed().as_secs_f64();
                    state.metrics.admission.wait_time.observe(waited);
                }
                return Ok(chosen);
            }
            has_waited = true;
            match self.wait(rank).await {
                WaitEnd::Woken => {}
                WaitEnd::Expired if rank.band == WaitBand::InTime => {}
                WaitEnd::Expired | WaitEnd::Crowded if !is_first => {
                    return self.choose().map_err(|it| self.final_error(it));
                }
                WaitEnd::Expired => return Err(self.no_place(RefusalReason::DeadlineUnreachable)),
                WaitEnd::Crowded => return Err(self.no_place(RefusalReason::QueueFull)),
            }
        }
    }

    async fn wait(&self, rank: WaitRank) -> WaitEnd {
        let (state, service) = (self.state, &self.request.service);
        let now = state.clock.now();
        let (waker, woken) = oneshot::channel();
        let pushed = state.admission.with(service, |admission| {
            if admission.contended_at.is_none() {
                tracing::info!(%service, "requests wait for a place at the engines of a service");
            }
            admission.contended_at = Some(now);
            admission.queue.push(rank, waker)
        });
        // The sender of an evicted request is dropped, which wakes it; it finds the queue full.
        let Ok((ticket, _evicted)) = pushed else {
            return WaitEnd::Crowded;
        };
        state.metrics.admission.waiting.inc();
        let _guard = WaitGuard {
            state,
            service,
            ticket,
        };
        let wait = rank.due.since(now).as_duration().max(MIN_WAIT);
        match timeout(wait, woken).await {
            Ok(_) => WaitEnd::Woken,
            Err(_) => WaitEnd::Expired,
        }
    }

    fn wait_bounds(&self, policy: &AdmissionPolicy) -> WaitBounds {
        let request = self.request;
        let measured = self
            .state
            .admission
            .with(&request.service, |it| it.first_event.get());
        let first_event = measured.unwrap_or_else(|| policy.nominal_first_event());
        let target = request.route.target;
        WaitBounds::new(request.arrival, target, request.deadline, first_event)
    }

    fn wait_rank(&self, policy: &AdmissionPolicy, bounds: WaitBounds) -> WaitRank {
        let (state, request) = (self.state, self.request);
        let (band, due) = if state.clock.now() < bounds.in_time_until {
            (WaitBand::InTime, bounds.in_time_until)
        } else {
            (WaitBand::Late, bounds.end)
        };
        let account = request.account.as_ref();
        WaitRank {
            band,
            level: policy.level(request.priority),
            share: state
                .admission
                .with(&request.service, |it| it.loads.share_of(account)),
            due,
        }
    }

    fn load_limit(&self, policy: &AdmissionPolicy, rank: WaitRank) -> LoadLimit {
        let state = self.state;
        let service = &self.request.service;
        state
            .admission
            .with(service, |it| load_limit(state, policy, it, rank))
    }

    fn no_place(&self, reason: RefusalReason) -> RequestError {
        let mut random = self.state.random.borrow_mut();
        let delay = random.random_range(RETRY_AFTER_MILLIS);
        RequestError::Refused(RequestRefusal {
            reason,
            retry_after: Some(TimeSpan::from_millis(delay)),
        })
    }
}

/// The shortest wait, so that a request whose time is just over does not wake itself at once.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The load limit of a request of this rank.
fn load_limit(
    state: &EntryState,
    policy: &AdmissionPolicy,
    admission: &ServiceAdmission,
    rank: WaitRank,
) -> LoadLimit {
    let now = state.clock.now();
    let entries = state.entry_count.borrow_mut().get(now);
    let reserve = admission.arrivals.reserve(rank.level, now);
    policy.load_limit(rank.level, &admission.ceiling, reserve, entries)
}

/// Whether a waiting request ranks before a new one.
fn ranks_behind(state: &EntryState, service: &ServiceId, rank: WaitRank) -> bool {
    let first = state.admission.with(service, |it| it.queue.first_rank());
    first.is_some_and(|first| first < rank)
}

/// Wakes the first waiting request of a service if there is a place for it.
///
/// It wakes the next one when it has taken its place.
pub(crate) fn wake_waiting(state: &EntryState, service: &ServiceId) {
    let Some(policy) = state.admission_policy(service) else {
        return;
    };
    let mut services = state.admission.services.borrow_mut();
    let Some(admission) = services.get_mut(service) else {
        return;
    };
    while let Some(rank) = admission.queue.first_rank() {
        let settings = state.settings();
        let query = ChoiceQuery {
            prompt: None,
            service,
            domain: &settings.domain,
            tried: &[],
            load_limit: None,
            now: state.clock.now(),
        };
        let limit = load_limit(state, &policy, admission, rank);
        let backends = state.backends.borrow();
        // If the backend servers want no requests, those that wait are refused.
        if !has_place(&backends, &query, limit) && !backends.is_closed(service, query.now) {
            return;
        }
        let woken = admission.queue.pop_first();
        // A request whose receiver is gone has just ended.
        if woken.is_some_and(|(_, waker)| waker.send(()).is_ok()) {
            return;
        }
    }
}

/// Wakes the first waiting request of each service if there is a place for it.
pub(crate) fn wake_all_waiting(state: &EntryState) {
    for service in state.admission.services() {
        wake_waiting(state, &service);
    }
}

/// Logs the services that are no longer contended.
pub(crate) fn log_end_of_contention(state: &EntryState) {
    let now = state.clock.now();
    let mut services = state.admission.services.borrow_mut();
    for (service, admission) in services.iter_mut() {
        let is_over = admission
            .contended_at
            .is_some_and(|at| now.since(at) >= CALM_SPAN);
        if is_over && admission.queue.is_empty() {
            admission.contended_at = None;
            tracing::info!(%service, "no request waits for a place at the engines of a service any more");
        }
    }
}

/// The policies of a configuration, by service.
pub(crate) fn compile_policies(
    configuration: &celerycrank_serving::ServingConfiguration,
) -> HashMap<ServiceId, Rc<AdmissionPolicy>> {
    let services = configuration.services.iter();
    let accounts = configuration.keys.accounts();
    let policies = services.filter_map(|service| {
        let policy = AdmissionPolicy::of_service(service, &configuration.routes, accounts)?;
        Some((service.service.clone(), Rc::new(policy)))
    });
    policies.collect()
}
