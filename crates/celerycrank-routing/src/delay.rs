//! Weighs the prompt tokens that a backend server holds against its load.
//!
//! Both kinds of entry use it: [`BackendRouter`](crate::BackendRouter) for prompts of which the
//! entry sees the text, and the direct entry for prompts whose parts are announced.

/// Delay that reading a prompt causes to other requests, relative to its own time, at a load of one.
const READING_WEIGHT: f64 = 6.0;

/// What is predicted for one request at one backend server. All times are in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DelayEstimate {
    /// Number of requests per slot.
    pub load: f64,
    /// Number of requests per slot that wait while the prompt is read: those of the backend server,
    /// or of its whole lock-step group.
    pub stalled_load: f64,
    /// Time until the request begins to be processed.
    pub wait: f64,
    /// Time to read the prompt tokens that are not held.
    pub reading: f64,
    /// Delay from other requests at a load of one.
    pub crowding: f64,
}

impl DelayEstimate {
    /// Returns the expected time to first token, and what the request costs others.
    ///
    /// A token that must be read weighs more the more loaded the backend server is. The delay from
    /// others grows with the square of the load, so that a beginning that many requests share
    /// spreads to a further backend server before it crowds one.
    #[must_use]
    pub fn weighted_delay(&self) -> f64 {
        let reading = self.reading * Self::reading_factor(self.stalled_load);
        self.wait + reading + self.crowding * self.load * self.load
    }

    /// Returns what a second of reading costs at a load, in seconds, for the request and for others.
    #[must_use]
    pub fn reading_factor(load: f64) -> f64 {
        1.0 + READING_WEIGHT * load
    }
}
