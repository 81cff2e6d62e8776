//! Pauses that backend servers ask for when they reject a request.
//!
//! The load pattern: a backend server that is overloaded or recovers says for how long it wants no
//! requests. Afterwards it is the least loaded one, and would get all of them at once.

use celerycrank_types::{TimePoint, TimeSpan};

/// The longest pause that one answer may ask for.
pub const MAX_PAUSE: TimeSpan = TimeSpan::from_secs(30);

/// The time after a pause in which a backend server gets its full part of the requests again.
const RAMP: TimeSpan = TimeSpan::from_secs(1);

/// The time until which a backend server wants no requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SendPause {
    /// The latest end that it has asked for; `None` if it has not asked for any.
    until: Option<TimePoint>,
    /// Whether the end of the pause has not been reported yet.
    is_end_due: bool,
}

impl SendPause {
    /// Records that it asks for a pause; returns whether one begins.
    ///
    /// An earlier answer that asks for a longer pause stays valid.
    pub(crate) fn extend(&mut self, span: TimeSpan, now: TimePoint) -> bool {
        let was_paused = self.remaining(now).is_some();
        let until = now + span.min(MAX_PAUSE);
        if until > now {
            self.until = self.until.max(Some(until));
            self.is_end_due = true;
        }
        !was_paused && until > now
    }

    /// The rest of the pause; `None` if there is none.
    pub(crate) fn remaining(&self, now: TimePoint) -> Option<TimeSpan> {
        let until = self.until.filter(|until| now < *until)?;
        Some(until.since(now))
    }

    /// The part of the ramp that is left: 1 at the end of the pause, 0 after the ramp.
    pub(crate) fn ramp_left(&self, now: TimePoint) -> f64 {
        let Some(until) = self.until else {
            return 0.0;
        };
        let passed = now.since(until).as_secs_f64() / RAMP.as_secs_f64();
        (1.0 - passed).max(0.0)
    }

    /// Whether the pause has ended since the last call.
    pub(crate) fn take_end(&mut self, now: TimePoint) -> bool {
        let has_ended = self.is_end_due && self.remaining(now).is_none();
        self.is_end_due &= !has_ended;
        has_ended
    }
}
