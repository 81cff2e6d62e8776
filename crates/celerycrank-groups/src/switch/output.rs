//! What a member or a lead wants done.

use std::sync::Arc;

use crate::{AttemptId, EngineOrder, MapChange, MemberIndex, SwitchMessage, SwitchRefusal};

/// What a member wants done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SwitchOutput {
    /// Send a message to another agent of the group.
    Send {
        /// To whom.
        to: MemberIndex,
        /// What.
        message: SwitchMessage,
    },
    /// Give the engine an order; orders reach the engine in this sequence.
    Order(EngineOrder),
    /// Every member voted yes: the attempt's map is in force from its first step.
    Committed {
        /// The attempt.
        attempt: AttemptId,
        /// What has changed.
        change: Arc<MapChange>,
    },
    /// Some member voted no: the old map stays in force.
    Aborted(AttemptId),
    /// This member voted no; to be counted.
    Refused(SwitchRefusal),
    /// No verdict came within the verdict timeout: the group should be re-formed.
    Overdue(AttemptId),
}
