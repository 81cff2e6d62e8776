//! The clock of a process.

use celerycrank_types::{TimePoint, TimeSpan};
use nix::time::{ClockId, clock_gettime};

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Provides the time to the decision logic, which reads no clock itself.
///
/// The clock is monotonic and keeps running while the machine is suspended, as time does for
/// callers and backend servers. Changes of the wall clock do not affect it.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    /// Microseconds between boot and the start of this clock.
    origin: u64,
}

impl ProcessClock {
    /// Creates a clock that starts at zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: read_micros(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        TimePoint(read_micros().saturating_sub(self.origin))
    }

    /// Microseconds since boot; processes that start later on this machine get larger values.
    #[must_use]
    pub fn micros_since_boot(&self) -> u64 {
        read_micros()
    }

    /// Time remaining until `point`; zero if it has passed.
    #[must_use]
    pub fn until(&self, point: TimePoint) -> TimeSpan {
        point.since(self.now())
    }
}

fn read_micros() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux provides CLOCK_BOOTTIME");
    let seconds = u64::try_from(time.tv_sec()).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec()).unwrap_or_default();
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}
