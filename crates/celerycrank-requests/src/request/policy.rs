//! The rules under which one request is tried.

use celerycrank_config::RepeatRule;
use celerycrank_types::TimeSpan;

use crate::RetryBackoff;

/// The rules under which one request is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct RequestPolicy {
    /// Whether the call may be started again without proof.
    #[builder(default = RepeatRule::Never)]
    pub repeat: RepeatRule,
    /// Longest time from acceptance to the head of the answer.
    pub deadline: TimeSpan,
    /// Longest time spent on finding out what became of an attempt.
    #[builder(default = TimeSpan::from_secs(2))]
    pub settle_timeout: TimeSpan,
    /// Wait before an agent is asked again.
    #[builder(default = TimeSpan::from_millis(200))]
    pub query_interval: TimeSpan,
    /// Longest silence of a link within an answer.
    #[builder(default = TimeSpan::from_secs(10))]
    pub stall_timeout: TimeSpan,
    /// Most resumptions of a stream without a further byte.
    #[builder(default = 4)]
    pub max_resumes: u32,
    /// Most choices of a backend server.
    #[builder(default = 4)]
    pub max_tries: u32,
    /// Waits between tries.
    #[builder(default = RetryBackoff {
        base: TimeSpan::from_millis(10),
        limit: TimeSpan::from_secs(1),
    })]
    pub backoff: RetryBackoff,
}
