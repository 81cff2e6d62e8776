//! Waits between calls at the store that fail.

use actix_rt::time::sleep;
use celerycrank_client::KeyValueFault;
use celerycrank_types::TimeSpan;
use rand::Rng;

use super::state::EntryState;

/// Wait before the first repetition of a call that failed.
const FIRST_PAUSE: TimeSpan = TimeSpan::from_millis(100);

/// Longest such wait; also how late the store's return may be noticed.
const LONGEST_PAUSE: TimeSpan = TimeSpan::from_millis(500);

/// Waits between calls that fail one after the other.
pub(super) struct CallBackoff {
    pause: TimeSpan,
    is_lost: bool,
}

impl CallBackoff {
    pub(super) const fn new() -> Self {
        Self {
            pause: FIRST_PAUSE,
            is_lost: false,
        }
    }

    pub(super) fn succeed(&mut self) {
        if self.is_lost {
            tracing::info!(dependency = "store", "store regained");
        }
        self.is_lost = false;
        self.pause = FIRST_PAUSE;
    }

    /// Waits before the next call, longer each time, so that a store that comes back is not
    /// met by every process at once.
    pub(super) async fn fail(&mut self, state: &EntryState, fault: &KeyValueFault) {
        state.metrics.store_faults.inc();
        if !self.is_lost {
            tracing::warn!(dependency = "store", %fault, "store lost");
        }
        self.is_lost = true;
        let jitter = state.random.borrow_mut().random_range(0.5..1.0);
        sleep(self.pause.as_duration().mul_f64(jitter)).await;
        self.pause = TimeSpan((self.pause.0 * 2).min(LONGEST_PAUSE.0));
    }
}
