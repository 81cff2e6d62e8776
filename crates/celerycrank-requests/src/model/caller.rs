//! The calls of a run, and how they may be repeated.

use celerycrank_config::RepeatRule;
use celerycrank_types::{RequestId, TimePoint, TimeSpan};

use super::fault::EntryIndex;

/// Number of an idempotency key within a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyNumber(pub u32);

/// Whether and how a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRule {
    /// The call has no key and must not start twice.
    Once,
    /// The call must not start twice under this key, even if it is sent to several entries.
    Keyed(KeyNumber),
    /// The call may be started again.
    Repeatable,
}

/// A planned call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPlan {
    /// When the call is sent.
    pub at: TimePoint,
    /// The entry to which it is sent.
    pub entry: EntryIndex,
    /// The account that sends it.
    pub account: usize,
    /// Whether and how it may be repeated.
    pub rule: CallRule,
    /// The time embedded in its key, if it has one.
    pub key_time: TimePoint,
    /// Length of the answer's body, in bytes.
    pub length: u64,
    /// Maximum time to the head of its answer.
    pub deadline: TimeSpan,
    /// Maximum number of times that the caller sends it again while it is not answered.
    pub resends: u32,
    /// When the caller disconnects, if at all.
    pub leaves: Option<TimePoint>,
}

impl CallRule {
    /// Converts the rule to the setting in the configuration.
    pub(super) const fn repeat(self) -> RepeatRule {
        match self {
            Self::Once => RepeatRule::Never,
            Self::Keyed(_) => RepeatRule::Keyed,
            Self::Repeatable => RepeatRule::Repeatable,
        }
    }
}

/// Returns the ID of the request with this number within its run.
pub(super) fn request_id(number: u32) -> RequestId {
    RequestId(u128::from(number) + 1)
}
