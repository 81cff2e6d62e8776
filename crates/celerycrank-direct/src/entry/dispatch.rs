//! Sends a request to one backend server after another until one answers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use celerycrank_routing::HolderKey;
use celerycrank_serving::{
    AnswerProgress, BackendChoice, BackendRegistration, BackendTable, ChoiceQuery, FinishedAnswer,
    LoadLimit, RequestSemantics, ServiceObstacle, choose_backend,
};
use celerycrank_types::{
    BackendId, RefusalReason, RetryReason, TimePoint, TimeSpan, UnknownReason,
};
use rand::Rng;
use smallvec::SmallVec;

use super::{
    admission::{AccountGuard, wake_waiting},
    attempt::{AttemptError, OpenAnswer, open_attempt},
    crash::BrokenAttempt,
    live::LiveStream,
    progress::{AttemptTrack, RequestError, RetryObstacle, SendRecord},
    prompt_cache::HeldPrompt,
    refusal::{RequestRefusal, random_spread},
    request::AdmittedRequest,
    state::EntryState,
};

/// State of one request that is sent to one backend server after another.
///
/// While a backend server is silent, another one may be asked at the same time.
pub(crate) struct RequestDispatch<'run> {
    pub(crate) state: &'run EntryState,
    pub(crate) request: &'run AdmittedRequest,
    /// Backend servers that have been tried.
    tried: RefCell<SmallVec<[BackendId; 4]>>,
    /// The sends so far; updated during an attempt, so that it holds even if the attempt's future
    /// is dropped.
    pub(crate) sent: SendRecord,
    /// Number of attempts that failed without anything having been sent.
    pub(super) unsent_attempts: Cell<u32>,
    /// Why the last attempt failed.
    pub(super) last_error: Cell<Option<AttemptError>>,
    /// The backend server whose answer is passed on.
    answering: RefCell<Option<BackendId>>,
    /// When the first attempt chose its backend server.
    chosen_at: Cell<Option<TimePoint>>,
    _account: Option<AccountGuard<'run>>,
}

/// An answer that is being read, and the backend server it comes from.
pub(crate) struct ServedAnswer<'run> {
    pub(crate) answer: OpenAnswer,
    pub(crate) in_flight: InFlightGuard<'run>,
}

/// Counts a request as in flight at a backend server until dropped.
pub(crate) struct InFlightGuard<'run> {
    state: &'run EntryState,
    /// The registration by which the backend server was chosen.
    pub(crate) sent_to: Rc<BackendRegistration>,
    /// Identifies the incarnation of the backend server among those that hold prompts.
    pub(crate) holder: HolderKey,
}

impl<'run> InFlightGuard<'run> {
    fn new(state: &'run EntryState, registration: &Rc<BackendRegistration>) -> Self {
        let now = state.clock.now();
        let backend = &registration.backend;
        state.backends.borrow_mut().begin(backend, now);
        wake_waiting(state, &registration.service);
        Self {
            state,
            holder: HolderKey::new(backend, registration.incarnation),
            sent_to: Rc::clone(registration),
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut backends = self.state.backends.borrow_mut();
        backends.finish(&self.sent_to.backend);
        drop(backends);
        wake_waiting(self.state, &self.sent_to.service);
    }
}

impl<'run> RequestDispatch<'run> {
    pub(crate) fn new(state: &'run EntryState, request: &'run AdmittedRequest) -> Self {
        let now = state.clock.now();
        state.with_retry_window(&request.service, |window| window.note_request(now));
        Self {
            state,
            request,
            tried: RefCell::default(),
            sent: SendRecord::default(),
            unsent_attempts: Cell::new(0),
            last_error: Cell::new(None),
            answering: RefCell::default(),
            chosen_at: Cell::new(None),
            _account: AccountGuard::begin(state, request),
        }
    }

    /// The backend servers that have been tried.
    pub(super) fn tried(&self) -> SmallVec<[BackendId; 4]> {
        self.tried.borrow().clone()
    }

    /// The backend server that was tried last.
    pub(crate) fn last_tried(&self) -> Option<BackendId> {
        self.tried.borrow().last().cloned()
    }

    /// The backend server whose answer is passed on, or the one that was tried last.
    pub(crate) fn answering(&self) -> Option<BackendId> {
        let answering = self.answering.borrow().clone();
        answering.or_else(|| self.last_tried())
    }

    /// Records whose answer is passed on.
    pub(crate) fn note_answering(&self, backend: &BackendId) {
        let mut answering = self.answering.borrow_mut();
        if answering.as_ref() != Some(backend) {
            *answering = Some(backend.clone());
        }
    }

    /// Sends the request until a backend server begins to answer it.
    pub(crate) async fn open(
        &self,
        last_event: Option<u64>,
        track: &AttemptTrack,
    ) -> Result<ServedAnswer<'run>, RequestError> {
        loop {
            self.check_quarantine()?;
            let registration = Rc::new(self.choose_admitted(last_event).await?);
            let backend = &registration.backend;
            self.tried.borrow_mut().push(backend.clone());
            let in_flight = InFlightGuard::new(self.state, &registration);
            self.state.note_prompt_sent(self.request, in_flight.holder);
            track.note_asked(backend, self.state.clock.now());
            let sending = self.sent.begin();
            let opened = open_attempt(
                self.state,
                self.request,
                &registration,
                last_event,
                &sending,
            );
            let error = match opened.await {
                Ok(answer) => return Ok(ServedAnswer { answer, in_flight }),
                Err(error) => error,
            };
            if error.proves_not_run() {
                sending.note_not_run();
            }
            drop((sending, in_flight));
            self.record_attempt_error(&registration, error, AnswerProgress::NotBegun);
            self.check_retry(error)?;
        }
    }

    /// Records that an answer was cut off; returns an error unless the request may be sent to
    /// another backend server.
    pub(crate) fn retry_broken(
        &self,
        sent_to: &BackendRegistration,
        reason: UnknownReason,
        progress: AnswerProgress,
    ) -> Result<(), RequestError> {
        self.record_broken(sent_to, reason, progress);
        self.check_retry(AttemptError::Broken(reason))
    }

    /// Records that an answer was cut off.
    pub(crate) fn record_broken(
        &self,
        sent_to: &BackendRegistration,
        reason: UnknownReason,
        progress: AnswerProgress,
    ) {
        self.record_attempt_error(sent_to, AttemptError::Broken(reason), progress);
    }

    /// Takes a retry for an attempt beside one whose backend server is silent, or returns why the
    /// request is not sent to another one.
    pub(crate) fn begin_takeover(&self) -> Result<(), RetryObstacle> {
        let state = self.state;
        let quarantine = state.quarantine.borrow();
        let is_refused = quarantine.time_refused(&self.request.prompt_query(), state.clock.now());
        if is_refused.is_some() {
            return Err(RetryObstacle::CrashingPrompt);
        }
        if self.request.account.is_some() && !state.is_fresh() {
            return Err(RetryObstacle::StaleConfiguration);
        }
        if !self.has_usable_backend() {
            return Err(RetryObstacle::NoBackend);
        }
        // Checked last, since this uses a retry up.
        self.take_send(RetryReason::Repeatable)
    }

    /// The time since an attempt asked its backend server; `None` if that was before its track began.
    pub(crate) fn age_of(&self, track: &AttemptTrack) -> Option<TimeSpan> {
        Some(self.state.clock.now().since(track.asked_at()?))
    }

    /// Records how long the answer of the backend server asked last took.
    pub(crate) fn note_answer_time(&self, track: &AttemptTrack) {
        if let (Some(backend), Some(time)) = (track.backend(), self.age_of(track)) {
            let now = self.state.clock.now();
            let mut backends = self.state.backends.borrow_mut();
            backends.note_answer_time(&backend, time, now);
        }
    }

    /// Records how long the backend server asked last has not answered successfully.
    pub(crate) fn note_unanswered(&self, track: &AttemptTrack) {
        if let (Some(backend), Some(waited)) = (track.backend(), self.age_of(track)) {
            let now = self.state.clock.now();
            let mut backends = self.state.backends.borrow_mut();
            backends.note_unanswered(&backend, waited, now);
        }
    }

    /// Records that the backend server of an attempt is silent and another one is asked as well.
    pub(crate) fn note_silent(&self, track: &AttemptTrack) {
        self.state.metrics.takeovers_begun.inc();
        let backend = track.backend();
        if let Some(backend) = &backend {
            let now = self.state.clock.now();
            let mut backends = self.state.backends.borrow_mut();
            backends.note_answer(backend, true, now);
        }
        tracing::info!(
            request = %self.request.attempt,
            backend = backend.map(tracing::field::display),
            sendings = self.sent.sends(),
            "backend server is silent; another one is asked as well"
        );
    }

    /// Records that a backend server has taken over from a silent one.
    pub(crate) fn note_taken_over(&self, backend: &BackendId) {
        self.state.metrics.takeovers_completed.inc();
        tracing::info!(request = %self.request.attempt, %backend, "stream taken over");
    }

    /// Whether an answer that reports a failure may be requested from another backend server.
    ///
    /// If so, this takes a retry from the budget.
    pub(crate) fn may_repeat_failure(&self) -> bool {
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
    pub(crate) fn note_begun(&self, status: u16, holder: HolderKey) {
        if is_success(status) {
            self.state.note_prompt_begun(self.request, holder);
            self.state.note_begun(&self.request.prompt_query());
            self.note_first_event();
        }
    }

    /// Records that a backend server has sent the end of a stream.
    pub(crate) fn note_stream_end(&self, live: &LiveStream<'_>) {
        self.note_finished(live.head.status, live.sent_to(), live.is_whole());
    }

    /// Records that a backend server has sent the end of an answer with this status.
    pub(crate) fn note_finished(&self, status: u16, sent_to: &BackendRegistration, is_whole: bool) {
        if is_success(status) && !self.request.shared_parts.is_empty() {
            self.state.note_finished(FinishedAnswer {
                backend: sent_to.to_incarnation(),
                parts: self.request.shared_parts.clone(),
                is_whole,
                at: self.state.clock.now(),
            });
        }
    }

    /// Whether another backend server may be asked that has not just refused or been unreachable.
    fn has_usable_backend(&self) -> bool {
        let now = self.state.clock.now();
        let (tried, backends) = (self.tried.borrow(), self.state.backends.borrow());
        let mut states = backends.of_service(&self.request.service).iter();
        states.any(|state| {
            let is_usable = state.is_usable(now) && state.is_within_limit(now);
            is_usable && !tried.contains(&state.registration.backend)
        })
    }

    /// Records the gap between two events of a stream.
    pub(crate) fn note_gap(&self, gap: TimeSpan) {
        let (state, request) = (self.state, self.request);
        if let Some(policy) = &request.admission {
            let now = state.clock.now();
            state.admission.note_gap(&request.service, policy, gap, now);
        }
    }

    /// Records how long a stream took to begin that was sent once.
    fn note_first_event(&self) {
        let (state, request) = (self.state, self.request);
        let is_single = self.tried.borrow().len() == 1;
        let chosen_at = self.chosen_at.take().filter(|_| is_single);
        if let (Some(policy), Some(chosen_at)) = (&request.admission, chosen_at) {
            let now = state.clock.now();
            let span = now.since(chosen_at);
            let admission = &state.admission;
            admission.note_first_event(&request.service, policy, span, now);
        }
    }

    /// Chooses the backend server of an attempt.
    ///
    /// It waits for a place if the requests of the service differ in urgency.
    async fn choose_admitted(
        &self,
        last_event: Option<u64>,
    ) -> Result<BackendRegistration, RequestError> {
        let is_first = self.tried.borrow().is_empty() && last_event.is_none();
        let chosen = match &self.request.admission {
            Some(policy) => self.wait_for_place(policy, is_first).await?,
            None => self.choose().map_err(|it| self.final_error(it))?,
        };
        if is_first && self.request.admission.is_some() {
            self.chosen_at.set(Some(self.state.clock.now()));
        }
        Ok(chosen)
    }

    /// Chooses a backend server without a load limit, or returns why there is none.
    pub(super) fn choose(&self) -> Result<BackendRegistration, RequestRefusal> {
        let chosen = self.choose_state(None)?;
        Ok(chosen.expect("only a load limit makes all of them full"))
    }

    /// Chooses a backend server that holds fewer requests than the limit; `None` if all are full.
    pub(super) fn choose_within(
        &self,
        load_limit: Option<LoadLimit>,
    ) -> Result<Option<BackendRegistration>, RequestError> {
        self.choose_state(load_limit)
            .map_err(|it| self.final_error(it))
    }

    fn choose_state(
        &self,
        load_limit: Option<LoadLimit>,
    ) -> Result<Option<BackendRegistration>, RequestRefusal> {
        let settings = self.state.settings();
        let tried = self.tried.borrow();
        let now = self.state.clock.now();
        let held = self.state.held_prompt(self.request, &tried, now);
        let prompt = held.as_ref().and_then(HeldPrompt::weighing);
        let query = ChoiceQuery {
            service: &self.request.service,
            domain: &settings.domain,
            tried: &tried,
            load_limit,
            now,
            prompt: prompt.as_ref(),
        };
        let backends = self.state.backends.borrow();
        let mut random = self.state.random.borrow_mut();
        match choose_backend(&backends, &query, &mut *random) {
            BackendChoice::Chosen(state) => {
                if let Some(prompt) = &prompt {
                    let outcome = prompt.outcome(state);
                    self.state.note_prompt_outcome(self.request, state, outcome);
                }
                Ok(Some(state.registration.clone()))
            }
            BackendChoice::Full => Ok(None),
            BackendChoice::Limited { retry_after } => Err(RequestRefusal {
                reason: RefusalReason::BackendLimit,
                // Those that are refused at the same time must not come back at the same time.
                retry_after: retry_after.map(|span| span + random_spread(&mut random)),
            }),
            BackendChoice::Unavailable => {
                Err(self.service_refusal(&backends, query.now, &mut *random))
            }
        }
    }

    /// The refusal of a request for which no backend server can be chosen.
    fn service_refusal(
        &self,
        backends: &BackendTable,
        now: TimePoint,
        random: &mut impl Rng,
    ) -> RequestRefusal {
        match backends.service_obstacle(&self.request.service, now) {
            ServiceObstacle::Cold { retry_after } => RequestRefusal {
                reason: RefusalReason::BackendCold,
                retry_after: Some(retry_after + random_spread(random)),
            },
            ServiceObstacle::Paused { retry_after } => RequestRefusal {
                reason: RefusalReason::BackendPaused,
                retry_after: Some(retry_after + random_spread(random)),
            },
            ServiceObstacle::Evacuated => RefusalReason::Evacuated.into(),
            ServiceObstacle::Leaving => RefusalReason::BackendLeaving.into(),
            ServiceObstacle::NoBackend => RefusalReason::NoBackend.into(),
        }
    }

    /// The refusal of a request that is not sent again, if the backend servers want no requests.
    pub(super) fn closed_refusal(&self) -> Option<RequestRefusal> {
        let now = self.state.clock.now();
        let backends = self.state.backends.borrow();
        let is_closed = backends.is_closed(&self.request.service, now);
        let mut random = self.state.random.borrow_mut();
        is_closed.then(|| self.service_refusal(&backends, now, &mut *random))
    }

    fn record_attempt_error(
        &self,
        sent_to: &BackendRegistration,
        error: AttemptError,
        progress: AnswerProgress,
    ) {
        let backend = &sent_to.backend;
        self.last_error.set(Some(error));
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
        match error {
            AttemptError::Broken(UnknownReason::BackendBroke) => {
                self.state
                    .note_broken_attempt(sent_to, self.broken_attempt(progress));
            }
            AttemptError::NotSent => self.state.note_unreachable(sent_to),
            AttemptError::Misdirected => self.state.crash_checks.note_fates(),
            _ => {}
        }
    }

    fn broken_attempt(&self, progress: AnswerProgress) -> BrokenAttempt {
        BrokenAttempt {
            attempt: Arc::clone(&self.request.attempt),
            parts: self.request.shared_parts.clone(),
            progress,
            at: self.state.clock.now(),
        }
    }

    fn note_attempt_error(&self, backend: &BackendId, error: AttemptError) {
        let now = self.state.clock.now();
        let mut backends = self.state.backends.borrow_mut();
        match error {
            AttemptError::NotSent => backends.note_unreachable(backend, now),
            AttemptError::Misdirected => backends.note_misdirected(backend),
            AttemptError::Broken(UnknownReason::BackendBroke) => backends.note_broken(backend, now),
            AttemptError::Broken(_) => backends.note_answer(backend, true, now),
            AttemptError::NotRun => backends.note_refused(backend, now),
            // What one request asks for says nothing about others.
            AttemptError::Unsuitable | AttemptError::Stale | AttemptError::TooLate => {}
            AttemptError::Withheld(_) => {
                self.state.metrics.evacuation.withheld.inc();
                // It was not tried: the request may be sent to it when the obstacle is gone.
                self.tried.borrow_mut().retain(|tried| tried != backend);
            }
        }
    }
}

const fn is_success(status: u16) -> bool {
    matches!(status, 200..300)
}
