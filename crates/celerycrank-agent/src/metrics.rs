//! The agent's metrics.

use celerycrank_process::{LabelledCounter, MetricError, MetricSet};
use celerycrank_sync::SyncCounters;
use celerycrank_types::{RefusalReason, UnknownReason};
use prometheus::{Histogram, IntCounter, IntGauge};

/// The agent's metrics.
#[derive(Debug)]
pub(crate) struct AgentMetrics {
    pub(crate) set: MetricSet,
    pub(crate) refusals: LabelledCounter<RefusalReason>,
    pub(crate) unknowns: LabelledCounter<UnknownReason>,
    pub(crate) started: IntCounter,
    pub(crate) answered: IntCounter,
    pub(crate) cancelled: IntCounter,
    pub(crate) revoked: IntCounter,
    pub(crate) handshake_faults: IntCounter,
    pub(crate) wire_faults: IntCounter,
    pub(crate) queue_wait: Histogram,
    pub(crate) running: IntGauge,
    pub(crate) queued: IntGauge,
    pub(crate) sync: SyncCounters,
}

impl AgentMetrics {
    pub(crate) fn register() -> Result<Self, MetricError> {
        let set = MetricSet::default();
        Ok(Self {
            refusals: set.refusals("celerycrank_agent_refusals_total")?,
            unknowns: set.unknowns("celerycrank_agent_unknown_total")?,
            started: set.counter(
                "celerycrank_agent_started_total",
                "requests handed to the backend server",
            )?,
            answered: set.counter(
                "celerycrank_agent_answered_total",
                "requests whose whole answer was passed on",
            )?,
            cancelled: set.counter(
                "celerycrank_agent_cancelled_total",
                "requests whose caller left",
            )?,
            revoked: set.counter(
                "celerycrank_agent_revocations_total",
                "revocations that were asked for",
            )?,
            handshake_faults: set.counter(
                "celerycrank_agent_handshake_faults_total",
                "peers of another deployment or protocol version",
            )?,
            wire_faults: set.counter(
                "celerycrank_agent_wire_faults_total",
                "frames that could not be decoded",
            )?,
            queue_wait: set.latency(
                "celerycrank_agent_queue_wait_seconds",
                "time that requests waited for the backend server",
            )?,
            running: set.gauge("celerycrank_agent_running", "requests that run now")?,
            queued: set.gauge("celerycrank_agent_queued", "requests that wait now")?,
            sync: SyncCounters::register(&set)?,
            set,
        })
    }
}
