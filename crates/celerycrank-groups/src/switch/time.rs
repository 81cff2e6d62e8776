//! Times of the switch protocol.

use celerycrank_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// How long the parts of a switch may take.
///
/// No safety depends on these: a timeout that fires early costs an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct SwitchTimes {
    /// Longest time for an engine to load the weights of a change.
    #[builder(default = TimeSpan::from_secs(300))]
    pub load_timeout: TimeSpan,
    /// Longest time for a member with its weights loaded to wait for the lead's proposal.
    ///
    /// The slowest member may take the whole load timeout, so this should be longer.
    #[builder(default = TimeSpan::from_secs(330))]
    pub propose_timeout: TimeSpan,
    /// Longest time for an engine to confirm a hold.
    #[builder(default = TimeSpan::from_secs(2))]
    pub hold_timeout: TimeSpan,
    /// Time after which an unanswered message is sent again.
    #[builder(default = TimeSpan::from_millis(100))]
    pub retry_interval: TimeSpan,
    /// Longest time for a bound member to wait for the verdict before the group is re-formed.
    #[builder(default = TimeSpan::from_secs(5))]
    pub verdict_timeout: TimeSpan,
    /// Steps between the farthest rank and the first step of a new map.
    #[builder(default = 16)]
    pub margin_steps: u64,
}

impl Default for SwitchTimes {
    fn default() -> Self {
        Self::builder().build()
    }
}
