//! Graceful shutdown of a process: it turns unready, then refuses new work, then exits once
//! nothing is in flight.

use std::{fmt, sync::LazyLock};

use celerycrank_chart::{ChartStep, StateChart};
use celerycrank_types::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

static CHART: LazyLock<StateChart<DrainState, DrainEvent, DrainAction>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/drain.json")).expect("the drain chart is valid")
});

/// The phase of a process's graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// New work is accepted.
    Serving,
    /// The readiness check fails so that the platform's load balancer stops sending traffic; new
    /// work is still accepted.
    Unready,
    /// New work is refused and work in flight is finished.
    Draining,
    /// Nothing is in flight; the process may exit.
    Finished,
}

/// An event that advances or withdraws a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainEvent {
    /// An operator announced the stop, or the process received SIGTERM.
    StopRequested,
    /// The operator withdrew the announcement.
    StopWithdrawn,
    /// The delay for the load balancer has elapsed.
    BalancerLeft,
    /// Nothing is in flight any more.
    WorkFinished,
}

#[derive(Debug, Clone, Copy, Deserialize)]
enum DrainAction {}

/// Work that must finish before the process may exit.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingWork {
    /// Number of requests with an incomplete answer.
    pub requests: u64,
    /// Age of the oldest such request.
    pub oldest: TimeSpan,
    /// Number of claims whose result is not recorded yet.
    pub claims: u64,
}

impl PendingWork {
    /// Whether no work is pending.
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

/// Tracks the graceful shutdown of this process.
#[derive(Debug)]
pub struct DrainTracker {
    state: DrainState,
    /// How long the load balancer takes to stop sending traffic after the process turned unready.
    balancer_delay: TimeSpan,
    unready_since: Option<TimePoint>,
}

impl DrainTracker {
    /// Creates a tracker for a serving process.
    #[must_use]
    pub fn new(balancer_delay: TimeSpan) -> Self {
        Self {
            state: CHART.initial(),
            balancer_delay,
            unready_since: None,
        }
    }

    /// The current phase.
    #[must_use]
    pub const fn state(&self) -> DrainState {
        self.state
    }

    /// Whether `/readyz` reports the process as ready.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        matches!(self.state, DrainState::Serving)
    }

    /// Whether new work is accepted.
    #[must_use]
    pub const fn accepts_work(&self) -> bool {
        matches!(self.state, DrainState::Serving | DrainState::Unready)
    }

    /// Begins the shutdown.
    pub fn request_stop(&mut self, now: TimePoint) {
        self.apply(DrainEvent::StopRequested);
        if self.state == DrainState::Unready {
            self.unready_since.get_or_insert(now);
        }
    }

    /// Withdraws the shutdown, which is possible as long as new work is accepted.
    pub fn withdraw_stop(&mut self) {
        self.apply(DrainEvent::StopWithdrawn);
        if self.state == DrainState::Serving {
            self.unready_since = None;
        }
    }

    /// Advances the shutdown as far as the balancer delay and the pending work allow.
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
