//! The times of a stop.

use std::time::Duration;

use celerycrank_types::{TimePoint, TimeSpan};

/// How long new connections are accepted after the stop signal, until the balancer has noticed
/// the shutdown.
pub(crate) const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// How long after the stop signal a request that may outlast the grace period is still sent to a
/// backend server.
const LATE_REQUEST_DELAY: TimeSpan = TimeSpan::from_millis(3_000);

/// Part of the grace period that is reserved for the process to exit by itself.
const EXIT_RESERVE: TimeSpan = TimeSpan::from_millis(400);

/// Time before the exit at which the requests in flight get their final answers.
const FINAL_ANSWER_RESERVE: TimeSpan = TimeSpan::from_millis(250);

/// When a stopping entry does what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StopSchedule {
    /// From when on requests that may outlast the grace period are refused.
    late_from: TimePoint,
    /// When the requests in flight are answered, however far they are.
    pub(crate) final_at: TimePoint,
    /// When the process exits.
    pub(crate) exit_at: TimePoint,
}

impl StopSchedule {
    /// Plans a stop that begins at `began_at` and must be over after `grace`.
    pub(crate) fn new(began_at: TimePoint, grace: TimeSpan) -> Self {
        let until_exit = grace.saturating_sub(EXIT_RESERVE);
        Self {
            late_from: began_at + LATE_REQUEST_DELAY,
            final_at: began_at + until_exit.saturating_sub(FINAL_ANSWER_RESERVE),
            exit_at: began_at + until_exit,
        }
    }

    /// Whether a request that was read completely at `now` is still sent to a backend server.
    ///
    /// Another entry can serve a late request to its end; its caller has to be told while the
    /// request has certainly not run.
    pub(crate) fn admits(&self, deadline: TimePoint, now: TimePoint) -> bool {
        let is_late = now >= self.late_from;
        let may_outlast = deadline > self.final_at;
        now < self.final_at && !(is_late && may_outlast)
    }
}
