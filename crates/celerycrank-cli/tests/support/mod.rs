//! Real processes, a fake backend server and a blocking caller.

#![allow(dead_code, reason = "no test file uses every item")]
#![allow(unreachable_pub, reason = "shared by several test files")]

pub mod backend;
pub mod caller;
pub mod closed;
pub mod deployment;
pub mod platform;
pub mod process;

use std::time::{Duration, Instant};

/// Timeout of every wait; no test depends on a shorter one to pass.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `check` holds.
///
/// # Panics
///
/// Panics if it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !check() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
