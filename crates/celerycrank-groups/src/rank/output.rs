//! What the logic of an agent asks of its process, and the times that bound it.

use celerycrank_types::TimeSpan;
use smallvec::SmallVec;

use crate::{LeaderEvent, MemberIndex, RankMessage, RankOrder};

/// The times by which attempts are bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankTimes {
    /// Longest time in which ranks load a map.
    pub prepare: TimeSpan,
    /// Longest time in which every agent answers before the group is held.
    pub check: TimeSpan,
    /// Longest time in which ranks are armed while the group may be held.
    pub arm: TimeSpan,
    /// Interval at which unanswered messages are sent again.
    pub resend: TimeSpan,
    /// Shortest time between two attempts.
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

/// What the agent's process is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum RankOutput {
    /// Send a message to the agent of another rank.
    Send(MemberIndex, RankMessage),
    /// Give the own rank an order, and read its report after the answer.
    Order(RankOrder),
    /// Read the own rank's report now.
    ReadReport,
    /// Read the own rank's lists now.
    ReadLists,
    /// Log and count what the lead decided.
    Event(LeaderEvent),
}

/// What is to be done, in order.
pub type RankOutputs = SmallVec<[RankOutput; 4]>;
