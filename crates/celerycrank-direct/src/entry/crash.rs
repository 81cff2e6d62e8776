//! Detects that a backend server has crashed, and which prompts it held.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque, hash_map::Entry},
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix_rt::time::timeout;
use celerycrank_serving::{AnswerProgress, BackendIncarnation, BackendRegistration, PresentPrompt};
use celerycrank_types::PromptPartId;
use futures_util::{StreamExt, stream::FuturesUnordered};
use smallvec::SmallVec;
use tokio::{net::TcpStream, select, sync::Notify};

use super::state::EntryState;

/// Timeout for the connection that shows whether a backend server still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of attempts that wait for the check of one backend server.
const MAX_WAITING_ATTEMPTS: usize = 256;

/// An attempt that broke off.
#[derive(Debug)]
pub(super) struct BrokenAttempt {
    /// The caller's ID of the request.
    pub(super) attempt: Arc<str>,
    /// The shared parts of its prompt.
    pub(super) parts: SmallVec<[PromptPartId; 4]>,
    pub(super) progress: AnswerProgress,
}

impl BrokenAttempt {
    fn prompt(&self) -> PresentPrompt<'_> {
        PresentPrompt {
            parts: &self.parts,
            progress: self.progress,
        }
    }
}

/// A backend server that may have crashed.
#[derive(Debug)]
struct SuspectBackend {
    incarnation: BackendIncarnation,
    address: SocketAddr,
}

/// The checks whether backend servers have crashed.
///
/// All connections of a backend server break at the same time, and one check tells about all of them.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    /// The attempts that wait for a check, by backend server.
    waiting: RefCell<HashMap<BackendIncarnation, Vec<BrokenAttempt>>>,
    /// The backend servers whose checks have not begun, oldest first.
    due: RefCell<VecDeque<SuspectBackend>>,
    added: Notify,
}

impl CrashChecks {
    fn add(&self, sent_to: &BackendRegistration, broken: Option<BrokenAttempt>) {
        let incarnation = backend_incarnation(sent_to);
        let mut waiting = self.waiting.borrow_mut();
        let attempts = match waiting.entry(incarnation) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(free) => {
                self.due.borrow_mut().push_back(SuspectBackend {
                    incarnation: free.key().clone(),
                    address: sent_to.address,
                });
                self.added.notify_one();
                free.insert(Vec::new())
            }
        };
        if attempts.len() < MAX_WAITING_ATTEMPTS {
            attempts.extend(broken);
        }
    }

    /// Removes the first backend server to be checked, or waits for it.
    async fn next(&self) -> SuspectBackend {
        loop {
            let first = self.due.borrow_mut().pop_front();
            match first {
                Some(suspect) => return suspect,
                None => self.added.notified().await,
            }
        }
    }

    /// Forgets all checks.
    fn clear(&self) {
        self.waiting.borrow_mut().clear();
        self.due.borrow_mut().clear();
    }
}

impl EntryState {
    /// Records that an attempt broke off, upon which its backend server is checked.
    pub(super) fn note_broken_attempt(&self, sent_to: &BackendRegistration, broken: BrokenAttempt) {
        if !broken.parts.is_empty() {
            self.crash_checks.add(sent_to, Some(broken));
        }
    }

    /// Records that a backend server was unreachable, upon which it is checked if it has just
    /// answered prompts.
    pub(super) fn note_unreachable(&self, sent_to: &BackendRegistration) {
        let incarnation = backend_incarnation(sent_to);
        if self.finished_answers.borrow().holds(&incarnation) {
            self.crash_checks.add(sent_to, None);
        }
    }

    /// Checks a backend server if it has ended connections that were idle; returns whether it has.
    pub(super) fn suspect_ended(&self, incarnation: &BackendIncarnation) -> bool {
        let backends = self.backends.borrow();
        let registration = backends.registration(&incarnation.backend);
        let is_same = |it: &&BackendRegistration| it.incarnation == incarnation.incarnation;
        let Some(registration) = registration.filter(is_same) else {
            return false;
        };
        let has_ended = self.pool.close_ended(&incarnation.backend);
        if has_ended {
            self.crash_checks.add(registration, None);
        }
        has_ended
    }

    /// Records that a backend server crashed, with the prompts that it held.
    fn note_crashed_backend(&self, crashed: &BackendIncarnation, attempts: &[BrokenAttempt]) {
        let backend = &crashed.backend;
        for broken in attempts {
            let BrokenAttempt {
                attempt, progress, ..
            } = broken;
            let parts = parts_text(&broken.parts);
            self.metrics.crashes.inc();
            match progress {
                AnswerProgress::NotBegun => {
                    tracing::warn!(request = %attempt, %backend, parts, "backend server crashed before it answered");
                }
                AnswerProgress::Begun | AnswerProgress::Finished => {
                    tracing::warn!(request = %attempt, %backend, parts, "backend server crashed while it answered");
                }
            }
            self.note_crash(crashed, &broken.prompt());
        }
        let answered = self.finished_answers.borrow_mut().take_of(crashed);
        for answer in answered {
            let parts = parts_text(&answer.parts);
            tracing::warn!(%backend, parts, "backend server crashed right after it answered");
            let prompt = PresentPrompt {
                parts: &answer.parts,
                progress: AnswerProgress::Finished,
            };
            self.note_crash(crashed, &prompt);
        }
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

async fn check_backend(state: &EntryState, suspect: SuspectBackend) {
    let SuspectBackend {
        incarnation,
        address,
    } = suspect;
    let has_crashed = has_crashed(address).await;
    let attempts = state.crash_checks.waiting.borrow_mut().remove(&incarnation);
    // One that ends as planned also cuts the requests off that it still holds.
    let is_planned = !state.backends.borrow().is_expected_to_run(&incarnation);
    if has_crashed && !is_planned {
        state.note_crashed_backend(&incarnation, &attempts.unwrap_or_default());
    }
}

/// Whether no process listens any more at the address of a backend server whose connection has
/// ended.
///
/// A backend server that has only closed the connection accepts another one. Without any answer, the
/// network may be at fault.
async fn has_crashed(address: SocketAddr) -> bool {
    let error = match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => {
            tracing::info!(%address, "backend server accepts connections after some have ended");
            return false;
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return true,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timeout".to_owned(),
    };
    tracing::info!(%address, fault = %error, "cannot check whether a backend server has crashed");
    false
}

/// The incarnation that a registration is of.
pub(super) fn backend_incarnation(registration: &BackendRegistration) -> BackendIncarnation {
    BackendIncarnation {
        service: registration.service.clone(),
        backend: registration.backend.clone(),
        incarnation: registration.incarnation,
    }
}

/// The shared parts of a prompt, for log lines; `None` if there are none.
pub(super) fn parts_text(parts: &[PromptPartId]) -> Option<String> {
    let parts = parts.iter().map(PromptPartId::to_string);
    let parts = parts.collect::<Vec<_>>();
    (!parts.is_empty()).then(|| parts.join(","))
}
