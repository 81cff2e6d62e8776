//! Checks whether backend servers whose connections have ended have crashed.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque, hash_map::Entry},
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_rt::time::{sleep, timeout};
use celerycrank_serving::{
    BackendIncarnation, CheckStep, CheckVerdict, ConnectionSign, CrashCheck, IncarnationFate,
};
use celerycrank_types::TimePoint;
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{net::TcpStream, select, sync::Notify};

use super::{crash::BrokenAttempt, state::EntryState};

/// Timeout for a connection that shows whether a backend server still runs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of attempts that wait for the check of one backend server.
const MAX_WAITING_ATTEMPTS: usize = 256;

/// Number of bytes that are read, and discarded, at once from a connection of a check.
const READ_SIZE: usize = 512;

/// A backend server that may have crashed.
#[derive(Debug)]
struct SuspectBackend {
    address: SocketAddr,
    check: CrashCheck,
    /// The attempts that wait for the verdict, oldest first.
    attempts: VecDeque<BrokenAttempt>,
}

impl SuspectBackend {
    /// Adds an attempt; the oldest one is dropped if there are too many.
    fn add(&mut self, broken: Option<BrokenAttempt>) {
        if broken.is_some() && self.attempts.len() == MAX_WAITING_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.extend(broken);
    }
}

/// The checks whether backend servers have crashed.
///
/// The connections of a backend server break at about the same time, and one check tells about all of
/// them. No request waits for it.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    suspects: RefCell<HashMap<BackendIncarnation, SuspectBackend>>,
    /// The suspects whose checks have not begun, oldest first.
    due: RefCell<VecDeque<BackendIncarnation>>,
    added: Notify,
    /// Wakes all checks when a connection or the fate of an incarnation has changed.
    changed: Notify,
}

impl CrashChecks {
    /// Records that a connection to a backend server has ended, with the attempt that it broke off.
    pub(super) fn add(
        &self,
        incarnation: BackendIncarnation,
        address: SocketAddr,
        broken: Option<BrokenAttempt>,
        now: TimePoint,
    ) {
        let mut suspects = self.suspects.borrow_mut();
        let suspect = match suspects.entry(incarnation) {
            Entry::Occupied(known) => {
                let suspect = known.into_mut();
                suspect.check.note_ended(now);
                self.changed.notify_waiters();
                suspect
            }
            Entry::Vacant(free) => {
                self.due.borrow_mut().push_back(free.key().clone());
                self.added.notify_one();
                free.insert(SuspectBackend {
                    address,
                    check: CrashCheck::new(now),
                    attempts: VecDeque::new(),
                })
            }
        };
        suspect.add(broken);
    }

    /// Whether a backend server is being checked.
    pub(super) fn holds(&self, incarnation: &BackendIncarnation) -> bool {
        self.suspects.borrow().contains_key(incarnation)
    }

    /// Records that the fate of incarnations may have changed.
    pub(super) fn note_fates(&self) {
        self.changed.notify_waiters();
    }

    /// Removes the first backend server from those whose checks have not begun, or waits for it.
    async fn next(&self) -> BackendIncarnation {
        loop {
            let first = self.due.borrow_mut().pop_front();
            match first {
                Some(suspect) => return suspect,
                None => self.added.notified().await,
            }
        }
    }

    /// The next step of a check.
    fn next_step(
        &self,
        incarnation: &BackendIncarnation,
        fate: IncarnationFate,
        now: TimePoint,
    ) -> CheckStep {
        let suspects = self.suspects.borrow();
        let check = suspects.get(incarnation).map(|suspect| &suspect.check);
        check.map_or(CheckStep::End(CheckVerdict::Unproven), |check| {
            check.next_step(fate, now)
        })
    }

    fn note_sign(&self, incarnation: &BackendIncarnation, sign: ConnectionSign, now: TimePoint) {
        if let Some(suspect) = self.suspects.borrow_mut().get_mut(incarnation) {
            suspect.check.note_sign(sign, now);
        }
    }

    fn address(&self, incarnation: &BackendIncarnation) -> Option<SocketAddr> {
        let suspects = self.suspects.borrow();
        suspects.get(incarnation).map(|suspect| suspect.address)
    }

    /// Forgets all checks.
    fn clear(&self) {
        self.suspects.borrow_mut().clear();
        self.due.borrow_mut().clear();
    }
}

/// Checks backend servers that may have crashed.
pub(super) async fn check_crashes(state: Rc<EntryState>) {
    // Checks that were under way when this task failed are lost.
    state.crash_checks.clear();
    let mut checks = FuturesUnordered::new();
    loop {
        select! {
            suspect = state.crash_checks.next() => checks.push(check_backend(&state, suspect)),
            Some(()) = checks.next() => {}
        }
    }
}

async fn check_backend(state: &EntryState, incarnation: BackendIncarnation) {
    let verdict = run_check(state, &incarnation).await;
    let suspect = state
        .crash_checks
        .suspects
        .borrow_mut()
        .remove(&incarnation);
    let attempts = suspect.map(|it| it.attempts).unwrap_or_default();
    let (backend, broken) = (&incarnation.backend, attempts.len());
    let CheckVerdict::Crashed { outlived } = verdict else {
        tracing::info!(%backend, broken, ?verdict, "ended connections of a backend server are no crash");
        return;
    };
    let attempts = attempts.into_iter();
    let held = attempts.filter(|it| outlived.is_none_or(|outlived| it.at > outlived));
    let held = held.collect::<Vec<_>>();
    let fate = state.backends.borrow().fate(&incarnation);
    tracing::info!(%backend, broken, held = held.len(), ?fate, "backend server has crashed");
    state.note_crashed_backend(&incarnation, &held, outlived);
}

/// Carries out the steps of the check of a backend server.
async fn run_check(state: &EntryState, incarnation: &BackendIncarnation) -> CheckVerdict {
    let checks = &state.crash_checks;
    let mut held = None;
    loop {
        // Created before the step is chosen, so that no change is missed.
        let changed = checks.changed.notified();
        let now = state.clock.now();
        let fate = state.backends.borrow().fate(incarnation);
        let sign = match checks.next_step(incarnation, fate, now) {
            CheckStep::Connect { at } => {
                sleep(at.since(now).as_duration()).await;
                let address = checks.address(incarnation);
                let (sign, socket) = connect(address).await;
                held = socket;
                Some(sign)
            }
            CheckStep::Hold { until } => {
                let wait = until.since(now).as_duration();
                select! {
                    biased;
                    () = wait_for_end(held.as_ref()) => Some(ConnectionSign::Ended),
                    () = sleep(wait) => Some(ConnectionSign::Open),
                    () = changed => None,
                }
            }
            CheckStep::Wait { until } => {
                held = None;
                let wait = until.since(now).as_duration();
                select! {
                    () = sleep(wait) => None,
                    () = changed => None,
                }
            }
            CheckStep::End(verdict) => return verdict,
        };
        if let Some(sign) = sign {
            checks.note_sign(incarnation, sign, state.clock.now());
        }
    }
}

/// Connects to a backend server; returns what that shows, and the connection if it was accepted.
async fn connect(address: Option<SocketAddr>) -> (ConnectionSign, Option<TcpStream>) {
    let Some(address) = address else {
        return (ConnectionSign::Unanswered, None);
    };
    let error = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(socket)) => return (ConnectionSign::Accepted, Some(socket)),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return (ConnectionSign::Refused, None);
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timeout".to_owned(),
    };
    tracing::info!(%address, fault = %error, "cannot check whether a backend server has crashed");
    (ConnectionSign::Unanswered, None)
}

/// Waits until the peer ends a connection; whatever it sends is discarded.
async fn wait_for_end(socket: Option<&TcpStream>) {
    let Some(socket) = socket else { return };
    let mut bytes = [0; READ_SIZE];
    loop {
        if socket.readable().await.is_err() {
            return;
        }
        match socket.try_read(&mut bytes) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
