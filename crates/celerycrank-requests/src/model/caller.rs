//! What callers ask for, and what they do with an outcome.

use celerycrank_config::RepeatRule;
use celerycrank_types::{RequestId, TimePoint, TimeSpan};

use super::fault::EntryIndex;

/// One idempotency key of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyNumber(pub u32);

/// How a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRule {
    /// Never started twice, and has no key.
    Once,
    /// Never started twice under this key, whichever entry it is sent to.
    Keyed(KeyNumber),
    /// May be started again.
    Repeatable,
}

/// What one request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPlan {
    /// When it is sent.
    pub at: TimePoint,
    /// The entry that it is sent to.
    pub entry: EntryIndex,
    /// The account that sends it.
    pub account: usize,
    /// How it may be repeated.
    pub rule: CallRule,
    /// When its key was made, if it has one.
    pub key_time: TimePoint,
    /// Bytes of its answer's body.
    pub length: u64,
    /// Longest time to the head of its answer.
    pub deadline: TimeSpan,
    /// Times that its caller sends it again, unless it is answered.
    pub resends: u32,
    /// When the caller leaves, if it does.
    pub leaves: Option<TimePoint>,
}

impl CallRule {
    /// The rule as the operators' lists write it.
    pub(super) const fn repeat(self) -> RepeatRule {
        match self {
            Self::Once => RepeatRule::Never,
            Self::Keyed(_) => RepeatRule::Keyed,
            Self::Repeatable => RepeatRule::Repeatable,
        }
    }
}

/// The id of the request that is sent as the given one of its run.
pub(super) fn request_id(number: u32) -> RequestId {
    RequestId(u128::from(number) + 1)
}
