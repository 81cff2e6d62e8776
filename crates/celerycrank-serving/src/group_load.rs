//! The loads of lock-step groups, whose ranks all wait while one of them reads a prompt.

use std::collections::HashMap;

use celerycrank_types::{GroupId, TimePoint, TimeSpan};

use crate::{BackendState, BackendTable};

/// The shortest time between two computations, each of which visits all backend servers.
const REFRESH_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Computes the loads of lock-step groups from the reports of their ranks.
#[derive(Debug, Default)]
pub struct GroupLoads {
    refreshed_at: Option<TimePoint>,
    /// The requests and slots of each group; empty between two computations, to keep its memory.
    sums: HashMap<GroupId, (u32, u32)>,
}

impl GroupLoads {
    /// Updates the group load of each backend server, unless it was updated a moment ago.
    pub fn refresh(&mut self, table: &mut BackendTable, now: TimePoint) {
        let refreshed_at = self.refreshed_at;
        if refreshed_at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(now);
        for state in table.iter() {
            if let Some(group) = group_of(state, now) {
                let (requests, slots) = self.sums.entry(group.clone()).or_default();
                *requests = requests.saturating_add(state.load.total(now));
                *slots = slots.saturating_add(state.registration.slots);
            }
        }
        for state in table.iter_mut() {
            let sums = group_of(state, now).and_then(|group| self.sums.get(group));
            let sums = sums.filter(|(_, slots)| *slots > 0);
            state.group_load = sums.map(|(requests, slots)| *requests as f32 / *slots as f32);
        }
        self.sums.clear();
    }
}

fn group_of(state: &BackendState, now: TimePoint) -> Option<&GroupId> {
    state.load.report(now)?.group.as_ref()
}
