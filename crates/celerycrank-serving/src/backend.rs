//! The backend servers that an entry knows, and how each has behaved.

use std::{collections::HashMap, net::SocketAddr};

use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint, TimeSpan};

use crate::LoadEstimate;

/// Time after its removal for which a backend server is used where no other is left.
///
/// The store drops entries of living backend servers while it is down, and has them back
/// soon after its return.
const LAPSE_SPAN: TimeSpan = TimeSpan::from_millis(1_500);

/// First time for which a backend server that cannot be reached is left alone.
const FIRST_PAUSE: TimeSpan = TimeSpan::from_millis(250);

/// Longest such time.
const LONGEST_PAUSE: TimeSpan = TimeSpan::from_millis(2_000);

/// Part of the failure rate that one more answer replaces.
const FAILURE_STEP: f64 = 0.2;

/// Whether a backend server says that it takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EntryState {
    /// It takes work.
    Ready,
    /// It is about to leave and takes no new work.
    Draining,
}

/// What a backend server says of itself in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
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
    pub state: EntryState,
    /// Marks one start of it: another start has another mark.
    pub start_mark: u64,
    /// How much longer it stays slow after its start.
    pub warming: TimeSpan,
}

/// A change of the entries in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// An entry was written.
    Written(BackendEntry),
    /// An entry was removed, or can no longer be read.
    Removed(BackendId),
}

/// A backend server as an entry sees it.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// What it says of itself.
    pub entry: BackendEntry,
    /// Its load.
    pub load: LoadEstimate,
    /// When its entry was removed.
    lapsed_at: Option<TimePoint>,
    /// Whether another process answers at its address; it stays away until it is written anew.
    is_gone: bool,
    /// Whether a backend server of the service was written later with the same address.
    is_superseded: bool,
    /// Until when it is left alone, and for how long.
    paused: Option<(TimePoint, TimeSpan)>,
    /// Recent part of its answers that were failures, from 0 to 1.
    failures: f64,
}

impl BackendState {
    fn new(entry: BackendEntry) -> Self {
        Self {
            entry,
            load: LoadEstimate::default(),
            lapsed_at: None,
            is_gone: false,
            is_superseded: false,
            paused: None,
            failures: 0.0,
        }
    }

    /// Whether new work may go there while others can take it as well.
    #[must_use]
    pub fn is_usable(&self, now: TimePoint) -> bool {
        let is_alone = !self.is_superseded;
        is_alone && self.is_listed() && self.paused.is_none_or(|(until, _)| now >= until)
    }

    /// Whether new work may go there if nobody else can take it.
    #[must_use]
    pub fn is_last_resort(&self, now: TimePoint) -> bool {
        let lapsed = self.lapsed_at.map(|at| now.since(at));
        let is_kept = lapsed.is_none_or(|span| span < LAPSE_SPAN);
        self.entry.state == EntryState::Ready && !self.is_gone && is_kept
    }

    /// Recent part of its answers that were failures, from 0 to 1.
    #[must_use]
    pub const fn failures(&self) -> f64 {
        self.failures
    }

    fn is_listed(&self) -> bool {
        self.entry.state == EntryState::Ready && !self.is_gone && self.lapsed_at.is_none()
    }

    fn note_answer(&mut self, is_failure: bool) {
        let seen = if is_failure { 1.0 } else { 0.0 };
        self.failures += (seen - self.failures) * FAILURE_STEP;
        if !is_failure {
            self.paused = None;
        }
    }

    fn note_unreachable(&mut self, now: TimePoint) {
        let span = match self.paused {
            // Requests that fail at the same moment lengthen the pause once.
            Some((until, span)) if now < until => span,
            Some((_, span)) => TimeSpan((span.0 * 2).min(LONGEST_PAUSE.0)),
            None => FIRST_PAUSE,
        };
        self.paused = Some((now + span, span));
    }
}

/// The backend servers that an entry knows, by service.
#[derive(Debug, Default)]
pub struct BackendTable {
    services: HashMap<ServiceId, Vec<BackendState>>,
    owners: HashMap<BackendId, ServiceId>,
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
    pub fn apply(&mut self, change: EntryChange, now: TimePoint) {
        match change {
            EntryChange::Written(entry) => self.write(entry),
            EntryChange::Removed(backend) => self.lapse(&backend, now),
        }
    }

    /// Takes the whole list of entries.
    pub fn replace(&mut self, entries: Vec<BackendEntry>, now: TimePoint) {
        let listed = entries.iter().map(|entry| entry.backend.clone());
        let listed = listed.collect::<std::collections::HashSet<_>>();
        let missing = self.owners.keys().filter(|it| !listed.contains(*it));
        for backend in missing.cloned().collect::<Vec<_>>() {
            self.lapse(&backend, now);
        }
        for entry in entries {
            self.write(entry);
        }
    }

    /// Forgets backend servers that were removed and have nothing of this entry's left.
    pub fn forget_lapsed(&mut self, now: TimePoint) {
        for states in self.services.values_mut() {
            states.retain(|state| {
                let is_over = state
                    .lapsed_at
                    .is_some_and(|at| now.since(at) >= LAPSE_SPAN);
                let is_forgotten = is_over && state.load.own() == 0;
                if is_forgotten {
                    self.owners.remove(&state.entry.backend);
                }
                !is_forgotten
            });
        }
    }

    /// One backend server, unless it was forgotten.
    pub fn find_mut(&mut self, backend: &BackendId) -> Option<&mut BackendState> {
        let states = self.services.get_mut(self.owners.get(backend)?)?;
        states
            .iter_mut()
            .find(|state| state.entry.backend == *backend)
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
            state.paused.get_or_insert((now + FIRST_PAUSE, FIRST_PAUSE));
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
        state.is_gone = true;
        let (service, address) = (state.entry.service.clone(), state.entry.address);
        self.mark_superseded(&service, address);
    }

    /// Notes that a backend server could not be reached or broke off.
    pub fn note_unreachable(&mut self, backend: &BackendId, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state.note_unreachable(now);
        }
    }

    fn write(&mut self, entry: BackendEntry) {
        let moved = self
            .owners
            .get(&entry.backend)
            .is_some_and(|service| *service != entry.service);
        if moved {
            self.remove(&entry.backend);
        }
        self.owners
            .insert(entry.backend.clone(), entry.service.clone());
        let (service, address) = (entry.service.clone(), entry.address);
        let states = self.services.entry(service.clone()).or_default();
        let known = states.iter();
        let position = known
            .map(|state| &state.entry.backend)
            .position(|backend| *backend == entry.backend);
        match position.map(|index| (index, &mut states[index])) {
            Some((_, state)) if state.entry.start_mark == entry.start_mark => {
                state.entry = entry;
                state.lapsed_at = None;
            }
            Some((index, _)) => {
                // Another start knows nothing of before, and is the last one listed.
                states.remove(index);
                states.push(BackendState::new(entry));
            }
            None => states.push(BackendState::new(entry)),
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
        let mut is_taken = false;
        let same = states.iter_mut().rev();
        for state in same.filter(|state| state.entry.address == address) {
            state.is_superseded = is_taken;
            is_taken |= state.is_listed();
        }
    }

    fn lapse(&mut self, backend: &BackendId, now: TimePoint) {
        if let Some(state) = self.find_mut(backend) {
            state.lapsed_at.get_or_insert(now);
        }
    }

    fn remove(&mut self, backend: &BackendId) {
        let Some(service) = self.owners.remove(backend) else {
            return;
        };
        if let Some(states) = self.services.get_mut(&service) {
            states.retain(|state| state.entry.backend != *backend);
        }
    }
}
