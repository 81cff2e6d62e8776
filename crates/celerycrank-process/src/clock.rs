//! The process's monotonic clock.

use std::time::Instant;

use celerycrank_types::TimePoint;

/// Reads time for the decision logic, which itself reads no clock.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// A clock that begins now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        let micros = self.origin.elapsed().as_micros();
        TimePoint(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
