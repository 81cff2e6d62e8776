//! The process's clock.

use celerycrank_types::{TimePoint, TimeSpan};
use nix::time::{ClockId, clock_gettime};

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Reads time for the decision logic, which itself reads no clock.
///
/// Time goes on while the machine is suspended, as it does for callers and backend servers,
/// and does not jump with the time of day.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    /// Microseconds since the machine's start.
    origin: u64,
}

impl ProcessClock {
    /// A clock that begins now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: read_micros(),
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        TimePoint(read_micros().saturating_sub(self.origin))
    }

    /// Microseconds since the machine's start, which later processes on it see grown.
    #[must_use]
    pub fn micros_since_boot(&self) -> u64 {
        read_micros()
    }

    /// How long from now a point of time is; zero if it has passed.
    #[must_use]
    pub fn until(&self, point: TimePoint) -> TimeSpan {
        point.since(self.now())
    }
}

fn read_micros() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("every Linux has this clock");
    let seconds = u64::try_from(time.tv_sec()).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec()).unwrap_or_default();
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}
