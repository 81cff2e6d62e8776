//! Backoff between failed calls to the key-value service.

use actix_rt::time::sleep;
use celerycrank_client::KeyValueError;
use celerycrank_types::TimeSpan;
use rand::Rng;

use super::state::EntryState;

/// Delay before the first retry of a failed call.
const INITIAL_DELAY: TimeSpan = TimeSpan::from_millis(100);

/// Upper bound of the delay, and thus of the time until the recovery of the key-value service
/// is noticed.
const MAX_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// Exponential backoff with jitter between consecutive failed calls.
pub(super) struct StoreBackoff {
    delay: TimeSpan,
    is_unreachable: bool,
}

impl StoreBackoff {
    pub(super) const fn new() -> Self {
        Self {
            delay: INITIAL_DELAY,
            is_unreachable: false,
        }
    }

    pub(super) fn record_success(&mut self) {
        if self.is_unreachable {
            tracing::info!(dependency = "store", "store regained");
        }
        self.is_unreachable = false;
        self.delay = INITIAL_DELAY;
    }

    /// Waits before the next call, longer after each error and with jitter, so that the processes
    /// do not all call a recovering store at the same time.
    pub(super) async fn wait_after_error(&mut self, state: &EntryState, error: &KeyValueError) {
        state.metrics.store_errors.inc();
        if !self.is_unreachable {
            tracing::warn!(dependency = "store", fault = %error, "store lost");
        }
        self.is_unreachable = true;
        let jitter = state.random.borrow_mut().random_range(0.5..1.0);
        sleep(self.delay.as_duration().mul_f64(jitter)).await;
        self.delay = TimeSpan((self.delay.0 * 2).min(MAX_DELAY.0));
    }
}
