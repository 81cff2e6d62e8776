//! Helpers shared by the tests of the rank protocol.

use celerycrank_groups::{MapVersion, OrderSequence, RankReport, StepNumber};

/// The report of a rank without a group that uses the initial map and has accepted no order.
pub fn idle_report(step: u64) -> RankReport {
    RankReport {
        place: None,
        incarnation: 1,
        sequence: OrderSequence(0),
        running: 0,
        waiting: 0,
        pace: 1.0,
        step: StepNumber(step),
        map: MapVersion(0),
        prepared: None,
        armed: None,
        held: None,
    }
}
