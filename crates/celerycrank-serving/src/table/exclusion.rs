//! What the table knows of evacuated failure domains, and of backend servers that are cold, leave or
//! ask for a pause.

use std::collections::{BTreeSet, HashMap};

use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint, TimeSpan};

use super::BackendTable;
use crate::{
    BackendIncarnation, BackendRegistration, BackendState, ColdBounds, ColdStart, EntryPlace,
    EvacuationChange, IncarnationFate, SendObstacle, ServiceObstacle,
    cold::{ColdPace, ColdPolicy},
    departure::IncarnationState,
    evacuation::EvacuationSet,
};

impl BackendTable {
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

    /// Whether the entries share something, so that each of them has to know its place.
    ///
    /// It must know its place before a backend server becomes cold: a list of entries counts only
    /// when lists have arrived for longer than a cold time may be.
    #[must_use]
    pub fn needs_place(&self) -> bool {
        self.iter().any(BackendState::is_shared)
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

    /// What has become of an incarnation.
    #[must_use]
    pub fn fate(&self, incarnation: &BackendIncarnation) -> IncarnationFate {
        if self.replaced.contains(incarnation) {
            return IncarnationFate::Replaced;
        }
        let mut states = self.of_service(&incarnation.service).iter();
        let state = states.find(|it| it.registration.backend == incarnation.backend);
        let is_current =
            |it: &&BackendState| it.registration.incarnation == incarnation.incarnation;
        match state.filter(is_current) {
            Some(state) if !state.is_departing() => IncarnationFate::Running,
            _ => IncarnationFate::Departing,
        }
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

    /// Records that a connection failed, as it does when a process ends.
    ///
    /// The next process at the address may be there before its registration arrives.
    pub(super) fn note_possible_restart(&mut self, backend: &BackendId, now: TimePoint) {
        let Some(service) = self.services_by_backend.get(backend) else {
            return;
        };
        let span = self.cold.unobserved_span(service);
        if span > TimeSpan::ZERO {
            self.note_cold(backend, span, now);
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
}

/// Creates the state of a backend server that was not known, whose process is new or which has changed
/// its service.
///
/// Of the previous state only what it was sent and for how long it is cold stay valid: requests of a
/// moment ago may have reached the new process.
pub(super) fn new_state(
    evacuated: &EvacuationSet,
    policy: &ColdPolicy,
    previous: Option<BackendState>,
    registration: BackendRegistration,
    now: TimePoint,
) -> BackendState {
    let is_evacuated = evacuated.contains(&registration.domain);
    let share = policy.share(&registration.service, &registration.backend);
    let mut cold = match previous {
        None => ColdPace::new(share, policy.started_at.unwrap_or(now)),
        Some(previous) => {
            let was_evacuated = previous.is_evacuated && !is_evacuated;
            let mut cold = previous.cold;
            cold.set_share(share, now);
            // Its registration may not say that it has just started.
            if was_evacuated || previous.registration.incarnation != registration.incarnation {
                cold.note_remaining(policy.unobserved_span(&registration.service), now);
            }
            cold
        }
    };
    cold.note_remaining(registration.warm_up_remaining, now);
    let mut state = BackendState::new(registration, cold);
    state.is_evacuated = is_evacuated;
    state
}
