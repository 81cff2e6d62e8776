//! The times of a stop.

use std::time::Duration;

use celerycrank_types::{TimePoint, TimeSpan};

/// How long new connections are accepted after the stop signal, until the balancer has noticed
/// the shutdown.
pub(crate) const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// Part of the grace period that is reserved for the process to exit by itself.
const EXIT_RESERVE: TimeSpan = TimeSpan::from_millis(400);

/// Time before the exit at which the requests in flight get their final answers.
const FINAL_ANSWER_RESERVE: TimeSpan = TimeSpan::from_millis(250);

/// When a stopping entry does what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StopSchedule {
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
            final_at: began_at + until_exit.saturating_sub(FINAL_ANSWER_RESERVE),
            exit_at: began_at + until_exit,
        }
    }
}
