//! Measures how long a backend server has been silent.

use std::{pin::Pin, time::Duration};

use actix_rt::time::{Instant, Sleep, sleep};

/// Number of equal intervals of which an idle timeout consists.
///
/// A time for which this process was frozen counts as one of them: what the backend server sent
/// meanwhile is read in the next one.
const IDLE_INTERVALS: u32 = 4;

/// The idle timeout of a backend server.
pub(crate) struct IdleTimer {
    interval: Duration,
    /// Number of intervals that have elapsed without progress.
    elapsed: u32,
    /// The end of the current interval.
    sleep: Pin<Box<Sleep>>,
}

impl IdleTimer {
    /// Creates a timer that starts now.
    pub(crate) fn new(timeout: Duration) -> Self {
        let interval = timeout / IDLE_INTERVALS;
        Self {
            interval,
            elapsed: 0,
            sleep: Box::pin(sleep(interval)),
        }
    }

    /// Starts the timeout anew.
    pub(crate) fn restart(&mut self) {
        self.elapsed = 0;
        self.start_interval();
    }

    /// Waits until the timeout has elapsed.
    ///
    /// Cancel-safe: no elapsed time is lost if the future is dropped.
    pub(crate) async fn wait(&mut self) {
        while self.elapsed < IDLE_INTERVALS {
            self.sleep.as_mut().await;
            self.elapsed += 1;
            self.start_interval();
        }
    }

    fn start_interval(&mut self) {
        let end = Instant::now() + self.interval;
        self.sleep.as_mut().reset(end);
    }
}
