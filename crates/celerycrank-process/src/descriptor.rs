//! The limit of open descriptors.

use std::io;

use nix::sys::resource::{Resource, getrlimit};

/// Returns the number of descriptors that the process may have open.
///
/// # Errors
///
/// Fails if the system does not report the limit.
pub fn descriptor_limit() -> io::Result<u64> {
    let (soft, _) = getrlimit(Resource::RLIMIT_NOFILE)?;
    Ok(soft)
}
