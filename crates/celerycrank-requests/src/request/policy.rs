//! Timeouts and retry limits of one request.

use celerycrank_config::RepeatRule;
use celerycrank_types::TimeSpan;

use crate::RetryBackoff;

/// Timeouts and retry limits of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct RequestPolicy {
    /// Whether the call may be started again without proof that it has not run.
    #[builder(default = RepeatRule::Never)]
    pub repeat: RepeatRule,
    /// Maximum time from acceptance to the head of the answer.
    pub deadline: TimeSpan,
    /// Maximum time for settling an attempt: finding out whether it ran, or resuming its answer.
    #[builder(default = TimeSpan::from_secs(2))]
    pub settle_timeout: TimeSpan,
    /// Wait before an agent is asked again about an attempt.
    #[builder(default = TimeSpan::from_millis(200))]
    pub query_interval: TimeSpan,
    /// Maximum time without progress while an answer is streamed.
    #[builder(default = TimeSpan::from_secs(10))]
    pub stall_timeout: TimeSpan,
    /// Maximum number of consecutive resumptions of a stream that deliver no byte.
    #[builder(default = 4)]
    pub max_resumes: u32,
    /// Maximum number of times a backend server is chosen and connected to.
    #[builder(default = 4)]
    pub max_connects: u32,
    /// Backoff between attempts.
    #[builder(default = RetryBackoff {
        base: TimeSpan::from_millis(10),
        limit: TimeSpan::from_secs(1),
    })]
    pub backoff: RetryBackoff,
}
