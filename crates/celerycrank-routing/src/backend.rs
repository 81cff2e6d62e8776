//! What a router knows of one backend server.

use celerycrank_types::{BackendId, DomainId, TimePoint, TimeSpan, TokenCount};

/// Whether a backend server may be given new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendCondition {
    /// It takes work, and has done so since this point; a recent one is given less at first.
    Ready {
        /// When it began to take work.
        since: TimePoint,
    },
    /// It is leaving or suspected to be dead, and gets nothing new.
    Excluded,
}

/// A backend server as the membership describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSpec {
    /// The backend server's name.
    pub backend: BackendId,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// Most requests that it works on at a time.
    pub concurrency: u32,
    /// Whether it may be given new work.
    pub condition: BackendCondition,
}

/// Load of a backend server, as its agent attaches it to answers and refusals.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for one.
    pub waiting: u32,
    /// Estimated work of those that wait.
    pub waiting_cost: TokenCount,
}

/// One backend server in a router's table.
#[derive(Debug, Clone)]
pub(crate) struct BackendState {
    pub(crate) spec: BackendSpec,
    pub(crate) generation: u32,
    /// Requests that this router sent and that are not finished.
    pub(crate) in_flight: u32,
    /// Load that others caused, as last reported.
    external_load: f64,
    reported_at: TimePoint,
}

impl BackendState {
    pub(crate) fn new(spec: BackendSpec, generation: u32) -> Self {
        Self {
            spec,
            generation,
            in_flight: 0,
            external_load: 0.0,
            reported_at: TimePoint::default(),
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        matches!(self.spec.condition, BackendCondition::Ready { .. })
    }

    /// Takes in a load report: what exceeds this router's own requests is due to others.
    pub(crate) fn report(&mut self, now: TimePoint, load: LoadReport) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        self.external_load = (total - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
    }

    /// Requests believed to be at the backend server for each of its slots.
    ///
    /// A report fades, since the requests that it counted finish.
    pub(crate) fn load(&self, now: TimePoint, fade: TimeSpan) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64() / fade.as_secs_f64();
        let external_load = self.external_load / (1.0 + age);
        (f64::from(self.in_flight) + external_load) / f64::from(self.spec.concurrency.max(1))
    }

    /// Part of a full load that it may be given while it warms up.
    pub(crate) fn warm_up_fraction(&self, now: TimePoint, slow_start: TimeSpan) -> f64 {
        match self.spec.condition {
            BackendCondition::Ready { since } if slow_start > TimeSpan::ZERO => {
                let fraction = now.since(since).as_secs_f64() / slow_start.as_secs_f64();
                fraction.clamp(0.1, 1.0)
            }
            BackendCondition::Ready { .. } => 1.0,
            BackendCondition::Excluded => 0.0,
        }
    }
}
