//! The outputs and the timing settings of the formation protocol.

use std::sync::Arc;

use celerycrank_types::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::{FormationMessage, GroupRecord, MemberIndex, RecordRequestId};

/// An action that the formation protocol requests of its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FormationOutput {
    /// Send a message to another agent of the group.
    Send {
        /// The recipient.
        to: MemberIndex,
        /// The message.
        message: FormationMessage,
    },
    /// Read the group's record from the key-value service.
    Read {
        /// The number of this request, repeated in the answer.
        request: RecordRequestId,
    },
    /// Write the group's record if its revision is unchanged.
    Write {
        /// The number of this request, repeated in the answer.
        request: RecordRequestId,
        /// The revision that the stored record must have.
        revision: u64,
        /// The new record.
        record: Arc<GroupRecord>,
    },
    /// Leave any older incarnation of the group and enter this one.
    Enter(Arc<GroupRecord>),
}

/// Times of the formation protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct FormationTimes {
    /// Longest time that an order to the engine can be in flight.
    ///
    /// An agent that has started sends no order before this time has passed. Otherwise, an
    /// engine that ignores fencing numbers could execute orders of the previous agent
    /// incarnation after those of the new one.
    #[builder(default = TimeSpan::from_millis(500))]
    pub order_timeout: TimeSpan,
    /// Interval between two calls for a new incarnation, and between two heartbeats.
    #[builder(default = TimeSpan::from_millis(200))]
    pub call_interval: TimeSpan,
    /// Timeout of a request to the key-value service; also the time that an agent gives others to
    /// call for a new incarnation first.
    #[builder(default = TimeSpan::from_secs(1))]
    pub answer_timeout: TimeSpan,
    /// Additional wait for each member index, so that one member calls for a new incarnation
    /// before the others do.
    #[builder(default = TimeSpan::from_millis(50))]
    pub member_delay: TimeSpan,
}

impl Default for FormationTimes {
    fn default() -> Self {
        Self::builder().build()
    }
}
