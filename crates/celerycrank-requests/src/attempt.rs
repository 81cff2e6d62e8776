//! Identifiers of attempts and of the links that carry them.

use std::fmt;

use celerycrank_types::RequestId;
use serde::{Deserialize, Serialize};

/// Identifies one attempt: a single send of a request to one agent.
///
/// Invariant: an attempt is sent to one agent only; later attempts have larger numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request being sent.
    pub request: RequestId,
    /// The attempt's number within the request, starting at 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.number)
    }
}

/// Identifies a connection or stream within the request that uses it.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LinkNumber(pub u32);

impl LinkNumber {
    /// Returns the number that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for LinkNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
