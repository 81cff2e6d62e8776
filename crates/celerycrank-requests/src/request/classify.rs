//! The part of the request state machine that updates a request's data for an event and derives the
//! chart event.

use celerycrank_chart::ChartStep;
use celerycrank_config::RepeatRule;
use celerycrank_types::{RefusalReason, RetryReason, TimePoint, UnknownReason};
use rand::Rng;

use super::{
    event::{EventKind, RequestEvent, RequestState, RevokeAnswer},
    machine::{AttemptProgress, LinkState, REQUEST_CHART, RequestContext, RequestMachine},
};
use crate::{AttemptId, LinkNumber, consumes_retry_budget, is_retryable};

impl RequestMachine {
    /// Updates the request's data for an event, which may charge the retry budget or start a
    /// backoff.
    ///
    /// Returns the chart event that it amounts to, or `None` if it does not apply now.
    pub(super) fn apply_event<R: Rng>(
        &mut self,
        event: &RequestEvent,
        context: &mut RequestContext<'_, R>,
    ) -> Option<EventKind> {
        match event {
            RequestEvent::Chosen(backend) => {
                self.backend = self
                    .accepts(EventKind::Chosen)
                    .then(|| backend.clone())
                    .or(self.backend.take());
                Some(EventKind::Chosen)
            }
            RequestEvent::NoBackendChosen(reason) => self.handle_none_chosen(*reason),
            RequestEvent::Connected {
                link,
                incarnation,
                clock,
            } => {
                self.check_link(*link)?;
                self.accepts(EventKind::Connected).then_some(())?;
                self.incarnation = *incarnation;
                self.agent_deadline = clock.deadline(self.deadline);
                Some(EventKind::Connected)
            }
            RequestEvent::ConnectFailed(link) => {
                self.check_link(*link)?;
                self.handle_connect_failed(context)
            }
            RequestEvent::LinkLost(link) => {
                self.check_link(*link)?;
                Some(self.handle_link_lost(context))
            }
            RequestEvent::LinkSilent(link) => {
                self.check_link(*link)?;
                Some(EventKind::LinkSilent)
            }
            RequestEvent::Refused(attempt, reason) => {
                self.check_attempt(*attempt)?;
                self.handle_not_started(*reason, RetryReason::Refused, context)
            }
            RequestEvent::Unproved(attempt, reason) => {
                self.check_attempt(*attempt)?;
                Some(self.handle_unproved(*reason, context))
            }
            RequestEvent::Head(attempt) => {
                self.check_attempt(*attempt)?;
                Some(EventKind::Head)
            }
            RequestEvent::Chunk {
                attempt,
                offset,
                length,
            } => {
                self.check_attempt(*attempt)?;
                self.handle_chunk(*offset, *length, context)
            }
            RequestEvent::End { attempt, length } => {
                self.check_attempt(*attempt)?;
                self.handle_end(*length, context)
            }
            RequestEvent::RevokeAnswered(attempt, answer) => {
                self.check_attempt(*attempt)?;
                self.handle_revoke_answered(*answer, context)
            }
            RequestEvent::RevokeFailed(attempt) => {
                self.check_attempt(*attempt)?;
                None
            }
            RequestEvent::TimerFired => self.handle_timer(context),
            RequestEvent::CallerLeft => Some(EventKind::CallerLeft),
        }
    }

    fn check_attempt(&self, attempt: AttemptId) -> Option<()> {
        (attempt == self.attempt()).then_some(())
    }

    fn check_link(&self, link: LinkNumber) -> Option<()> {
        (link == self.link).then_some(())
    }

    fn accepts(&self, kind: EventKind) -> bool {
        matches!(
            REQUEST_CHART.step(self.state, kind),
            ChartStep::Moved { .. }
        )
    }

    fn handle_none_chosen(&mut self, reason: RefusalReason) -> Option<EventKind> {
        self.accepts(EventKind::NotRun).then_some(())?;
        self.refusal = reason;
        Some(self.not_run())
    }

    /// Returns `NotRun`, or `Unproved` if an earlier attempt of a repeatable call may have run.
    fn not_run(&mut self) -> EventKind {
        match self.unproved_reason {
            Some(reason) => {
                self.unknown = reason;
                EventKind::Unproved
            }
            None => EventKind::NotRun,
        }
    }

    fn handle_connect_failed<R: Rng>(
        &mut self,
        context: &mut RequestContext<'_, R>,
    ) -> Option<EventKind> {
        (self.state == RequestState::Connecting).then_some(())?;
        self.refusal = RefusalReason::AgentUnreachable;
        if self.may_attempt_again(context.now) {
            self.back_off(RetryReason::ConnectFailed, context);
            return Some(EventKind::Retry);
        }
        Some(self.not_run())
    }

    /// Handles proof that the latest attempt will never start: retries if the budget allows.
    fn handle_not_started<R: Rng>(
        &mut self,
        refusal: RefusalReason,
        retry: RetryReason,
        context: &mut RequestContext<'_, R>,
    ) -> Option<EventKind> {
        self.accepts(EventKind::NotRun).then_some(())?;
        self.progress = AttemptProgress::NoneOutstanding;
        self.refusal = refusal;
        if !is_retryable(refusal) || !self.may_attempt_again(context.now) {
            return Some(self.not_run());
        }
        if consumes_retry_budget(refusal) && !context.budget.spend() {
            self.refusal = RefusalReason::RetryBudget;
            return Some(self.not_run());
        }
        self.retry_charged = true;
        self.back_off(retry, context);
        Some(EventKind::Retry)
    }

    /// Handles an attempt of unknown outcome: only a repeatable call is retried.
    fn handle_unproved<R: Rng>(
        &mut self,
        reason: UnknownReason,
        context: &mut RequestContext<'_, R>,
    ) -> EventKind {
        self.unknown = reason;
        let may_repeat = self.policy.repeat == RepeatRule::Repeatable
            && !self.head_delivered
            && self.accepts(EventKind::Repeat)
            && self.may_attempt_again(context.now);
        if !may_repeat || !context.budget.spend() {
            return EventKind::Unproved;
        }
        self.retry_charged = true;
        self.progress = AttemptProgress::NoneOutstanding;
        self.unproved_reason = Some(reason);
        self.back_off(RetryReason::Repeatable, context);
        EventKind::Repeat
    }

    fn may_attempt_again(&self, now: TimePoint) -> bool {
        self.connects < self.policy.max_connects && now < self.deadline
    }

    fn back_off<R: Rng>(&mut self, reason: RetryReason, context: &mut RequestContext<'_, R>) {
        self.retry = reason;
        self.settle_deadline = None;
        self.wait_until = context.now
            + self
                .policy
                .backoff
                .wait(self.connects, &mut *context.random);
        if let Some(backend) = &self.backend
            && !self.avoid.contains(backend)
        {
            self.avoid.push(backend.clone());
        }
    }

    fn handle_link_lost<R: Rng>(&mut self, context: &mut RequestContext<'_, R>) -> EventKind {
        self.link_state = LinkState::Lost;
        self.retry = RetryReason::StreamResumed;
        match self.state {
            RequestState::Revoking if self.progress == AttemptProgress::Started => {
                EventKind::Started
            }
            RequestState::Streaming => {
                self.stream_breaks += 1;
                if self.stream_breaks > self.policy.max_resumes {
                    return self.handle_unproved(UnknownReason::LinkLost, context);
                }
                EventKind::LinkLost
            }
            RequestState::Resuming => {
                let links = self.link.0;
                self.wait_until =
                    context.now + self.policy.backoff.wait(links, &mut *context.random);
                EventKind::LinkLost
            }
            _ => EventKind::LinkLost,
        }
    }

    fn handle_chunk<R: Rng>(
        &mut self,
        offset: u64,
        length: u64,
        context: &mut RequestContext<'_, R>,
    ) -> Option<EventKind> {
        if offset > self.delivered || !self.head_delivered {
            return self.handle_gap(context);
        }
        (offset + length > self.delivered).then_some(EventKind::Chunk)
    }

    fn handle_end<R: Rng>(
        &mut self,
        length: u64,
        context: &mut RequestContext<'_, R>,
    ) -> Option<EventKind> {
        if length < self.delivered {
            return Some(self.handle_unproved(UnknownReason::BadAnswer, context));
        }
        if length > self.delivered || !self.head_delivered {
            return self.handle_gap(context);
        }
        Some(EventKind::End)
    }

    /// Handles a gap in the answer like a lost link, unless a resumption is already running.
    fn handle_gap<R: Rng>(&mut self, context: &mut RequestContext<'_, R>) -> Option<EventKind> {
        match self.state {
            RequestState::Waiting | RequestState::Streaming => Some(self.handle_link_lost(context)),
            _ => None,
        }
    }

    fn handle_revoke_answered<R: Rng>(
        &mut self,
        answer: RevokeAnswer,
        context: &mut RequestContext<'_, R>,
    ) -> Option<EventKind> {
        (self.state == RequestState::Revoking).then_some(())?;
        match answer {
            RevokeAnswer::NeverStarted if context.now >= self.deadline => self.handle_not_started(
                RefusalReason::DeadlineUnreachable,
                RetryReason::Revoked,
                context,
            ),
            RevokeAnswer::NeverStarted => {
                self.handle_not_started(RefusalReason::Revoked, RetryReason::Revoked, context)
            }
            RevokeAnswer::Started | RevokeAnswer::Finished => {
                Some(self.handle_started(context.now))
            }
            RevokeAnswer::Unproved(reason) => Some(self.handle_unproved(reason, context)),
            RevokeAnswer::Forgotten => Some(self.handle_unproved(UnknownReason::LinkLost, context)),
            RevokeAnswer::OtherIncarnation => {
                Some(self.handle_unproved(UnknownReason::AgentRestarted, context))
            }
        }
    }

    fn handle_started(&mut self, now: TimePoint) -> EventKind {
        self.progress = AttemptProgress::Started;
        if self.link_state == LinkState::Up && now < self.deadline {
            self.settle_deadline = None;
            return EventKind::StillRunning;
        }
        if self.link_state == LinkState::Up {
            self.wait_until = self.settle_deadline.unwrap_or(self.wait_until);
            return EventKind::Running;
        }
        self.retry = RetryReason::StreamResumed;
        EventKind::Started
    }

    fn handle_timer<R: Rng>(&mut self, context: &mut RequestContext<'_, R>) -> Option<EventKind> {
        (self.wake_at()? <= context.now).then_some(())?;
        let timed_out = self.settle_deadline.is_some_and(|at| at <= context.now);
        match self.state {
            RequestState::Waiting => Some(EventKind::Deadline),
            RequestState::BackingOff if context.now < self.deadline => Some(EventKind::WaitOver),
            RequestState::Revoking | RequestState::Resuming if timed_out => {
                Some(self.handle_settle(context))
            }
            RequestState::Revoking => Some(EventKind::AskAgain),
            RequestState::Resuming => {
                self.retry = RetryReason::StreamResumed;
                Some(EventKind::AskAgain)
            }
            RequestState::Streaming => Some(self.handle_link_lost(context)),
            _ => Some(self.not_run()),
        }
    }

    fn handle_settle<R: Rng>(&mut self, context: &mut RequestContext<'_, R>) -> EventKind {
        let reason = match (self.progress, self.link_state) {
            (AttemptProgress::Started, LinkState::Up) => UnknownReason::BackendTimeout,
            _ => UnknownReason::LinkLost,
        };
        match self.handle_unproved(reason, context) {
            EventKind::Unproved => EventKind::Settle,
            other => other,
        }
    }
}
