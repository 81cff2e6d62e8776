//! Decides whether a request is sent again, and what its caller is told otherwise.

use celerycrank_serving::SendObstacle;
use celerycrank_types::{RefusalReason, RetryReason, UnknownReason};

use super::{
    attempt::AttemptError,
    dispatch::RequestDispatch,
    progress::{RequestError, RetryObstacle},
    refusal::RequestRefusal,
};

/// Number of attempts per request that may fail without anything having been sent; the next such
/// failure ends the request.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

impl RequestDispatch<'_> {
    /// Returns an error unless another attempt follows the failed one.
    pub(super) fn check_retry(&self, error: AttemptError) -> Result<(), RequestError> {
        let (granted, refusal) = match error {
            AttemptError::Stale => return Err(self.final_error(RefusalReason::StaleConfiguration)),
            AttemptError::TooLate => {
                return Err(self.final_error(RefusalReason::DeadlineUnreachable));
            }
            // The choice that follows avoids the backend server as long as the obstacle lasts.
            AttemptError::Withheld(obstacle) => {
                (self.take_unsent_attempt(), refusal_reason(obstacle))
            }
            AttemptError::NotSent => (
                self.take_unsent_attempt(),
                RefusalReason::BackendUnreachable,
            ),
            AttemptError::Broken(reason) if !self.request.route.semantics.may_repeat() => {
                return Err(RequestError::Unknown(reason));
            }
            AttemptError::Broken(_) => (
                self.take_send(RetryReason::Repeatable),
                RefusalReason::QueueFull,
            ),
            AttemptError::NotRun | AttemptError::Misdirected | AttemptError::Unsuitable => (
                self.take_send(RetryReason::Refused),
                RefusalReason::QueueFull,
            ),
        };
        granted.map_err(|obstacle| {
            tracing::info!(
                request = %self.request.attempt,
                sendings = self.sent.sends(),
                why = %obstacle,
                "request is not sent again"
            );
            let refusal = self.closed_refusal().unwrap_or_else(|| refusal.into());
            self.final_error(refusal)
        })
    }

    /// Takes one of the attempts that replace an attempt which has sent nothing.
    fn take_unsent_attempt(&self) -> Result<(), RetryObstacle> {
        let attempts = self.unsent_attempts.get() + 1;
        self.unsent_attempts.set(attempts);
        if attempts > MAX_UNSENT_ATTEMPTS {
            Err(RetryObstacle::Unreachable)
        } else if self.has_sends_left() {
            Ok(())
        } else {
            Err(RetryObstacle::NoSendLeft)
        }
    }

    /// Takes a further send from those of the route and from the retries of the service.
    pub(super) fn take_send(&self, reason: RetryReason) -> Result<(), RetryObstacle> {
        if !self.has_sends_left() {
            Err(RetryObstacle::NoSendLeft)
        } else if !self.take_retry(reason) {
            Err(RetryObstacle::NoRetryLeft)
        } else {
            Ok(())
        }
    }

    /// The error to report once no further attempt is made.
    pub(super) fn final_error(&self, refusal: impl Into<RequestRefusal>) -> RequestError {
        if !self.sent.may_have_run() {
            return RequestError::Refused(refusal.into());
        }
        match self.last_error.get() {
            Some(AttemptError::Broken(reason)) => RequestError::Unknown(reason),
            _ => RequestError::Unknown(UnknownReason::BackendBroke),
        }
    }

    /// Whether the route allows another send beside those made and those about to be made.
    pub(super) fn has_sends_left(&self) -> bool {
        self.sent.planned_sends() < self.request.route.max_attempts
    }

    /// Takes a retry from the window of the service; returns whether there was one.
    pub(super) fn take_retry(&self, reason: RetryReason) -> bool {
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

/// Why a request is refused whose last attempt ended at this obstacle.
const fn refusal_reason(obstacle: SendObstacle) -> RefusalReason {
    match obstacle {
        SendObstacle::Evacuated => RefusalReason::Evacuated,
        SendObstacle::Cold => RefusalReason::BackendCold,
        SendObstacle::Leaving => RefusalReason::BackendLeaving,
        SendObstacle::Paused => RefusalReason::BackendPaused,
        _ => RefusalReason::NoBackend,
    }
}
