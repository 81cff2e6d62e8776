//! One sending of a request to one agent, and the links that carry it.

use std::fmt;

use celerycrank_types::RequestId;
use serde::{Deserialize, Serialize};

/// One sending of a request to one agent.
///
/// Invariant: an attempt is sent to one agent only; the next attempt has a larger number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that is sent.
    pub request: RequestId,
    /// The number of the sending, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.number)
    }
}

/// One connection or stream that a request uses, numbered within the request.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LinkNumber(pub u32);

impl LinkNumber {
    /// The number that follows this one.
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
