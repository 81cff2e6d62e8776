//! The table of the backend servers known to an entry.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use celerycrank_types::{
    BackendId, DomainId, GroupId, RequestRate, ServiceId, TimePoint, TimeSpan,
};

use crate::{
    BackendRegistration, BackendState, ColdBounds, ColdStart, EntryPlace, EvacuationChange,
    LimitNotice, LoadReport, RegistrationChange, SendObstacle, ServiceObstacle, StabilityChange,
    answer_pace::AnswerPace,
    cold::{ColdPace, ColdPolicy},
    departure::{DepartureSet, IncarnationState},
    evacuation::EvacuationSet,
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

    /// Drops removed backend servers whose grace period has ended and that have no request of
    /// this entry in flight.
    pub fn prune_removed(&mut self, now: TimePoint) {
        for states in self.services.values_mut() {
            states.retain(|state| {
                // One that registers again still wants no requests until the end of its pause.
                let is_prunable = state.is_grace_over(now)
                    && state.load.own() == 0
                    && state.pause.remaining(now).is_none();
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

    /// Sets how the backend servers of each service start, and what all entries together may send to
    /// a cold one.
    pub fn set_cold_starts(
        &mut self,
        starts: HashMap<ServiceId, ColdStart>,
        bounds: Option<ColdBounds>,
        now: TimePoint,
    ) {
        self.cold.starts = starts;
        self.cold.bounds = bounds;
        self.update_cold_shares(now);
    }

    /// Sets the place of this entry among all entries, which share the requests that cold backend
    /// servers take; `None` if it is not known for certain.
    pub fn set_cold_place(&mut self, place: Option<EntryPlace>, now: TimePoint) {
        if self.cold.place != place {
            self.cold.place = place;
            self.update_cold_shares(now);
        }
    }

    /// Records how long a backend server is still cold; returns whether it was not known to be cold.
    pub fn note_cold(&mut self, backend: &BackendId, remaining: TimeSpan, now: TimePoint) -> bool {
        let Some(state) = self.find_mut(backend) else {
            return false;
        };
        let was_cold = state.cold.remaining(now).is_some();
        state.cold.note_remaining(remaining, now);
        !was_cold && state.cold.remaining(now).is_some()
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &DomainId> {
        self.evacuated.iter()
    }

    /// Applies the complete list of evacuated failure domains.
    pub fn replace_evacuated(
        &mut self,
        domains: BTreeSet<DomainId>,
        now: TimePoint,
    ) -> EvacuationChange {
        let change = self.evacuated.replace(domains);
        self.apply_evacuation(&change, now);
        change
    }

    /// Records that the evacuation of a failure domain begins.
    pub fn begin_evacuation(&mut self, domain: DomainId) -> EvacuationChange {
        let change = self.evacuated.begin(domain);
        self.apply_evacuation(&change, TimePoint::default());
        change
    }

    /// Records that the evacuation of a failure domain ends.
    ///
    /// Its backend servers count as cold: they may have become so shortly before, unobserved.
    pub fn end_evacuation(&mut self, domain: &DomainId, now: TimePoint) -> EvacuationChange {
        let change = self.evacuated.end(domain);
        self.apply_evacuation(&change, now);
        change
    }

    /// Records that the incarnation to which a request was sent has answered that it is shutting down;
    /// returns whether that was not known.
    pub fn note_leaving(&mut self, sent_to: &BackendRegistration) -> bool {
        let is_new = self.departed.note(sent_to);
        if let Some(state) = self.find_mut(&sent_to.backend)
            && state.registration.incarnation == sent_to.incarnation
        {
            state.incarnation_state = IncarnationState::Leaving;
        }
        is_new
    }

    /// Whether an incarnation has said that it is shutting down.
    #[must_use]
    pub fn has_left(&self, registration: &BackendRegistration) -> bool {
        self.departed.contains(registration)
    }

    /// Records that a backend server wants no requests for a time, at most [`MAX_PAUSE`]; returns
    /// whether a pause begins.
    ///
    /// It holds for later incarnations too.
    ///
    /// [`MAX_PAUSE`]: crate::MAX_PAUSE
    pub fn note_pause(&mut self, backend: &BackendId, span: TimeSpan, now: TimePoint) -> bool {
        let state = self.find_mut(backend);
        state.is_some_and(|state| state.pause.extend(span, now))
    }

    /// Returns the backend servers whose pauses have ended since the last call.
    pub fn take_ended_pauses(&mut self, now: TimePoint) -> Vec<BackendId> {
        let ended = self.iter_mut().filter_map(|state| {
            let has_ended = state.pause.take_end(now);
            has_ended.then(|| state.registration.backend.clone())
        });
        ended.collect()
    }

    /// Checks right before a request is sent that no obstacle has arisen since the choice which no
    /// request overcomes, and records the send.
    ///
    /// # Errors
    ///
    /// Fails with the obstacle for which nothing may be sent.
    pub fn admit_send(
        &mut self,
        chosen: &BackendRegistration,
        now: TimePoint,
    ) -> Result<(), SendObstacle> {
        // The backend server may have registered in another failure domain since it was chosen.
        let current = self.registration(&chosen.backend).unwrap_or(chosen);
        let domains = [&chosen.domain, &current.domain];
        if domains.iter().any(|it| self.evacuated.contains(it)) {
            return Err(SendObstacle::Evacuated);
        }
        if self.has_left(chosen) || self.has_left(current) {
            return Err(SendObstacle::Leaving);
        }
        if let Some(state) = self.find_mut(&chosen.backend) {
            if state.pause.remaining(now).is_some() {
                return Err(SendObstacle::Paused);
            }
            if !state.cold.has_room(now) {
                return Err(SendObstacle::Cold);
            }
            state.cold.take(now);
        }
        Ok(())
    }

    /// Returns why no backend server of a service can be chosen for a request.
    #[must_use]
    pub fn service_obstacle(&self, service: &ServiceId, now: TimePoint) -> ServiceObstacle {
        let states = self.of_service(service).iter();
        let cold = states.clone();
        let cold = cold.filter(|state| state.obstacle(now) == Some(SendObstacle::Cold));
        if let Some(retry_after) = cold.map(|state| state.cold.time_until_room(now)).min() {
            return ServiceObstacle::Cold { retry_after };
        }
        let obstacles = states.map(|state| state.obstacle(now));
        let mut open = obstacles.clone();
        let has_open = open.any(|it| it.is_none_or(SendObstacle::allows_last_resort));
        let has = |obstacle| obstacles.clone().any(|it| it == Some(obstacle));
        if has_open {
            ServiceObstacle::NoBackend
        } else if let Some(retry_after) = self.shortest_pause(service, now) {
            ServiceObstacle::Paused { retry_after }
        } else if has(SendObstacle::Evacuated) {
            ServiceObstacle::Evacuated
        } else if has(SendObstacle::Leaving) {
            ServiceObstacle::Leaving
        } else {
            ServiceObstacle::NoBackend
        }
    }

    /// Whether the backend servers of a service want no requests, so that none need wait for a place.
    #[must_use]
    pub fn is_closed(&self, service: &ServiceId, now: TimePoint) -> bool {
        let obstacle = self.service_obstacle(service, now);
        matches!(
            obstacle,
            ServiceObstacle::Leaving | ServiceObstacle::Paused { .. }
        )
    }

    /// The time until the first of the paused backend servers takes requests again.
    fn shortest_pause(&self, service: &ServiceId, now: TimePoint) -> Option<TimeSpan> {
        let paused = self.of_service(service).iter();
        let paused = paused.filter(|it| it.obstacle(now) == Some(SendObstacle::Paused));
        paused.filter_map(|it| it.pause.remaining(now)).min()
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
        self.note_answer(backend, true);
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
        let known = self.find_mut(&registration.backend);
        let pause = known.map(|it| it.pause).unwrap_or_default();
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
        let backend = registration.backend.clone();
        let states = self.services.entry(service.clone()).or_default();
        let known = states.iter();
        let position = known
            .map(|state| &state.registration.backend)
            .position(|backend| *backend == registration.backend);
        match position.map(|index| (index, &mut states[index])) {
            Some((_, state)) if state.registration.incarnation == registration.incarnation => {
                state.is_evacuated = self.evacuated.contains(&registration.domain);
                state
                    .cold
                    .note_remaining(registration.warm_up_remaining, now);
                state.registration = registration;
                state.removed_at = None;
            }
            Some((index, _)) => {
                // A new incarnation has no history and counts as the latest registration.
                states.remove(index);
                states.push(new_state(&self.evacuated, &self.cold, registration, now));
            }
            None => states.push(new_state(&self.evacuated, &self.cold, registration, now)),
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

    fn update_cold_shares(&mut self, now: TimePoint) {
        for state in self.services.values_mut().flatten() {
            let BackendRegistration {
                service, backend, ..
            } = &state.registration;
            state.cold.set_share(self.cold.share(service, backend), now);
        }
    }

    fn apply_evacuation(&mut self, change: &EvacuationChange, now: TimePoint) {
        for state in self.services.values_mut().flatten() {
            let domain = &state.registration.domain;
            if change.begun.contains(domain) {
                state.is_evacuated = true;
            } else if change.ended.contains(domain) {
                state.is_evacuated = false;
                let span = self.cold.unobserved_span(&state.registration.service);
                state.cold.note_remaining(span, now);
            }
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

/// Creates the state of a backend server that was not known, or whose process is new.
fn new_state(
    evacuated: &EvacuationSet,
    policy: &ColdPolicy,
    registration: BackendRegistration,
    now: TimePoint,
) -> BackendState {
    let is_evacuated = evacuated.contains(&registration.domain);
    let share = policy.share(&registration.service, &registration.backend);
    let mut cold = ColdPace::new(share, now);
    cold.note_remaining(registration.warm_up_remaining, now);
    let mut state = BackendState::new(registration, cold);
    state.is_evacuated = is_evacuated;
    state
}
