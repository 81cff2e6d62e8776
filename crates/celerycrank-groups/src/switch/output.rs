//! The outputs of the switch protocol.

use std::sync::Arc;

use crate::{AttemptId, EngineOrder, MapChange, MemberIndex, SwitchMessage, SwitchRefusal};

/// An action that a member or a leader requests of its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SwitchOutput {
    /// Send a message to another agent of the group.
    Send {
        /// The recipient.
        to: MemberIndex,
        /// The message.
        message: SwitchMessage,
    },
    /// Send an order to the engine; the engine receives orders in the sequence of these outputs.
    Order(EngineOrder),
    /// Every member voted yes: the attempt's map is active from its first step.
    Committed {
        /// The attempt.
        attempt: AttemptId,
        /// The change to the map.
        change: Arc<MapChange>,
    },
    /// A member voted no: the old map stays active.
    Aborted(AttemptId),
    /// This member voted no; reported for metrics.
    Refused(SwitchRefusal),
    /// No verdict arrived within the verdict timeout: the group should be formed again.
    Overdue(AttemptId),
}
