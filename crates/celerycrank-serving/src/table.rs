//! The table of the backend servers known to an entry.

mod exclusion;

use std::{collections::HashMap, net::SocketAddr};

use celerycrank_types::{BackendId, GroupId, RequestRate, ServiceId, TimePoint, TimeSpan};

use self::exclusion::new_state;
use crate::{
    BackendRegistration, BackendState, EntryPlace, LimitNotice, LoadReport, RegistrationChange,
    StabilityChange,
    answer_pace::AnswerPace,
    cold::ColdPolicy,
    departure::{DepartureSet, IncarnationState},
    evacuation::EvacuationSet,
    fate::ReplacedSet,
    stability::{GroupStability, RankNotice},
};

/// The backend servers known to an entry, by service.
#[derive(Debug, Default)]
pub struct BackendTable {
    /// The backend servers of each service, in the order in which their incarnations registered.
    services: HashMap<ServiceId, Vec<BackendState>>,
    services_by_backend: HashMap<BackendId, ServiceId>,
    /// The place of this entry among all entries; `None` while it is unknown.
    place: Option<EntryPlace>,
    /// The closures of lock-step groups.
    groups: GroupStability,
    evacuated: EvacuationSet,
    cold: ColdPolicy,
    departed: DepartureSet,
    replaced: ReplacedSet,
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
            RegistrationChange::Written(registration) => self.write(registration, now),
            RegistrationChange::Removed(backend) => self.mark_removed(&backend, now),
        }
    }

    /// Applies the complete list of registrations; those missing from it count as removed.
    pub fn replace(&mut self, registrations: Vec<BackendRegistration>, now: TimePoint) {
        self.cold.started_at.get_or_insert(now);
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
            self.write(registration, now);
        }
    }

    /// Drops removed backend servers whose grace period has ended, that have no request of this
    /// entry in flight and that could be sent a request at once if they registered again.
    pub fn prune_removed(&mut self, now: TimePoint) {
        for states in self.services.values_mut() {
            states.retain(|state| {
                let is_unused = state.is_grace_over(now) && state.load.own() == 0;
                // One that registers again still wants no requests until the end of its pause.
                let is_paused = state.pause.remaining(now).is_some();
                let is_prunable = is_unused && !is_paused && state.cold.is_forgettable(now);
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
    pub fn note_answer(&mut self, backend: &BackendId, is_failure: bool, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state.note_answer(is_failure, now);
        }
    }

    /// Records an agent's report about its backend server.
    pub fn observe_load(&mut self, backend: &BackendId, report: LoadReport, now: TimePoint) {
        let Some(service) = self.services_by_backend.get(backend).cloned() else {
            return;
        };
        let Some(state) = self.find_mut(backend) else {
            return;
        };
        let group = report.group.clone();
        let notice = RankNotice {
            is_open: report.is_open,
            was_open: state.load.was_open() && state.load.group() == group.as_ref(),
            closed_before: state.load.closed_at(),
        };
        state.load.observe(report, now);
        let Some(group) = group else {
            state.unstable_until = None;
            return;
        };
        if self.groups.note_report(&service, &group, notice, now) {
            self.update_group(&service, &group);
            return;
        }
        let until = self.groups.unstable_until(&service, &group);
        if let Some(state) = self.find_mut(backend) {
            state.unstable_until = until;
        }
    }

    /// Returns the lock-step groups that have become unstable or stable since the last call.
    pub fn take_stability_changes(&mut self, now: TimePoint) -> Vec<StabilityChange> {
        self.groups.prune(now);
        self.groups.take_changes(now)
    }

    /// Returns the number of unstable lock-step groups.
    #[must_use]
    pub fn unstable_groups(&self, now: TimePoint) -> usize {
        self.groups.count_unstable(now)
    }

    /// Returns the number of lock-step groups whose closures are tracked.
    #[must_use]
    pub fn tracked_groups(&self) -> usize {
        self.groups.len()
    }

    /// Records the time that a buffered answer of a backend server without an agent took.
    ///
    /// A stream lasts as long as its caller asks for, so that its time shows nothing.
    pub fn note_answer_time(&mut self, backend: &BackendId, time: TimeSpan, now: TimePoint) {
        self.note_pace(backend, now, |pace| {
            pace.observe(time, now);
            true
        });
    }

    /// Records that a backend server without an agent has not answered a request successfully within a
    /// time.
    pub fn note_unanswered(&mut self, backend: &BackendId, waited: TimeSpan, now: TimePoint) {
        self.note_pace(backend, now, |pace| pace.observe_unanswered(waited, now));
    }

    /// Updates the pace of a backend server and compares it with the others, if it has changed.
    fn note_pace(
        &mut self,
        backend: &BackendId,
        now: TimePoint,
        update: impl FnOnce(&mut AnswerPace) -> bool,
    ) {
        let Some(service) = self.services_by_backend.get(backend) else {
            return;
        };
        let Some(states) = self.services.get_mut(service) else {
            return;
        };
        let position = states
            .iter()
            .position(|it| it.registration.backend == *backend);
        let Some(position) = position else {
            return;
        };
        let (before, rest) = states.split_at_mut(position);
        let Some((state, after)) = rest.split_first_mut() else {
            return;
        };
        if !state.load.is_reported() && update(&mut state.pace) {
            let others = after.iter().chain(before.iter()).map(|it| &it.pace);
            state.pace.compare(others, now);
        }
    }

    /// Records that a backend server broke off its answer to a request.
    pub fn note_broken(&mut self, backend: &BackendId, now: TimePoint) {
        self.note_answer(backend, true, now);
        self.note_possible_restart(backend, now);
        self.note_group_failure(backend, now);
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
        let Some(state) = self.find_mut(backend) else {
            return;
        };
        state.note_refused(now);
        // One that is full refuses requests although its group is open.
        if state.load.total(now) < state.registration.slots {
            self.note_group_failure(backend, now);
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
        let is_departing = state.is_departing();
        state.is_misdirected = true;
        let (service, address) = (
            state.registration.service.clone(),
            state.registration.address,
        );
        let incarnation = state.registration.to_incarnation();
        if !is_departing {
            self.replaced.note(incarnation);
        }
        self.mark_superseded(&service, address);
    }

    /// Records that a backend server was unreachable or dropped the connection.
    pub fn note_unreachable(&mut self, backend: &BackendId, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state.note_unreachable(now);
        }
        self.note_possible_restart(backend, now);
        self.note_group_failure(backend, now);
    }

    /// Records that a request failed as it does when the lock-step group of its backend server closes.
    fn note_group_failure(&mut self, backend: &BackendId, now: TimePoint) {
        let Some(service) = self.services_by_backend.get(backend).cloned() else {
            return;
        };
        let group = self
            .find_mut(backend)
            .and_then(|it| it.load.group().cloned());
        let Some(group) = group else {
            return;
        };
        if self.groups.note_failure(&service, &group, backend, now) {
            self.update_group(&service, &group);
        }
    }

    /// Updates the backend servers of a lock-step group after a closure.
    fn update_group(&mut self, service: &ServiceId, group: &GroupId) {
        let until = self.groups.unstable_until(service, group);
        let states = self.services.get_mut(service).into_iter().flatten();
        for state in states.filter(|state| state.load.group() == Some(group)) {
            state.unstable_until = until;
        }
    }

    fn write(&mut self, registration: BackendRegistration, now: TimePoint) {
        self.note_replaced(&registration);
        let known = self.find_mut(&registration.backend);
        let pause = known.map(|it| it.pause).unwrap_or_default();
        let has_changed_service = self
            .services_by_backend
            .get(&registration.backend)
            .is_some_and(|service| *service != registration.service);
        let moved = if has_changed_service {
            self.remove(&registration.backend)
        } else {
            None
        };
        self.services_by_backend
            .insert(registration.backend.clone(), registration.service.clone());
        let (service, address) = (registration.service.clone(), registration.address);
        let backend = registration.backend.clone();
        let states = self.services.entry(service.clone()).or_default();
        let known = states.iter();
        let position = known
            .map(|state| &state.registration.backend)
            .position(|backend| *backend == registration.backend);
        match position.map(|index| (index, &mut states[index])) {
            Some((_, state)) if state.registration.incarnation == registration.incarnation => {
                let was_evacuated = state.is_evacuated;
                state.is_evacuated = self.evacuated.contains(&registration.domain);
                let remaining = if was_evacuated && !state.is_evacuated {
                    let unobserved = self.cold.unobserved_span(&service);
                    registration.warm_up_remaining.max(unobserved)
                } else {
                    registration.warm_up_remaining
                };
                state.cold.note_remaining(remaining, now);
                state.registration = registration;
                state.removed_at = None;
            }
            Some((index, _)) => {
                // A new incarnation has no history and counts as the latest registration.
                let previous = states.remove(index);
                let (evacuated, cold) = (&self.evacuated, &self.cold);
                let state = new_state(evacuated, cold, Some(previous), registration, now);
                states.push(state);
            }
            None => {
                let (evacuated, cold) = (&self.evacuated, &self.cold);
                states.push(new_state(evacuated, cold, moved, registration, now));
            }
        }
        let mut written = states.iter_mut();
        if let Some(state) = written.find(|it| it.registration.backend == backend) {
            state.pause = pause;
            // One that has said that it is shutting down may be listed again.
            if self.departed.contains(&state.registration) {
                state.incarnation_state = IncarnationState::Leaving;
            }
        }
        self.mark_superseded(&service, address);
    }

    /// Records the incarnation that has ended unannounced, if a new one has taken its address.
    ///
    /// The key-value service may list an earlier incarnation again, which replaces none.
    fn note_replaced(&mut self, registration: &BackendRegistration) {
        let known = self.registration(&registration.backend);
        let is_listed = known.is_some_and(|it| it.is_same_incarnation(registration));
        if is_listed || self.replaced.contains(&registration.to_incarnation()) {
            return;
        }
        let states = self.of_service(&registration.service).iter();
        let mut same = states.filter(|it| it.registration.address == registration.address);
        let replaced = same.find(|state| !state.is_departing() && !state.is_superseded);
        if let Some(replaced) = replaced.map(|state| state.registration.to_incarnation()) {
            self.replaced.note(replaced);
        }
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

    fn remove(&mut self, backend: &BackendId) -> Option<BackendState> {
        let service = self.services_by_backend.remove(backend)?;
        let states = self.services.get_mut(&service)?;
        let mut names = states.iter().map(|state| &state.registration.backend);
        let position = names.position(|name| name == backend)?;
        Some(states.remove(position))
    }
}
