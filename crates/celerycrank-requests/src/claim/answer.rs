//! Results of claims and of keyed calls.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The HTTP status of a backend server's answer to a keyed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallStatus(pub u16);

impl fmt::Display for CallStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The result of a claim on a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimAnswer {
    /// The claim succeeded: only this attempt may start the call.
    Won,
    /// The call has already run, with this status.
    Recorded(CallStatus),
    /// Another attempt holds the claim, and no result is recorded yet.
    ClaimedElsewhere,
    /// The key was claimed for a different request.
    KeyReused,
    /// The record has been reused for a later time span, so claims on the key are no longer known.
    KeyExpired,
    /// The claim could not be recorded, or not before its deadline.
    Unavailable,
}
