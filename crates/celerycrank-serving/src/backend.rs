//! The backend servers that an entry knows, and how each has behaved.

use std::{collections::HashMap, net::SocketAddr};

use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint, TimeSpan};

use crate::LoadEstimate;

/// Time after its removal for which a backend server is used where no other is left.
///
/// The store drops entries of living backend servers while it is down, and has them back
/// soon after its return.
const REMOVAL_GRACE: TimeSpan = TimeSpan::from_millis(1_500);

/// First time for which a backend server that cannot be reached is left alone.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::from_millis(250);

/// Longest such time.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(2_000);

/// Part of the failure rate that one more answer replaces.
const FAILURE_RATE_SMOOTHING: f64 = 0.2;

/// Whether a backend server says that it takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RegistrationState {
    /// It takes work.
    Ready,
    /// It is about to leave and takes no new work.
    Draining,
}

/// What a backend server says of itself in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRegistration {
    /// Its name; another start may have the same one.
    pub backend: BackendId,
    /// What it offers.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub state: RegistrationState,
    /// Marks one start of it: another start has another mark.
    pub incarnation: u64,
    /// How much longer it stays slow after its start.
    pub warm_up_remaining: TimeSpan,
}

/// A change of the entries in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistrationChange {
    /// An entry was written.
    Written(BackendRegistration),
    /// An entry was removed, or can no longer be read.
    Removed(BackendId),
}

/// A backend server as an entry sees it.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// What it says of itself.
    pub registration: BackendRegistration,
    /// Its load.
    pub load: LoadEstimate,
    /// When its entry was removed.
    removed_at: Option<TimePoint>,
    /// Whether another process answers at its address; it stays away until it is written anew.
    is_misdirected: bool,
    /// Whether a backend server of the service was written later with the same address.
    is_superseded: bool,
    /// Until when it is left alone, and for how long.
    backoff: Option<(TimePoint, TimeSpan)>,
    /// Recent part of its answers that were failures, from 0 to 1.
    failure_rate: f64,
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
        }
    }

    /// Whether new work may go there while others can take it as well.
    #[must_use]
    pub fn is_usable(&self, now: TimePoint) -> bool {
        let is_current = !self.is_superseded;
        is_current && self.is_listed() && self.backoff.is_none_or(|(until, _)| now >= until)
    }

    /// Whether new work may go there if nobody else can take it.
    #[must_use]
    pub fn is_last_resort(&self, now: TimePoint) -> bool {
        let since_removal = self.removed_at.map(|at| now.since(at));
        let is_within_grace = since_removal.is_none_or(|span| span < REMOVAL_GRACE);
        self.registration.state == RegistrationState::Ready
            && !self.is_misdirected
            && is_within_grace
    }

    /// Recent part of its answers that were failures, from 0 to 1.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn is_listed(&self) -> bool {
        self.registration.state == RegistrationState::Ready
            && !self.is_misdirected
            && self.removed_at.is_none()
    }

    fn note_answer(&mut self, is_failure: bool) {
        let seen = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate += (seen - self.failure_rate) * FAILURE_RATE_SMOOTHING;
        if !is_failure {
            self.backoff = None;
        }
    }

    fn note_unreachable(&mut self, now: TimePoint) {
        let span = match self.backoff {
            // Requests that fail at the same moment lengthen the pause once.
            Some((until, span)) if now < until => span,
            Some((_, span)) => TimeSpan((span.0 * 2).min(MAX_BACKOFF.0)),
            None => INITIAL_BACKOFF,
        };
        self.backoff = Some((now + span, span));
    }
}

/// The backend servers that an entry knows, by service.
#[derive(Debug, Default)]
pub struct BackendTable {
    services: HashMap<ServiceId, Vec<BackendState>>,
    services_by_backend: HashMap<BackendId, ServiceId>,
}

impl BackendTable {
    /// The backend servers of a service.
    #[must_use]
    pub fn of_service(&self, service: &ServiceId) -> &[BackendState] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Every backend server.
    pub fn iter(&self) -> impl Iterator<Item = &BackendState> {
        self.services.values().flatten()
    }

    /// Takes a change of one entry.
    pub fn apply(&mut self, change: RegistrationChange, now: TimePoint) {
        match change {
            RegistrationChange::Written(registration) => self.write(registration),
            RegistrationChange::Removed(backend) => self.mark_removed(&backend, now),
        }
    }

    /// Takes the whole list of entries.
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

    /// Forgets backend servers that were removed and have nothing of this entry's left.
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

    /// One backend server, unless it was forgotten.
    pub fn find_mut(&mut self, backend: &BackendId) -> Option<&mut BackendState> {
        let states = self
            .services
            .get_mut(self.services_by_backend.get(backend)?)?;
        states
            .iter_mut()
            .find(|state| state.registration.backend == *backend)
    }

    /// Notes that a request was sent.
    pub fn begin(&mut self, backend: &BackendId) {
        if let Some(state) = self.find_mut(backend) {
            state.load.begin();
        }
    }

    /// Notes that a request has ended.
    pub fn finish(&mut self, backend: &BackendId) {
        if let Some(state) = self.find_mut(backend) {
            state.load.finish();
        }
    }

    /// Notes an answer, and whether it was a failure of the backend server.
    pub fn note_answer(&mut self, backend: &BackendId, is_failure: bool) {
        if let Some(state) = self.find_mut(backend) {
            state.note_answer(is_failure);
        }
    }

    /// Notes that a backend server refused to run a request.
    ///
    /// It is full, or a rank of its group is missing; others are tried first for a moment.
    pub fn note_refused(&mut self, backend: &BackendId, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state
                .backoff
                .get_or_insert((now + INITIAL_BACKOFF, INITIAL_BACKOFF));
        }
    }

    /// Notes that another process answered at the address of a backend server.
    ///
    /// It has ended, though the store may list it for some seconds more; it is used again only
    /// if it is written anew.
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

    /// Notes that a backend server could not be reached or broke off.
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
                // Another start knows nothing of before, and is the last one listed.
                states.remove(index);
                states.push(BackendState::new(registration));
            }
            None => states.push(BackendState::new(registration)),
        }
        self.mark_superseded(&service, address);
    }

    /// Keeps the last one that was listed with an address, of those that are not gone, apart
    /// from the others: a VM that restarts lists its backend server under another name, while
    /// the entry of the one before has not lapsed yet.
    fn mark_superseded(&mut self, service: &ServiceId, address: SocketAddr) {
        let Some(states) = self.services.get_mut(service) else {
            return;
        };
        let mut has_newer = false;
        let same = states.iter_mut().rev();
        for state in same.filter(|state| state.registration.address == address) {
            state.is_superseded = has_newer;
            has_newer |= state.is_listed();
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
