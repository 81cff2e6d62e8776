//! A router's view of a backend server.

use celerycrank_types::{BackendId, DomainId, TimePoint, TimeSpan, TokenCount};

/// Whether a backend server may receive new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendCondition {
    /// It accepts requests; one that has become ready recently receives fewer at first.
    Ready {
        /// When it became ready.
        since: TimePoint,
    },
    /// It is leaving or suspected to have failed, and receives no new requests.
    Excluded,
}

/// A backend server as described by the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSpec {
    /// Its name.
    pub backend: BackendId,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// Maximum number of requests processed at the same time.
    pub concurrency: u32,
    /// Whether it may receive new requests.
    pub condition: BackendCondition,
}

/// The load of a backend server, which its agent attaches to answers and refusals.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Number of requests that hold a slot.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Estimated cost of the waiting requests.
    pub waiting_cost: TokenCount,
}

/// A backend server in a router's table.
#[derive(Debug, Clone)]
pub(crate) struct BackendState {
    pub(crate) spec: BackendSpec,
    /// The current generation of the row in the table.
    pub(crate) generation: u32,
    /// Number of requests that this router sent and that have not finished.
    pub(crate) in_flight: u32,
    /// Requests of other routers, as of the last report.
    external_load: f64,
    /// When the last report was received.
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

    /// Updates the load from a report; the excess over this router's own requests is attributed
    /// to other routers.
    pub(crate) fn report(&mut self, now: TimePoint, load: LoadReport) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        self.external_load = (total - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
    }

    /// Returns the estimated number of requests per slot.
    ///
    /// The reported load decays with its age, since the requests that it counted finish.
    pub(crate) fn load(&self, now: TimePoint, decay: TimeSpan) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64() / decay.as_secs_f64();
        let external_load = self.external_load / (1.0 + age);
        (f64::from(self.in_flight) + external_load) / f64::from(self.spec.concurrency.max(1))
    }

    /// Returns the fraction of its full load that it may receive while it warms up.
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
