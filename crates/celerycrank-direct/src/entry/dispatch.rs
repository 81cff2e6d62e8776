//! Sends a request to one backend server after another until one answers.

use std::time::Duration;

use celerycrank_serving::{
    BackendChoice, BackendRegistration, ChoiceQuery, CrashedBackend, RequestSemantics,
    choose_backend,
};
use celerycrank_types::{BackendId, RefusalReason, RetryReason, UnknownReason};
use smallvec::SmallVec;

use super::{
    attempt::{AttemptError, OpenAnswer, open_attempt},
    crash::has_crashed,
    progress::{AnswerProgress, RequestError, SendRecord},
    refusal::{RequestRefusal, random_spread},
    request::AdmittedRequest,
    state::EntryState,
};

/// Number of attempts per request that may fail without anything having been sent; the next such
/// failure ends the request.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Effectively no timeout, since it is longer than any request may take.
const NO_SILENCE_TIMEOUT: Duration = Duration::from_hours(1);

/// State of one request that is sent to one backend server after another.
pub(crate) struct RequestDispatch<'run> {
    pub(crate) state: &'run EntryState,
    pub(crate) request: &'run AdmittedRequest,
    /// Backend servers that have been tried.
    tried: SmallVec<[BackendId; 4]>,
    /// The sends so far; updated during an attempt, so that it holds even if the attempt's future
    /// is dropped.
    pub(crate) sent: SendRecord,
    /// Number of attempts that failed without anything having been sent.
    unsent_attempts: u32,
    /// Why the last attempt failed.
    last_error: Option<AttemptError>,
}

/// An answer that is being read, and the backend server it comes from.
pub(crate) struct ServedAnswer<'run> {
    pub(crate) answer: OpenAnswer,
    pub(crate) in_flight: InFlightGuard<'run>,
}

/// Counts a request as in flight at a backend server until dropped.
pub(crate) struct InFlightGuard<'run> {
    state: &'run EntryState,
    pub(crate) backend: BackendId,
}

impl<'run> InFlightGuard<'run> {
    fn new(state: &'run EntryState, backend: &BackendId) -> Self {
        let now = state.clock.now();
        state.backends.borrow_mut().begin(backend, now);
        Self {
            state,
            backend: backend.clone(),
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.state.backends.borrow_mut().finish(&self.backend);
    }
}

impl<'run> RequestDispatch<'run> {
    pub(crate) fn new(state: &'run EntryState, request: &'run AdmittedRequest) -> Self {
        let now = state.clock.now();
        state.with_retry_window(&request.service, |window| window.note_request(now));
        Self {
            state,
            request,
            tried: SmallVec::new(),
            sent: SendRecord::default(),
            unsent_attempts: 0,
            last_error: None,
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
    ) -> Result<ServedAnswer<'run>, RequestError> {
        loop {
            self.check_quarantine()?;
            let registration = self.choose().map_err(|it| self.final_error(it))?;
            self.tried.push(registration.backend.clone());
            let in_flight = InFlightGuard::new(self.state, &registration.backend);
            let may_have_run = self.sent.may_have_run();
            let opened = open_attempt(
                self.state,
                self.request,
                &registration,
                last_event,
                &self.sent,
            );
            let opened = opened.await;
            // This attempt did not run the request; only earlier ones may have.
            if let Err(AttemptError::NotRun | AttemptError::Misdirected) = opened {
                self.sent.withdraw_send(may_have_run);
            }
            match opened {
                Ok(answer) => return Ok(ServedAnswer { answer, in_flight }),
                Err(error) => {
                    drop(in_flight);
                    let progress = AnswerProgress::at(last_event);
                    self.record_attempt_error(&registration.backend, error, progress)
                        .await;
                    self.check_retry(error)?;
                }
            }
        }
    }

    /// Records that an answer was cut off; returns an error unless the request may be sent to
    /// another backend server.
    pub(crate) async fn retry_broken(
        &mut self,
        backend: &BackendId,
        reason: UnknownReason,
        progress: AnswerProgress,
    ) -> Result<(), RequestError> {
        let error = AttemptError::Broken(reason);
        self.record_attempt_error(backend, error, progress).await;
        self.check_retry(error)
    }

    /// Records that the last backend server does not respond; returns an error unless the request
    /// may be sent to another one.
    pub(crate) async fn retry_unresponsive(&mut self) -> Result<(), RequestError> {
        let Some(backend) = self.tried.last().cloned() else {
            return Ok(());
        };
        let error = if self.sent.may_have_run() {
            AttemptError::Broken(UnknownReason::BackendTimeout)
        } else {
            AttemptError::NotSent
        };
        self.record_attempt_error(&backend, error, AnswerProgress::NotBegun)
            .await;
        self.check_retry(error)
    }

    /// How long a backend server may be silent when `upcoming` further sends are about to be
    /// counted.
    ///
    /// Silence alone is no reason to end an answer: the entry gives up on a silent backend server
    /// only if another one can take over, and otherwise waits until the request's deadline.
    pub(crate) fn silence_timeout(&self, limit: Duration, upcoming: u32) -> Duration {
        let now = self.state.clock.now();
        let has_retries_left = || {
            let service = &self.request.service;
            self.state
                .with_retry_window(service, |window| window.has_room(now))
        };
        let may_fail_over = self.request.route.semantics.may_repeat()
            && self.sent.sends() + upcoming < self.request.route.max_attempts
            && self.untried() > upcoming
            && has_retries_left();
        if may_fail_over {
            limit
        } else {
            NO_SILENCE_TIMEOUT
        }
    }

    /// Number of backend servers that could be tried next.
    fn untried(&self) -> u32 {
        let now = self.state.clock.now();
        let backends = self.state.backends.borrow();
        let states = backends.of_service(&self.request.service).iter();
        let untried = states.filter(|it| {
            let is_usable = it.is_usable(now) && it.is_within_limit(now);
            is_usable && !self.tried.contains(&it.registration.backend)
        });
        u32::try_from(untried.count()).unwrap_or(u32::MAX)
    }

    /// Whether an answer that reports a failure may be requested from another backend server.
    ///
    /// If so, this takes a retry from the budget.
    pub(crate) fn may_repeat_failure(&mut self) -> bool {
        self.request.route.semantics == RequestSemantics::Idempotent
            && self.has_sends_left()
            && self.choose().is_ok()
            && self.take_retry(RetryReason::Repeatable)
    }

    /// Returns an error if a part of the prompt is known to crash backend servers.
    fn check_quarantine(&self) -> Result<(), RequestError> {
        let now = self.state.clock.now();
        let mut quarantine = self.state.quarantine.borrow_mut();
        let admitted = quarantine.admit(&self.request.prompt_query(), now);
        admitted.map_err(|remaining| {
            self.final_error(RequestRefusal {
                reason: RefusalReason::CrashingPrompt,
                retry_after: Some(remaining),
            })
        })
    }

    /// Records that an answer with this status has begun.
    ///
    /// A failure says nothing about the prompt, which the backend server may not have read.
    pub(crate) fn note_begun(&self, status: u16) {
        if (200..300).contains(&status) {
            self.state.note_begun(&self.request.prompt_query());
        }
    }

    /// Chooses the next backend server, or returns why there is none.
    fn choose(&self) -> Result<BackendRegistration, RequestRefusal> {
        let settings = self.state.settings();
        let query = ChoiceQuery {
            service: &self.request.service,
            domain: &settings.domain,
            tried: &self.tried,
            now: self.state.clock.now(),
        };
        let backends = self.state.backends.borrow();
        let mut random = self.state.random.borrow_mut();
        match choose_backend(&backends, &query, &mut *random) {
            BackendChoice::Chosen(state) => Ok(state.registration.clone()),
            BackendChoice::Limited { retry_after } => Err(RequestRefusal {
                reason: RefusalReason::BackendLimit,
                // Those that are refused at the same time must not come back at the same time.
                retry_after: retry_after.map(|span| span + random_spread(&mut random)),
            }),
            BackendChoice::Unavailable => Err(RefusalReason::NoBackend.into()),
        }
    }

    async fn record_attempt_error(
        &mut self,
        backend: &BackendId,
        error: AttemptError,
        progress: AnswerProgress,
    ) {
        self.last_error = Some(error);
        self.note_attempt_error(backend, error);
        tracing::info!(
            request = %self.request.attempt,
            %backend,
            fault = ?error,
            sendings = self.sent.sends(),
            parts = self.request.parts_text(),
            ?progress,
            "attempt failed"
        );
        let is_suspect = error == AttemptError::Broken(UnknownReason::BackendBroke)
            && progress == AnswerProgress::NotBegun
            && !self.request.shared_parts.is_empty();
        if is_suspect {
            self.check_crash(backend).await;
        }
    }

    /// Checks whether a backend server has crashed, before which it had this request.
    async fn check_crash(&self, backend: &BackendId) {
        let registration = self.state.backends.borrow().registration(backend).cloned();
        let Some(registration) = registration else {
            return;
        };
        if has_crashed(registration.address).await {
            self.state.metrics.crashes.inc();
            tracing::warn!(
                request = %self.request.attempt,
                %backend,
                parts = self.request.parts_text(),
                "backend server crashed before it answered"
            );
            let crashed = CrashedBackend {
                service: registration.service,
                backend: registration.backend,
                incarnation: registration.incarnation,
            };
            self.state.note_crash(&crashed, &self.request.shared_parts);
        }
    }

    fn note_attempt_error(&self, backend: &BackendId, error: AttemptError) {
        let now = self.state.clock.now();
        let mut backends = self.state.backends.borrow_mut();
        match error {
            AttemptError::NotSent => backends.note_unreachable(backend, now),
            AttemptError::Misdirected => backends.note_misdirected(backend),
            AttemptError::Broken(_) => backends.note_answer(backend, true),
            AttemptError::NotRun => backends.note_refused(backend, now),
            AttemptError::Stale => {}
        }
    }

    /// Returns an error unless another attempt follows the failed one.
    fn check_retry(&mut self, error: AttemptError) -> Result<(), RequestError> {
        let reason = match error {
            AttemptError::Stale => return Err(self.final_error(RefusalReason::StaleConfiguration)),
            AttemptError::NotSent => {
                self.unsent_attempts += 1;
                return if self.unsent_attempts <= MAX_UNSENT_ATTEMPTS {
                    Ok(())
                } else {
                    self.log_no_retry("no backend server could be reached");
                    Err(self.final_error(RefusalReason::BackendUnreachable))
                };
            }
            AttemptError::Broken(reason) if !self.request.route.semantics.may_repeat() => {
                return Err(RequestError::Unknown(reason));
            }
            AttemptError::Broken(_) => RetryReason::Repeatable,
            AttemptError::NotRun | AttemptError::Misdirected => RetryReason::Refused,
        };
        if !self.has_sends_left() {
            self.log_no_retry("the route allows no further send");
        } else if self.take_retry(reason) {
            return Ok(());
        } else {
            self.log_no_retry("the retry window of the service is used up");
        }
        Err(self.final_error(RefusalReason::QueueFull))
    }

    /// Logs why a failed attempt is the last one.
    fn log_no_retry(&self, why: &str) {
        tracing::info!(
            request = %self.request.attempt,
            sendings = self.sent.sends(),
            why,
            "request is not sent again"
        );
    }

    /// The error to report once no further attempt is made.
    fn final_error(&self, refusal: impl Into<RequestRefusal>) -> RequestError {
        if !self.sent.may_have_run() {
            return RequestError::Refused(refusal.into());
        }
        match self.last_error {
            Some(AttemptError::Broken(reason)) => RequestError::Unknown(reason),
            _ => RequestError::Unknown(UnknownReason::BackendBroke),
        }
    }

    fn has_sends_left(&self) -> bool {
        self.sent.sends() < self.request.route.max_attempts
    }

    fn take_retry(&self, reason: RetryReason) -> bool {
        let now = self.state.clock.now();
        let is_granted = self
            .state
            .with_retry_window(&self.request.service, |window| window.take_retry(now));
        if is_granted {
            self.state.metrics.retries.count(reason);
        }
        is_granted
    }
}
