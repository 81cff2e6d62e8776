//! What an agent wants done to form its group, and the times by which it acts.

use std::sync::Arc;

use celerycrank_types::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::{FormationMessage, GroupRecord, MemberIndex, RecordCall};

/// What an agent wants done to form its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FormationOutput {
    /// Send a message to another agent of the group.
    Send {
        /// To whom.
        to: MemberIndex,
        /// What.
        message: FormationMessage,
    },
    /// Read the group's record.
    Read {
        /// Which call this is; the answer carries it.
        call: RecordCall,
    },
    /// Write the group's record if its version is still this one.
    Write {
        /// Which call this is; the answer carries it.
        call: RecordCall,
        /// The version that the record must have.
        revision: u64,
        /// The new record.
        record: Arc<GroupRecord>,
    },
    /// Leave any older incarnation and enter this one.
    Enter(Arc<GroupRecord>),
}

/// Times of forming a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct FormationTimes {
    /// Longest time that an order to the engine may be under way.
    ///
    /// An agent that starts gives no order before this has passed, since an engine that
    /// ignores fencing numbers would obey its previous life's orders after its own.
    #[builder(default = TimeSpan::from_millis(500))]
    pub order_timeout: TimeSpan,
    /// Time between two calls.
    #[builder(default = TimeSpan::from_millis(200))]
    pub call_interval: TimeSpan,
    /// Longest wait for the key-value service.
    #[builder(default = TimeSpan::from_secs(1))]
    pub answer_timeout: TimeSpan,
    /// How much longer each member waits than the one before it, so that one of them calls.
    #[builder(default = TimeSpan::from_millis(50))]
    pub member_delay: TimeSpan,
}

impl Default for FormationTimes {
    fn default() -> Self {
        Self::builder().build()
    }
}
