//! The actions that an agent's logic requests from its process, and the timeouts of attempts.

use celerycrank_types::TimeSpan;
use smallvec::SmallVec;

use crate::{LeaderEvent, MemberIndex, RankMessage, RankOrder};

/// The timeouts and intervals of attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankTimes {
    /// Timeout for all ranks to load a map.
    pub prepare: TimeSpan,
    /// Timeout for all agents to answer the check before the group is held.
    pub check: TimeSpan,
    /// Timeout for the hold to take effect, and then for all ranks to be armed while the group
    /// is held.
    pub arm: TimeSpan,
    /// Interval at which unanswered messages are sent again.
    pub resend: TimeSpan,
    /// Minimum time between two attempts, doubled by consecutive failures.
    pub pause: TimeSpan,
}

impl Default for RankTimes {
    fn default() -> Self {
        Self {
            prepare: TimeSpan::from_millis(3_000),
            check: TimeSpan::from_millis(150),
            arm: TimeSpan::from_millis(300),
            resend: TimeSpan::from_millis(80),
            pause: TimeSpan::from_millis(100),
        }
    }
}

/// An action for the agent's process to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum RankOutput {
    /// Send a message to the agent of another rank.
    Send(MemberIndex, RankMessage),
    /// Send an order to the own rank, and read its report after the answer.
    Order(RankOrder),
    /// Read the own rank's report now.
    ReadReport,
    /// Read the own rank's expert lists now.
    ReadLists,
    /// Log and count a decision of the leader.
    Event(LeaderEvent),
}

/// Actions to perform in order.
pub type RankOutputs = SmallVec<[RankOutput; 4]>;
