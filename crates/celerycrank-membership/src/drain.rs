//! A process's own planned stop: unready first, then no new work, then the end.

use std::{fmt, sync::LazyLock};

use celerycrank_chart::{ChartStep, StateChart};
use celerycrank_types::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

static CHART: LazyLock<StateChart<DrainState, DrainEvent, DrainAction>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/drain.json")).expect("the drain chart is valid")
});

/// Where a process stands in its planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// It takes new work.
    Serving,
    /// It tells the platform's balancer to leave and still takes new work.
    Unready,
    /// It takes no new work and finishes what is in flight.
    Draining,
    /// Nothing is in flight; the process may end.
    Finished,
}

/// What moves a planned stop on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainEvent {
    /// An operator announced the stop, or SIGTERM arrived.
    StopRequested,
    /// The operator withdrew the announcement.
    StopWithdrawn,
    /// The balancer has had its time to leave.
    BalancerLeft,
    /// No request is in flight any more.
    WorkFinished,
}

#[derive(Debug, Clone, Copy, Deserialize)]
enum DrainAction {}

/// What a stop still waits for.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingWork {
    /// Requests whose answer is not complete.
    pub requests: u64,
    /// Age of the oldest of them.
    pub oldest: TimeSpan,
    /// Claims whose result is not recorded.
    pub claims: u64,
}

impl PendingWork {
    /// Whether nothing is left to wait for.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.requests == 0 && self.claims == 0
    }
}

impl fmt::Display for PendingWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return f.write_str("nothing in flight");
        }
        let Self {
            requests,
            oldest,
            claims,
        } = self;
        write!(
            f,
            "{requests} requests in flight, the oldest for {oldest}; {claims} open claims"
        )
    }
}

/// The planned stop of this process.
#[derive(Debug)]
pub struct DrainTracker {
    state: DrainState,
    /// How long the balancer needs to leave after the process turned unready.
    balancer_delay: TimeSpan,
    unready_since: Option<TimePoint>,
}

impl DrainTracker {
    /// A tracker of a serving process.
    #[must_use]
    pub fn new(balancer_delay: TimeSpan) -> Self {
        Self {
            state: CHART.initial(),
            balancer_delay,
            unready_since: None,
        }
    }

    /// Where the stop stands.
    #[must_use]
    pub const fn state(&self) -> DrainState {
        self.state
    }

    /// Whether `/readyz` answers yes.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        matches!(self.state, DrainState::Serving)
    }

    /// Whether new work is taken.
    #[must_use]
    pub const fn accepts_work(&self) -> bool {
        matches!(self.state, DrainState::Serving | DrainState::Unready)
    }

    /// Begins the stop.
    pub fn request_stop(&mut self, now: TimePoint) {
        self.apply(DrainEvent::StopRequested);
        if self.state == DrainState::Unready {
            self.unready_since.get_or_insert(now);
        }
    }

    /// Takes the stop back, as long as work is still taken.
    pub fn withdraw_stop(&mut self) {
        self.apply(DrainEvent::StopWithdrawn);
        if self.state == DrainState::Serving {
            self.unready_since = None;
        }
    }

    /// Moves the stop on as far as time and the work in flight allow.
    pub fn on_tick(&mut self, now: TimePoint, pending: PendingWork) -> DrainState {
        if self
            .unready_since
            .is_some_and(|since| now.since(since) >= self.balancer_delay)
        {
            self.apply(DrainEvent::BalancerLeft);
        }
        if self.state == DrainState::Draining && pending.is_empty() {
            self.apply(DrainEvent::WorkFinished);
        }
        self.state
    }

    fn apply(&mut self, event: DrainEvent) {
        if let ChartStep::Moved { state, .. } = CHART.step(self.state, event) {
            self.state = state;
        }
    }
}
