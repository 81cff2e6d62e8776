//! What is known of a keyed call.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The HTTP status with which the backend server answered a keyed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallStatus(pub u16);

impl fmt::Display for CallStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What became of an attempt to claim a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimAnswer {
    /// The attempt alone may start the call.
    Won,
    /// The call ran before, with this status.
    Recorded(CallStatus),
    /// The key is claimed by another attempt, and its result is not recorded.
    ClaimedElsewhere,
    /// The key was claimed for a different request.
    KeyReused,
    /// The record has moved past the key's time, so that nothing is known of it.
    KeyExpired,
    /// The claim could not be recorded in time.
    Unavailable,
}
