//! Lets requests wait at the entry while the engines of their service hold as many as can be answered
//! in time.

use std::{
    cell::RefCell,
    collections::HashMap,
    ops::{ControlFlow, RangeInclusive},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::timeout;
use celerycrank_serving::{
    AccountLoads, AdmissionPolicy, AdmissionQueue, ArrivalMeter, BackendRegistration, ChoiceQuery,
    FirstEventEstimate, LoadCeiling, LoadLimit, WaitBand, WaitBounds, WaitRank, WaitTicket,
    is_full,
};
use celerycrank_types::{AccountId, BackendId, RefusalReason, ServiceId, TimePoint, TimeSpan};
use rand::Rng;
use smallvec::SmallVec;
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

/// Maximum number of waiting requests that are passed over because no place is one for them.
///
/// It bounds the time of a wake-up. Only requests that were sent before are passed over.
const MAX_PASSED_OVER: u32 = 8;

/// The admission to all services of an entry that have a policy.
#[derive(Debug, Default)]
pub(crate) struct AdmissionState {
    services: RefCell<HashMap<ServiceId, ServiceAdmission>>,
}

/// The requests of one service that wait or are in flight.
#[derive(Debug)]
struct ServiceAdmission {
    queue: AdmissionQueue<WaitingRequest>,
    loads: AccountLoads,
    arrivals: ArrivalMeter,
    first_event: FirstEventEstimate,
    ceiling: LoadCeiling,
    /// When a request last had to wait; `None` while the service is not contended.
    contended_at: Option<TimePoint>,
}

/// A request in the queue.
#[derive(Debug)]
struct WaitingRequest {
    /// Ends its wait.
    waker: oneshot::Sender<WaitEnd>,
    /// The backend servers that it has tried, whose places are none for it.
    tried: SmallVec<[BackendId; 4]>,
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
    /// Whether the request knows how its wait ended.
    is_over: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.state.metrics.admission.waiting.dec();
        let mut services = self.state.admission.services.borrow_mut();
        let admission = services.get_mut(self.service);
        let was_waiting = admission.is_some_and(|it| it.queue.remove(&self.ticket));
        drop(services);
        // Its caller left after it had been woken, so that the place is one for the next request. A
        // request that goes on wakes the next one itself, when it has taken its place.
        if !was_waiting && !self.is_over {
            wake_waiting(self.state, self.service);
        }
    }
}

/// How a request that waited goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitEnd {
    /// There may be a place, or no reason to wait any more.
    Woken,
    /// The time for which it may wait in its band is over.
    Expired,
    /// The queue is full of requests that rank before it.
    Crowded,
}

impl RequestDispatch<'_> {
    /// Waits until a backend server has a place for the request, and chooses it.
    ///
    /// A request that has been sent before, such as a stream that broke off, is sent without a free
    /// place if it has waited too long.
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
        // Whether it was woken, so that the place is for this request.
        let mut is_turn = false;
        loop {
            let in_force = state.in_force().filter(|_| has_waited);
            if is_first
                && in_force
                    .as_ref()
                    .is_some_and(|it| !request.has_valid_key(it))
            {
                // Its place is one for the next request.
                wake_waiting(state, &request.service);
                return Err(self.final_error(RefusalReason::UnknownKey));
            }
            if in_force.is_some_and(|it| !it.admissions.contains_key(&request.service)) {
                // A new configuration does not limit the service any more.
                return self.choose().map_err(|it| self.final_error(it));
            }
            let rank = self.wait_rank(policy, bounds);
            let is_behind = !is_turn && ranks_behind(state, &request.service, rank);
            if !is_behind && let Some(chosen) = self.choose_in_turn(policy, rank)? {
                if has_waited {
                    state.metrics.admission.admitted_late.inc();
                    let waited = arrived_at.elapsed().as_secs_f64();
                    state.metrics.admission.wait_time.observe(waited);
                }
                return Ok(chosen);
            }
            has_waited = true;
            let end = self.wait(rank, is_behind).await;
            is_turn = end == WaitEnd::Woken;
            match end {
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

    /// Chooses a backend server that has a place; `None` if there is none.
    fn choose_in_turn(
        &self,
        policy: &AdmissionPolicy,
        rank: WaitRank,
    ) -> Result<Option<BackendRegistration>, RequestError> {
        let chosen = self.choose_within(Some(self.load_limit(policy, rank)));
        if chosen.is_err() {
            // What refuses this request may refuse the next one, which must not wait for it.
            wake_waiting(self.state, &self.request.service);
        }
        chosen
    }

    /// Waits in the queue. `is_behind` says that others rank before it, which may have a place.
    async fn wait(&self, rank: WaitRank, is_behind: bool) -> WaitEnd {
        let (state, service) = (self.state, &self.request.service);
        let now = state.clock.now();
        let (waker, woken) = oneshot::channel();
        let waiting = WaitingRequest {
            waker,
            tried: self.tried(),
        };
        let pushed = state.admission.with(service, |admission| {
            if admission.contended_at.is_none() {
                tracing::info!(%service, "requests wait for a place at the engines of a service");
            }
            admission.contended_at = Some(now);
            admission.queue.push(rank, waiting)
        });
        let Ok((ticket, evicted)) = pushed else {
            return WaitEnd::Crowded;
        };
        if let Some(evicted) = evicted {
            // It fails only if the caller has just left.
            let _ = evicted.waker.send(WaitEnd::Crowded);
        }
        state.metrics.admission.waiting.inc();
        let mut guard = WaitGuard {
            state,
            service,
            ticket,
            is_over: false,
        };
        if is_behind {
            wake_waiting(state, service);
        }
        let wait = rank.due.since(now).as_duration().max(MIN_WAIT);
        let ended = timeout(wait, woken).await;
        guard.is_over = true;
        match ended {
            Ok(Ok(end)) => end,
            // The queue was dropped with the policy of its service.
            Ok(Err(_)) => WaitEnd::Woken,
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

/// Wakes the first waiting request of a service for which there is a place.
///
/// It wakes the next one when it has taken its place. A request is also woken if it is to be refused
/// because no backend server can be chosen any more.
pub(crate) fn wake_waiting(state: &EntryState, service: &ServiceId) {
    let Some(policy) = state.admission_policy(service) else {
        return;
    };
    let mut services = state.admission.services.borrow_mut();
    let Some(admission) = services.get_mut(service) else {
        return;
    };
    // Most calls find an empty queue.
    while !admission.queue.is_empty() {
        let Some(waiting) = take_next(state, &policy, service, admission) else {
            return;
        };
        // It fails only if the caller has just left.
        if waiting.waker.send(WaitEnd::Woken).is_ok() {
            return;
        }
    }
}

/// Removes the first waiting request for which there is a place.
fn take_next(
    state: &EntryState,
    policy: &AdmissionPolicy,
    service: &ServiceId,
    admission: &mut ServiceAdmission,
) -> Option<WaitingRequest> {
    let settings = state.settings();
    let backends = state.backends.borrow();
    let now = state.clock.now();
    let entries = state.entry_count.borrow_mut().get(now);
    let (arrivals, ceiling) = (&admission.arrivals, &admission.ceiling);
    let mut passed_over = 0;
    admission.queue.take_first(|rank, waiting| {
        let reserve = arrivals.reserve(rank.level, now);
        let limit = policy.load_limit(rank.level, ceiling, reserve, entries);
        let query = ChoiceQuery {
            prompt: None,
            service,
            domain: &settings.domain,
            tried: &waiting.tried,
            load_limit: Some(limit),
            now,
        };
        if !is_full(&backends, &query) {
            return ControlFlow::Continue(true);
        }
        // One that has tried no backend server has as many places as any that rank behind it.
        passed_over += 1;
        if waiting.tried.is_empty() || passed_over > MAX_PASSED_OVER {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(false)
    })
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
