//! The table of the backend servers known to an entry.

use std::{collections::HashMap, net::SocketAddr};

use celerycrank_types::{BackendId, RequestRate, ServiceId, TimePoint};

use crate::{BackendRegistration, BackendState, EntryPlace, LimitNotice, RegistrationChange};

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

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut BackendState> {
        self.services.values_mut().flatten()
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
                let is_prunable = state.is_grace_over(now) && state.load.own() == 0;
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
            state.begin(now);
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

    /// Records the limit in an answer, or its absence; returns whether the other entries have to be
    /// notified.
    ///
    /// They are notified of a change, and at intervals that the limit is still named.
    pub fn note_limit(&mut self, backend: &BackendId, notice: LimitNotice) -> bool {
        let place = self.place;
        let state = self.find_mut(backend);
        state.is_some_and(|state| state.note_limit(notice, place))
    }

    /// Records a notice of another entry about the limit of a backend server; returns whether the
    /// limit has changed.
    pub fn note_announced_limit(
        &mut self,
        backend: &BackendId,
        rate: Option<RequestRate>,
        now: TimePoint,
    ) -> bool {
        let place = self.place;
        let state = self.find_mut(backend);
        state.is_some_and(|state| state.note_announced_limit(rate, place, now))
    }

    /// Updates the place of this entry among all entries, which share the limits.
    pub fn set_place(&mut self, place: Option<EntryPlace>, now: TimePoint) {
        self.place = place;
        for state in self.services.values_mut().flatten() {
            state.set_place(place, now);
        }
    }

    /// Records that a backend server refused to run a request.
    ///
    /// It is full, or a rank of its group is missing, so other backend servers are preferred for
    /// a short time.
    pub fn note_refused(&mut self, backend: &BackendId, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state.note_refused(now);
        }
    }

    /// Records that another process answered at the address of a backend server.
    ///
    /// The answer must prove that: a rejection of what one request asks for does not.
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
