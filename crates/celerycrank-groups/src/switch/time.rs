//! Times of the switch protocol.

use celerycrank_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Timeouts, the retry interval and the step margin of a switch.
///
/// Safety does not depend on these values: a timeout that is too short only aborts an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct SwitchTimes {
    /// Timeout for an engine to load the weights of a change.
    #[builder(default = TimeSpan::from_secs(300))]
    pub load_timeout: TimeSpan,
    /// Timeout of a member that has loaded its weights and waits for the leader's proposal.
    ///
    /// The slowest member may take the whole load timeout, so this should be longer.
    #[builder(default = TimeSpan::from_secs(330))]
    pub propose_timeout: TimeSpan,
    /// Timeout for an engine to confirm a hold.
    #[builder(default = TimeSpan::from_secs(2))]
    pub hold_timeout: TimeSpan,
    /// Interval after which an unanswered message is sent again.
    #[builder(default = TimeSpan::from_millis(100))]
    pub retry_interval: TimeSpan,
    /// Time that a member that has voted yes waits for the verdict before it requests a new
    /// incarnation of the group.
    #[builder(default = TimeSpan::from_secs(5))]
    pub verdict_timeout: TimeSpan,
    /// Steps between the highest step that any rank has reported and the first step of a new map.
    #[builder(default = 16)]
    pub margin_steps: u64,
}

impl Default for SwitchTimes {
    fn default() -> Self {
        Self::builder().build()
    }
}
