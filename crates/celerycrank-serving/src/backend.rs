//! The backend servers known to an entry, with their observed load and health.

use std::{collections::HashMap, net::SocketAddr};

use celerycrank_types::{BackendId, DomainId, RequestRate, ServiceId, TimePoint, TimeSpan};

use crate::{EntryPlace, LoadEstimate, limit::RequestAllowance};

/// Time for which a backend server may still be used as a last resort after its registration
/// was removed.
///
/// An outage of the key-value service removes the registrations of live backend servers; they
/// are written again soon after the key-value service has recovered.
const REMOVAL_GRACE: TimeSpan = TimeSpan::from_millis(1_500);

/// Initial backoff after a backend server was unreachable or refused a request.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::from_millis(250);

/// Maximum backoff of an unreachable backend server.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(2_000);

/// Weight of the newest answer in the moving average of the failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.2;

/// Interval at which the other entries are told that a limit is still named.
const ANNOUNCEMENT_INTERVAL: TimeSpan = TimeSpan::from_secs(3);

/// The state that a backend server reports in its registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RegistrationState {
    /// Accepts new requests.
    Ready,
    /// Is shutting down and accepts no new requests.
    Draining,
}

/// The registration of a backend server in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRegistration {
    /// The name of the backend server; a later incarnation may reuse it.
    pub backend: BackendId,
    /// The service that it offers.
    pub service: ServiceId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// Maximum number of requests processed at the same time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: RegistrationState,
    /// Identifies one incarnation; it changes whenever the backend server restarts.
    pub incarnation: u64,
    /// Remaining warm-up time, during which it is slower than usual.
    pub warm_up_remaining: TimeSpan,
}

/// A change to the registrations in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistrationChange {
    /// A registration was written.
    Written(BackendRegistration),
    /// A registration was removed or can no longer be parsed.
    Removed(BackendId),
}

/// One entry's view of a backend server.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// Its latest registration.
    pub registration: BackendRegistration,
    /// Its estimated load.
    pub load: LoadEstimate,
    /// When its registration was removed.
    removed_at: Option<TimePoint>,
    /// Whether another process answered at its address. Only a registration of a new incarnation
    /// clears this.
    is_misdirected: bool,
    /// Whether a backend server of the same service registered later with the same address.
    is_superseded: bool,
    /// End and length of the latest backoff.
    backoff: Option<(TimePoint, TimeSpan)>,
    /// Moving average of failed answers, from 0 to 1.
    failure_rate: f64,
    /// What this entry may send to it, while it names a limit in its answers.
    allowance: Option<RequestAllowance>,
    /// When an answer last named the limit.
    limit_named_at: TimePoint,
    /// When the other entries were last told that it is named.
    limit_announced_at: TimePoint,
}

/// What an answer says of the limit of its backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// The limit; `None` if the answer names none.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent_at: TimePoint,
    /// When the answer arrived.
    pub now: TimePoint,
}

impl BackendState {
    fn new(registration: BackendRegistration) -> Self {
        Self {
            registration,
            load: LoadEstimate::default(),
            removed_at: None,
            is_misdirected: false,
            is_superseded: false,
            backoff: None,
            failure_rate: 0.0,
            allowance: None,
            limit_named_at: TimePoint::default(),
            limit_announced_at: TimePoint::default(),
        }
    }

    /// The limit that it names on the requests of all entries together, if any.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        self.allowance.as_ref().map(RequestAllowance::limit)
    }

    /// Whether its limit, if it names one, allows this entry a request.
    #[must_use]
    pub fn is_within_limit(&self, now: TimePoint) -> bool {
        let allowance = self.allowance.as_ref();
        allowance.is_none_or(|allowance| allowance.has_room(now))
    }

    /// The time until its limit allows this entry a request; `None` if it never does.
    #[must_use]
    pub fn time_until_room(&self, now: TimePoint) -> Option<TimeSpan> {
        let allowance = self.allowance.as_ref();
        allowance.map_or(Some(TimeSpan::ZERO), |it| it.time_until_room(now))
    }

    /// Whether it may receive new requests.
    #[must_use]
    pub fn is_usable(&self, now: TimePoint) -> bool {
        let is_current = !self.is_superseded;
        is_current && self.is_available() && self.backoff.is_none_or(|(until, _)| now >= until)
    }

    /// Whether it may receive new requests if no usable backend server is left.
    #[must_use]
    pub fn is_last_resort(&self, now: TimePoint) -> bool {
        let since_removal = self.removed_at.map(|at| now.since(at));
        let is_within_grace = since_removal.is_none_or(|span| span < REMOVAL_GRACE);
        self.registration.state == RegistrationState::Ready
            && !self.is_misdirected
            && is_within_grace
    }

    /// Moving average of failed answers, from 0 to 1.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn is_available(&self) -> bool {
        self.registration.state == RegistrationState::Ready
            && !self.is_misdirected
            && self.removed_at.is_none()
    }

    fn note_answer(&mut self, is_failure: bool) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * FAILURE_RATE_SMOOTHING;
        if !is_failure {
            self.backoff = None;
        }
    }

    /// Sets the limit; returns whether it has changed.
    fn set_limit(
        &mut self,
        rate: Option<RequestRate>,
        place: Option<EntryPlace>,
        now: TimePoint,
    ) -> bool {
        let known = self.limit();
        let backend = &self.registration.backend;
        match (rate, &mut self.allowance) {
            (Some(rate), Some(allowance)) => allowance.confirm(rate, backend, now),
            (Some(rate), None) => {
                self.allowance = Some(RequestAllowance::new(rate, backend, place, now));
            }
            (None, _) => self.allowance = None,
        }
        known != rate
    }

    fn note_unreachable(&mut self, now: TimePoint) {
        let span = match self.backoff {
            // Requests that fail at the same time extend the backoff only once.
            Some((until, span)) if now < until => span,
            Some((_, span)) => TimeSpan((span.0 * 2).min(MAX_BACKOFF.0)),
            None => INITIAL_BACKOFF,
        };
        self.backoff = Some((now + span, span));
    }
}

/// The backend servers known to an entry, by service.
#[derive(Debug, Default)]
pub struct BackendTable {
    /// The backend servers of each service, in the order in which their incarnations registered.
    services: HashMap<ServiceId, Vec<BackendState>>,
    services_by_backend: HashMap<BackendId, ServiceId>,
    /// The place of this entry among all entries; `None` while it is unknown.
    place: Option<EntryPlace>,
}

impl BackendTable {
    /// Returns the backend servers of a service.
    #[must_use]
    pub fn of_service(&self, service: &ServiceId) -> &[BackendState] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns an iterator over all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &BackendState> {
        self.services.values().flatten()
    }

    /// Applies a change to one registration.
    pub fn apply(&mut self, change: RegistrationChange, now: TimePoint) {
        match change {
            RegistrationChange::Written(registration) => self.write(registration),
            RegistrationChange::Removed(backend) => self.mark_removed(&backend, now),
        }
    }

    /// Applies the complete list of registrations; those missing from it count as removed.
    pub fn replace(&mut self, registrations: Vec<BackendRegistration>, now: TimePoint) {
        let listed = registrations
            .iter()
            .map(|registration| registration.backend.clone());
        let listed = listed.collect::<std::collections::HashSet<_>>();
        let missing = self
            .services_by_backend
            .keys()
            .filter(|it| !listed.contains(*it));
        for backend in missing.cloned().collect::<Vec<_>>() {
            self.mark_removed(&backend, now);
        }
        for registration in registrations {
            self.write(registration);
        }
    }

    /// Drops removed backend servers whose grace period has ended and that have no request of
    /// this entry in flight.
    pub fn prune_removed(&mut self, now: TimePoint) {
        for states in self.services.values_mut() {
            states.retain(|state| {
                let is_grace_over = state
                    .removed_at
                    .is_some_and(|at| now.since(at) >= REMOVAL_GRACE);
                let is_prunable = is_grace_over && state.load.own() == 0;
                if is_prunable {
                    self.services_by_backend.remove(&state.registration.backend);
                }
                !is_prunable
            });
        }
    }

    /// Returns the registration of a backend server, unless it is unknown or was pruned.
    #[must_use]
    pub fn registration(&self, backend: &BackendId) -> Option<&BackendRegistration> {
        let states = self.services.get(self.services_by_backend.get(backend)?)?;
        let mut registrations = states.iter().map(|state| &state.registration);
        registrations.find(|it| it.backend == *backend)
    }

    /// Returns a backend server, unless it is unknown or was pruned.
    pub fn find_mut(&mut self, backend: &BackendId) -> Option<&mut BackendState> {
        let states = self
            .services
            .get_mut(self.services_by_backend.get(backend)?)?;
        states
            .iter_mut()
            .find(|state| state.registration.backend == *backend)
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, backend: &BackendId, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state.load.begin();
            if let Some(allowance) = &mut state.allowance {
                allowance.take(now);
            }
        }
    }

    /// Records that a request has ended.
    pub fn finish(&mut self, backend: &BackendId) {
        if let Some(state) = self.find_mut(backend) {
            state.load.finish();
        }
    }

    /// Records an answer and whether it was a failure of the backend server.
    pub fn note_answer(&mut self, backend: &BackendId, is_failure: bool) {
        if let Some(state) = self.find_mut(backend) {
            state.note_answer(is_failure);
        }
    }

    /// Records what an answer says of the limit of its backend server; returns whether the other
    /// entries have to be told.
    ///
    /// They are told of a change, and from time to time that the limit is still named.
    pub fn note_limit(&mut self, backend: &BackendId, notice: LimitNotice) -> bool {
        let place = self.place;
        let Some(state) = self.find_mut(backend) else {
            return false;
        };
        let LimitNotice { rate, sent_at, now } = notice;
        // An answer to an earlier request may have been made before the limit.
        if rate.is_none() && sent_at <= state.limit_named_at {
            return false;
        }
        let has_changed = state.set_limit(rate, place, now);
        if rate.is_some() {
            state.limit_named_at = now;
        }
        let is_due = now.since(state.limit_announced_at) >= ANNOUNCEMENT_INTERVAL;
        let is_announced = has_changed || (rate.is_some() && is_due);
        if is_announced {
            state.limit_announced_at = now;
        }
        is_announced
    }

    /// Records what another entry says of the limit of a backend server; returns whether the limit
    /// has changed.
    pub fn note_announced_limit(
        &mut self,
        backend: &BackendId,
        rate: Option<RequestRate>,
        now: TimePoint,
    ) -> bool {
        let place = self.place;
        let state = self.find_mut(backend);
        state.is_some_and(|state| state.set_limit(rate, place, now))
    }

    /// Updates the place of this entry among all entries, which share the limits.
    pub fn set_place(&mut self, place: Option<EntryPlace>, now: TimePoint) {
        self.place = place;
        for state in self.services.values_mut().flatten() {
            let backend = &state.registration.backend;
            if let Some(allowance) = &mut state.allowance {
                allowance.set_place(place, backend, now);
            }
        }
    }

    /// Records that a backend server refused to run a request.
    ///
    /// It is full, or a rank of its group is missing, so other backend servers are preferred for
    /// a short time.
    pub fn note_refused(&mut self, backend: &BackendId, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state
                .backoff
                .get_or_insert((now + INITIAL_BACKOFF, INITIAL_BACKOFF));
        }
    }

    /// Records that another process answered at the address of a backend server.
    ///
    /// The backend server has stopped, although the key-value service may list it for some more
    /// seconds. It is used again only after a new incarnation of it has registered.
    pub fn note_misdirected(&mut self, backend: &BackendId) {
        let Some(state) = self.find_mut(backend) else {
            return;
        };
        state.is_misdirected = true;
        let (service, address) = (
            state.registration.service.clone(),
            state.registration.address,
        );
        self.mark_superseded(&service, address);
    }

    /// Records that a backend server was unreachable or dropped the connection.
    pub fn note_unreachable(&mut self, backend: &BackendId, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state.note_unreachable(now);
        }
    }

    fn write(&mut self, registration: BackendRegistration) {
        let has_changed_service = self
            .services_by_backend
            .get(&registration.backend)
            .is_some_and(|service| *service != registration.service);
        if has_changed_service {
            self.remove(&registration.backend);
        }
        self.services_by_backend
            .insert(registration.backend.clone(), registration.service.clone());
        let (service, address) = (registration.service.clone(), registration.address);
        let states = self.services.entry(service.clone()).or_default();
        let known = states.iter();
        let position = known
            .map(|state| &state.registration.backend)
            .position(|backend| *backend == registration.backend);
        match position.map(|index| (index, &mut states[index])) {
            Some((_, state)) if state.registration.incarnation == registration.incarnation => {
                state.registration = registration;
                state.removed_at = None;
            }
            Some((index, _)) => {
                // A new incarnation has no history and counts as the latest registration.
                states.remove(index);
                states.push(BackendState::new(registration));
            }
            None => states.push(BackendState::new(registration)),
        }
        self.mark_superseded(&service, address);
    }

    /// Marks all backend servers at an address as superseded by the last one that is listed.
    ///
    /// A VM that restarts registers its backend server under another name before the
    /// registration of the previous one has expired.
    fn mark_superseded(&mut self, service: &ServiceId, address: SocketAddr) {
        let Some(states) = self.services.get_mut(service) else {
            return;
        };
        let mut has_newer = false;
        let same = states.iter_mut().rev();
        for state in same.filter(|state| state.registration.address == address) {
            state.is_superseded = has_newer;
            has_newer |= state.is_available();
        }
    }

    fn mark_removed(&mut self, backend: &BackendId, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state.removed_at.get_or_insert(now);
        }
    }

    fn remove(&mut self, backend: &BackendId) {
        let Some(service) = self.services_by_backend.remove(backend) else {
            return;
        };
        if let Some(states) = self.services.get_mut(&service) {
            states.retain(|state| state.registration.backend != *backend);
        }
    }
}
