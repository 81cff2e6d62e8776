//! Real processes, a small fake of a backend server, and a blocking caller.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(unreachable_pub, reason = "shared by several test files")]

pub mod backend;
pub mod caller;
pub mod closed;
pub mod deployment;
pub mod platform;
pub mod process;

use std::time::{Duration, Instant};

/// Longest wait for something that must happen; passing depends on no shorter time.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `check` holds.
///
/// # Panics
///
/// Panics if it does not hold within the patience.
pub fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let limit = Instant::now() + WAIT_TIMEOUT;
    while !check() {
        assert!(Instant::now() < limit, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
