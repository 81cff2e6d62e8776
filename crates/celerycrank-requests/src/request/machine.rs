//! State machine of one request on the entry, driven by `charts/request.json`.

use std::sync::LazyLock;

use celerycrank_chart::{ChartStep, StateChart};
use celerycrank_types::{
    BackendId, Incarnation, RefusalReason, RequestId, RequestOutcome, RetryReason, TimePoint,
    UnknownReason,
};
use rand::Rng;
use smallvec::SmallVec;

use super::{
    event::{ActionKind, EventKind, RequestAction, RequestEvent, RequestState},
    policy::RequestPolicy,
};
use crate::{AttemptId, LinkNumber, RetryBudget};

/// Actions for the entry to carry out, in order.
pub type RequestActions = SmallVec<[RequestAction; 2]>;

pub(super) static REQUEST_CHART: LazyLock<StateChart<RequestState, EventKind, ActionKind>> =
    LazyLock::new(|| {
        StateChart::parse(include_str!("../../charts/request.json"))
            .expect("the embedded chart is valid")
    });

/// Entry state that a request borrows while it handles one event.
#[derive(Debug)]
pub struct RequestContext<'entry, R> {
    /// The current time on the entry's clock.
    pub now: TimePoint,
    /// The retry budget of the request's account.
    pub budget: &'entry mut RetryBudget,
    /// Random number generator for jitter.
    pub random: &'entry mut R,
}

/// Whether a link may still deliver frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    Up,
    Lost,
}

/// What is known about the latest attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptProgress {
    /// No attempt blocks the next one: none was sent, the latest one never starts, or
    /// the call may be repeated.
    NoneOutstanding,
    /// It was sent and may have started.
    Sent,
    /// Its agent confirmed that it started.
    Started,
}

/// State machine of one request on the entry.
///
/// The entry passes it events and carries out the actions that it returns.
#[derive(Debug, Clone)]
pub struct RequestMachine {
    pub(super) request: RequestId,
    pub(super) policy: RequestPolicy,
    pub(super) state: RequestState,
    /// When the head of the answer is due.
    pub(super) deadline: TimePoint,
    /// Number of connections to a chosen backend server requested so far, without resumptions.
    pub(super) connects: u32,
    /// Number of attempts sent so far.
    ///
    /// Invariant: equals the number of the latest attempt.
    pub(super) attempts: u32,
    /// Whether the next attempt has been charged to the budget or needs no charge.
    pub(super) retry_charged: bool,
    pub(super) link: LinkNumber,
    /// Whether the current link may still deliver frames.
    pub(super) link_state: LinkState,
    pub(super) backend: Option<BackendId>,
    pub(super) incarnation: Incarnation,
    /// Latest time at which the latest attempt may start, on its agent's clock.
    pub(super) agent_deadline: TimePoint,
    pub(super) avoid: SmallVec<[BackendId; 2]>,
    /// What is known about the latest attempt.
    ///
    /// Invariant: returns to `NoneOutstanding` only with proof that the attempt never starts, or
    /// for a call that may be repeated.
    pub(super) progress: AttemptProgress,
    /// Why an earlier attempt of a repeatable call is unproved, so that the outcome is unknown
    /// unless a later one is answered.
    pub(super) unproved_reason: Option<UnknownReason>,
    pub(super) head_delivered: bool,
    /// Number of body bytes delivered to the caller.
    pub(super) delivered: u64,
    /// Number of stream interruptions since the last byte was delivered.
    pub(super) stream_breaks: u32,
    /// When the timer of the current state fires: a backoff, a query interval or a stall timeout.
    pub(super) wait_until: TimePoint,
    /// When to give up finding out whether the attempt ran, or resuming its answer.
    pub(super) settle_deadline: Option<TimePoint>,
    pub(super) refusal: RefusalReason,
    pub(super) unknown: UnknownReason,
    pub(super) retry: RetryReason,
    /// Invariant: set at most once.
    outcome: Option<RequestOutcome>,
}

impl RequestMachine {
    /// Starts a request; the first action asks for a backend server.
    pub fn start(
        request: RequestId,
        policy: RequestPolicy,
        now: TimePoint,
        budget: &mut RetryBudget,
    ) -> (Self, RequestActions) {
        budget.record_request();
        let machine = Self {
            request,
            policy,
            state: REQUEST_CHART.initial(),
            deadline: now + policy.deadline,
            connects: 0,
            attempts: 0,
            retry_charged: false,
            link: LinkNumber::default(),
            link_state: LinkState::Lost,
            backend: None,
            incarnation: Incarnation::default(),
            agent_deadline: TimePoint::default(),
            avoid: SmallVec::new(),
            progress: AttemptProgress::NoneOutstanding,
            unproved_reason: None,
            head_delivered: false,
            delivered: 0,
            stream_breaks: 0,
            wait_until: now,
            settle_deadline: None,
            refusal: RefusalReason::DeadlineUnreachable,
            unknown: UnknownReason::LinkLost,
            retry: RetryReason::Refused,
            outcome: None,
        };
        let first = RequestAction::Choose {
            avoid: SmallVec::new(),
        };
        (machine, SmallVec::from_iter([first]))
    }

    /// Handles an event and returns the actions to carry out.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the request is violated.
    pub fn handle<R: Rng>(
        &mut self,
        event: &RequestEvent,
        context: &mut RequestContext<'_, R>,
    ) -> RequestActions {
        let Some(kind) = self.apply_event(event, context) else {
            return SmallVec::new();
        };
        match REQUEST_CHART.step(self.state, kind) {
            ChartStep::Moved { state, actions } => {
                self.state = state;
                actions
                    .iter()
                    .filter_map(|action| self.perform(*action, event, context))
                    .collect()
            }
            ChartStep::Ignored | ChartStep::Unexpected => SmallVec::new(),
        }
    }

    /// Returns when [`RequestEvent::TimerFired`] is due, if at all.
    #[must_use]
    pub fn wake_at(&self) -> Option<TimePoint> {
        match self.state {
            RequestState::Choosing | RequestState::Connecting | RequestState::Waiting => {
                Some(self.deadline)
            }
            RequestState::BackingOff => Some(self.wait_until.min(self.deadline)),
            RequestState::Revoking | RequestState::Resuming => Some(
                self.settle_deadline
                    .map_or(self.wait_until, |at| at.min(self.wait_until)),
            ),
            RequestState::Streaming => Some(self.wait_until),
            RequestState::Answered
            | RequestState::Refused
            | RequestState::Unknown
            | RequestState::Left => None,
        }
    }

    /// Returns the request's ID.
    #[must_use]
    pub const fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the attempt that was sent last.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.attempts,
        }
    }

    /// Returns when the head of the answer is due, on the entry's clock.
    #[must_use]
    pub const fn deadline(&self) -> TimePoint {
        self.deadline
    }

    /// Returns the number of attempts sent so far.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the current state.
    #[must_use]
    pub const fn state(&self) -> RequestState {
        self.state
    }

    /// Returns the outcome, once it has been reported to the caller.
    #[must_use]
    pub const fn outcome(&self) -> Option<RequestOutcome> {
        self.outcome
    }

    /// Returns whether the request is in a final state.
    #[must_use]
    pub fn is_over(&self) -> bool {
        REQUEST_CHART.is_final(self.state)
    }

    fn perform<R: Rng>(
        &mut self,
        action: ActionKind,
        event: &RequestEvent,
        context: &mut RequestContext<'_, R>,
    ) -> Option<RequestAction> {
        match action {
            ActionKind::Choose => Some(RequestAction::Choose {
                avoid: self.avoid.clone(),
            }),
            ActionKind::Connect => self.connect(),
            ActionKind::Send => self.send(),
            ActionKind::Revoke => self.revoke(context.now),
            ActionKind::Resume => self.resume(context.now),
            ActionKind::DeliverHead => self.deliver_head(context.now),
            ActionKind::Deliver => self.deliver(event, context.now),
            ActionKind::Cancel => Some(RequestAction::Cancel {
                attempt: self.attempt(),
                backend: self.backend.clone()?,
            }),
            ActionKind::CountRetry => Some(RequestAction::CountRetry(self.retry)),
            ActionKind::Report => Some(self.report()),
        }
    }

    fn connect(&mut self) -> Option<RequestAction> {
        self.connects += 1;
        self.link = self.link.next();
        Some(RequestAction::Connect {
            link: self.link,
            backend: self.backend.clone()?,
        })
    }

    fn send(&mut self) -> Option<RequestAction> {
        assert!(
            self.progress == AttemptProgress::NoneOutstanding && !self.head_delivered,
            "an attempt was sent while an earlier one may be running"
        );
        assert!(
            self.attempts == 0 || self.retry_charged,
            "a retry was sent without being charged to the budget"
        );
        self.retry_charged = false;
        self.attempts += 1;
        self.progress = AttemptProgress::Sent;
        self.link_state = LinkState::Up;
        Some(RequestAction::Send {
            link: self.link,
            attempt: self.attempt(),
            backend: self.backend.clone()?,
            incarnation: self.incarnation,
            deadline: self.agent_deadline,
        })
    }

    fn revoke(&mut self, now: TimePoint) -> Option<RequestAction> {
        self.start_settle_timer(now);
        Some(RequestAction::Revoke {
            attempt: self.attempt(),
            backend: self.backend.clone()?,
            incarnation: self.incarnation,
            deadline: self.agent_deadline,
        })
    }

    fn resume(&mut self, now: TimePoint) -> Option<RequestAction> {
        self.start_settle_timer(now);
        self.link = self.link.next();
        self.link_state = LinkState::Up;
        Some(RequestAction::Resume {
            link: self.link,
            attempt: self.attempt(),
            backend: self.backend.clone()?,
            incarnation: self.incarnation,
            offset: self.delivered,
        })
    }

    fn start_settle_timer(&mut self, now: TimePoint) {
        self.wait_until = now + self.policy.query_interval;
        self.settle_deadline
            .get_or_insert(now + self.policy.settle_timeout);
    }

    fn record_progress(&mut self, now: TimePoint) {
        self.settle_deadline = None;
        self.wait_until = now + self.policy.stall_timeout;
    }

    fn deliver_head(&mut self, now: TimePoint) -> Option<RequestAction> {
        self.record_progress(now);
        if self.head_delivered {
            return None;
        }
        self.head_delivered = true;
        Some(RequestAction::DeliverHead)
    }

    fn deliver(&mut self, event: &RequestEvent, now: TimePoint) -> Option<RequestAction> {
        let RequestEvent::Chunk { offset, length, .. } = event else {
            return None;
        };
        assert!(
            self.head_delivered && *offset <= self.delivered,
            "body bytes would be delivered out of order"
        );
        let skip = self.delivered - offset;
        self.delivered = offset + length;
        self.stream_breaks = 0;
        self.record_progress(now);
        Some(RequestAction::Deliver { skip })
    }

    fn report(&mut self) -> RequestAction {
        assert!(
            self.outcome.is_none(),
            "a second outcome was reported for one request"
        );
        let outcome = match self.state {
            RequestState::Answered => RequestOutcome::Answered,
            RequestState::Refused => {
                assert!(
                    self.progress == AttemptProgress::NoneOutstanding
                        && self.unproved_reason.is_none()
                        && !self.head_delivered,
                    "a request was reported as not run without proof"
                );
                RequestOutcome::NotRun(self.refusal)
            }
            _ => RequestOutcome::Unknown(self.unknown),
        };
        self.outcome = Some(outcome);
        RequestAction::Report(outcome)
    }
}
