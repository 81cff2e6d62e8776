//! Sends a request to one backend server after another until one answers.

use std::{cell::Cell, time::Duration};

use celerycrank_serving::{BackendRegistration, ChoiceQuery, RequestSemantics, choose_backend};
use celerycrank_types::{BackendId, RefusalReason, RetryReason, UnknownReason};
use smallvec::SmallVec;

use super::{
    attempt::{AttemptFault, OpenAnswer, open_attempt},
    request::AdmittedRequest,
    state::EntryState,
};

/// Most backend servers that are tried in vain without having been sent anything.
const MAX_UNREACHED: u32 = 4;

/// Longer than any request may take.
const LONGEST_SILENCE: Duration = Duration::from_hours(1);

/// Why no answer can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatchFault {
    /// The request has not run and will not.
    Refused(RefusalReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// What was sent of one request.
#[derive(Debug, Default)]
pub(crate) struct SendRecord {
    sendings: Cell<u32>,
    may_have_run: Cell<bool>,
}

impl SendRecord {
    /// Notes that the request is being sent to a backend server, which may run it.
    pub(crate) fn note_sent(&self) {
        self.sendings.set(self.sendings.get() + 1);
        self.may_have_run.set(true);
    }

    /// Backend servers that the request was sent to.
    pub(crate) fn sendings(&self) -> u32 {
        self.sendings.get()
    }

    /// Whether a backend server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }
}

/// The way of one request from backend server to backend server.
pub(crate) struct RequestDispatch<'run> {
    pub(crate) state: &'run EntryState,
    pub(crate) request: &'run AdmittedRequest,
    /// Backend servers that were tried.
    tried: SmallVec<[BackendId; 4]>,
    /// What was sent so far; holds also where an attempt's future is dropped.
    pub(crate) sent: SendRecord,
    unreached: u32,
    /// Why the last attempt failed.
    last_fault: Option<AttemptFault>,
}

/// An answer that is being read, and where it comes from.
pub(crate) struct ServedAnswer<'run> {
    pub(crate) answer: OpenAnswer,
    pub(crate) source: InFlight<'run>,
}

/// Counts a request as being with a backend server for as long as it lives.
pub(crate) struct InFlight<'run> {
    state: &'run EntryState,
    pub(crate) backend: BackendId,
}

impl<'run> InFlight<'run> {
    fn new(state: &'run EntryState, backend: &BackendId) -> Self {
        state.backends.borrow_mut().begin(backend);
        Self {
            state,
            backend: backend.clone(),
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.state.backends.borrow_mut().finish(&self.backend);
    }
}

impl<'run> RequestDispatch<'run> {
    pub(crate) fn new(state: &'run EntryState, request: &'run AdmittedRequest) -> Self {
        let now = state.clock.now();
        state.with_retries(&request.service, |window| window.note_request(now));
        Self {
            state,
            request,
            tried: SmallVec::new(),
            sent: SendRecord::default(),
            unreached: 0,
            last_fault: None,
        }
    }

    /// The backend server that was tried last.
    pub(crate) fn last_tried(&self) -> Option<&BackendId> {
        self.tried.last()
    }

    /// Sends the request until a backend server begins to answer it.
    pub(crate) async fn open(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<ServedAnswer<'run>, DispatchFault> {
        loop {
            let Some(entry) = self.choose() else {
                return Err(self.give_up(RefusalReason::NoBackend));
            };
            self.tried.push(entry.backend.clone());
            let source = InFlight::new(self.state, &entry.backend);
            let may_have_run = self.sent.may_have_run();
            let opened = open_attempt(self.state, self.request, &entry, last_event, &self.sent);
            let opened = opened.await;
            if let Err(AttemptFault::NotRun | AttemptFault::Misdirected) = opened {
                self.sent.may_have_run.set(may_have_run);
            }
            match opened {
                Ok(answer) => return Ok(ServedAnswer { answer, source }),
                Err(fault) => {
                    drop(source);
                    self.note_fault(&entry.backend, fault);
                    self.check_retry(fault)?;
                }
            }
        }
    }

    /// Notes that an answer broke off, and says whether the request goes to another backend
    /// server.
    pub(crate) fn retry_broken(
        &mut self,
        backend: &BackendId,
        reason: UnknownReason,
    ) -> Result<(), DispatchFault> {
        let fault = AttemptFault::Broken(reason);
        self.note_fault(backend, fault);
        self.check_retry(fault)
    }

    /// Notes that the last backend server stays silent, and says whether the request goes to
    /// another one.
    pub(crate) fn retry_silent(&mut self) -> Result<(), DispatchFault> {
        let Some(backend) = self.tried.last().cloned() else {
            return Ok(());
        };
        if self.sent.may_have_run() {
            return self.retry_broken(&backend, UnknownReason::BackendTimeout);
        }
        self.note_fault(&backend, AttemptFault::NotSent);
        self.check_retry(AttemptFault::NotSent)
    }

    /// How long a backend server may be silent, behind `upcoming` further sendings.
    ///
    /// Its silence alone is no reason to end an answer: it is left only where another one can
    /// take over, and else waited for until the request's time is over.
    pub(crate) fn silence_limit(&self, limit: Duration, upcoming: u32) -> Duration {
        let now = self.state.clock.now();
        let has_room = || {
            let service = &self.request.service;
            self.state
                .with_retries(service, |window| window.has_room(now))
        };
        let may_leave = self.request.route.semantics.may_repeat()
            && self.sent.sendings() + upcoming < self.request.route.max_attempts
            && self.untried() > upcoming
            && has_room();
        if may_leave { limit } else { LONGEST_SILENCE }
    }

    /// Backend servers that could be tried next.
    fn untried(&self) -> u32 {
        let now = self.state.clock.now();
        let backends = self.state.backends.borrow();
        let states = backends.of_service(&self.request.service).iter();
        let untried =
            states.filter(|it| it.is_usable(now) && !self.tried.contains(&it.registration.backend));
        u32::try_from(untried.count()).unwrap_or(u32::MAX)
    }

    /// Whether an answer that tells of a failure may be asked for at another backend server.
    pub(crate) fn may_repeat_failure(&mut self) -> bool {
        self.request.route.semantics == RequestSemantics::Idempotent
            && self.has_sendings_left()
            && self.choose().is_some()
            && self.take_retry(RetryReason::Repeatable)
    }

    fn choose(&self) -> Option<BackendRegistration> {
        let settings = self.state.settings();
        let query = ChoiceQuery {
            service: &self.request.service,
            domain: &settings.domain,
            tried: &self.tried,
            now: self.state.clock.now(),
        };
        let backends = self.state.backends.borrow();
        let mut random = self.state.random.borrow_mut();
        let chosen = choose_backend(&backends, &query, &mut *random);
        chosen.map(|state| state.registration.clone())
    }

    fn note_fault(&mut self, backend: &BackendId, fault: AttemptFault) {
        self.last_fault = Some(fault);
        let now = self.state.clock.now();
        let mut backends = self.state.backends.borrow_mut();
        match fault {
            AttemptFault::NotSent => backends.note_unreachable(backend, now),
            AttemptFault::Misdirected => backends.note_misdirected(backend),
            AttemptFault::Broken(_) => backends.note_answer(backend, true),
            AttemptFault::NotRun => backends.note_refused(backend, now),
            AttemptFault::Stale => {}
        }
        tracing::info!(
            request = %self.request.attempt,
            %backend,
            ?fault,
            sendings = self.sent.sendings(),
            "attempt failed"
        );
    }

    /// Whether another attempt follows a fault.
    fn check_retry(&mut self, fault: AttemptFault) -> Result<(), DispatchFault> {
        let reason = match fault {
            AttemptFault::Stale => return Err(self.give_up(RefusalReason::StaleConfiguration)),
            AttemptFault::NotSent => {
                self.unreached += 1;
                return if self.unreached <= MAX_UNREACHED {
                    Ok(())
                } else {
                    Err(self.give_up(RefusalReason::BackendUnreachable))
                };
            }
            AttemptFault::Broken(reason) if !self.request.route.semantics.may_repeat() => {
                return Err(DispatchFault::Unknown(reason));
            }
            AttemptFault::Broken(_) => RetryReason::Repeatable,
            AttemptFault::NotRun | AttemptFault::Misdirected => RetryReason::Refused,
        };
        if self.has_sendings_left() && self.take_retry(reason) {
            Ok(())
        } else {
            Err(self.give_up(RefusalReason::QueueFull))
        }
    }

    /// The fault to tell, now that no further attempt is made.
    fn give_up(&self, reason: RefusalReason) -> DispatchFault {
        if !self.sent.may_have_run() {
            return DispatchFault::Refused(reason);
        }
        match self.last_fault {
            Some(AttemptFault::Broken(reason)) => DispatchFault::Unknown(reason),
            _ => DispatchFault::Unknown(UnknownReason::BackendBroke),
        }
    }

    fn has_sendings_left(&self) -> bool {
        self.sent.sendings() < self.request.route.max_attempts
    }

    fn take_retry(&self, reason: RetryReason) -> bool {
        let now = self.state.clock.now();
        let is_granted = self
            .state
            .with_retries(&self.request.service, |window| window.take_retry(now));
        if is_granted {
            self.state.metrics.retries.count(reason);
        }
        is_granted
    }
}
