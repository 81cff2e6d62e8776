//! The actions that an agent's logic requests from its process, and the timeouts of attempts.

use celerycrank_types::TimeSpan;
use smallvec::SmallVec;

use crate::{LeaderEvent, MemberSet, RankMessage, RankOrder};

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
    /// Interval at which a map is sent again to ranks that have not loaded it.
    pub prepare_resend: TimeSpan,
    /// Minimum time between two attempts, doubled by consecutive failures.
    pub pause: TimeSpan,
    /// The time that is left to arm all ranks before the group reaches the step of the switch.
    pub arm_margin: TimeSpan,
}

/// The number of ranks of the groups for which [`RankTimes::default`] is meant.
const DEFAULT_SIZE: u16 = 8;

/// The time by which each further rank extends a round of messages and answers.
const ROUND_PER_RANK: TimeSpan = TimeSpan::from_millis(5);

/// The time by which each further rank extends the interval after which messages are sent again.
const RESEND_PER_RANK: TimeSpan = TimeSpan::from_millis(1);

/// The time by which each further rank extends the interval after which a map is sent again.
const PREPARE_RESEND_PER_RANK: TimeSpan = TimeSpan::from_millis(3);

/// The time by which each further rank extends the time that is left to arm all ranks.
const ARM_MARGIN_PER_RANK: TimeSpan = TimeSpan(1_500);

impl RankTimes {
    /// The times for a group of this size: one agent sends to all ranks and handles all of their
    /// answers, so a round takes longer with each rank.
    #[must_use]
    pub fn for_size(self, size: u16) -> Self {
        let more = u64::from(size.saturating_sub(DEFAULT_SIZE));
        let extend = |time: TimeSpan, by: TimeSpan| TimeSpan(time.0 + by.0 * more);
        Self {
            check: extend(self.check, ROUND_PER_RANK),
            arm: extend(self.arm, ROUND_PER_RANK),
            resend: extend(self.resend, RESEND_PER_RANK),
            prepare_resend: extend(self.prepare_resend, PREPARE_RESEND_PER_RANK),
            arm_margin: extend(self.arm_margin, ARM_MARGIN_PER_RANK),
            ..self
        }
    }
}

impl Default for RankTimes {
    fn default() -> Self {
        Self {
            prepare: TimeSpan::from_millis(3_000),
            check: TimeSpan::from_millis(150),
            arm: TimeSpan::from_millis(300),
            resend: TimeSpan::from_millis(80),
            prepare_resend: TimeSpan::from_millis(80),
            pause: TimeSpan::from_millis(100),
            arm_margin: TimeSpan::from_millis(70),
        }
    }
}

/// An action for the agent's process to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum RankOutput {
    /// Send a message to the agents of other ranks.
    Send(MemberSet, RankMessage),
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
