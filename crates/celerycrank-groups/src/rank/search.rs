//! Decides when a leader searches for the agents of its group that it lacks.

/// The largest number of hello rounds between two searches.
const MAX_ROUNDS: u32 = 16;

/// Spaces the searches of one leader, each of which sends a message to every VM of the service.
///
/// Agents that run are found in the first search. One that is missing for longer is searched for
/// ever more rarely, since the leaders of many groups may lack one each.
#[derive(Debug, Clone)]
pub struct SearchBackoff {
    /// The number of rounds from one search to the next.
    interval: u32,
    /// The number of rounds until the next search.
    remaining: u32,
}

impl Default for SearchBackoff {
    fn default() -> Self {
        Self {
            interval: 1,
            remaining: 0,
        }
    }
}

impl SearchBackoff {
    /// Begins a hello round; returns whether the leader searches in it.
    ///
    /// `is_complete` says whether every agent of the group is reachable.
    pub fn begin_round(&mut self, is_complete: bool) -> bool {
        if is_complete {
            *self = Self::default();
            return false;
        }
        if self.remaining > 0 {
            self.remaining -= 1;
            return false;
        }
        self.remaining = self.interval - 1;
        self.interval = (self.interval * 2).min(MAX_ROUNDS);
        true
    }
}
