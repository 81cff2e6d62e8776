//! Metrics of the agent.

use celerycrank_process::{MetricError, MetricSet};
use prometheus::{Histogram, IntCounter, IntGauge};

#[derive(Debug)]
pub(crate) struct AgentMetrics {
    pub(crate) set: MetricSet,
    pub(crate) orders: IntCounter,
    pub(crate) orders_refused: IntCounter,
    pub(crate) orders_unanswered: IntCounter,
    pub(crate) attempts: IntCounter,
    pub(crate) switches: IntCounter,
    pub(crate) taken_back: IntCounter,
    pub(crate) loads: IntCounter,
    pub(crate) engine_errors: IntCounter,
    pub(crate) map_version: IntGauge,
    pub(crate) planning: Histogram,
    pub(crate) waits: IntCounter,
    pub(crate) datagrams_queued: IntCounter,
    pub(crate) datagrams_dropped: IntCounter,
    pub(crate) datagrams_failed: IntCounter,
    pub(crate) datagrams_unreadable: IntCounter,
    pub(crate) datagrams_unaddressed: IntCounter,
    pub(crate) shapes_rejected: IntCounter,
}

impl AgentMetrics {
    pub(crate) fn register() -> Result<Self, MetricError> {
        let set = MetricSet::default();
        Ok(Self {
            orders: set.counter(
                "celerycrank_rank_orders_total",
                "orders given to the engine",
            )?,
            orders_refused: set.counter(
                "celerycrank_rank_orders_refused_total",
                "orders that the engine refused",
            )?,
            orders_unanswered: set.counter(
                "celerycrank_rank_orders_unanswered_total",
                "orders that got no answer in time",
            )?,
            attempts: set.counter(
                "celerycrank_rank_attempts_total",
                "attempts to change the group's map that this agent led",
            )?,
            switches: set.counter(
                "celerycrank_rank_switches_total",
                "attempts for which every rank was armed",
            )?,
            taken_back: set.counter(
                "celerycrank_rank_taken_back_total",
                "attempts that were taken back",
            )?,
            loads: set.counter(
                "celerycrank_rank_loads_total",
                "experts that attempts of this agent had ranks load",
            )?,
            engine_errors: set.counter(
                "celerycrank_rank_engine_faults_total",
                "readings of the engine that gave no answer to use",
            )?,
            map_version: set.gauge("celerycrank_rank_map_version", "version of the map in use")?,
            planning: set.decision(
                "celerycrank_rank_planning_seconds",
                "time to find what to load",
            )?,
            waits: set.counter(
                "celerycrank_rank_waits_total",
                "switches for which the group had to wait until every rank was armed",
            )?,
            shapes_rejected: set.counter(
                "celerycrank_rank_shapes_rejected_total",
                "shapes of groups whose maps are not changed, since no map can have them",
            )?,
            datagrams_queued: set.counter(
                "celerycrank_rank_datagrams_queued_total",
                "datagrams that had to wait for the link or the socket",
            )?,
            datagrams_dropped: set.counter(
                "celerycrank_rank_datagrams_dropped_total",
                "datagrams that were not sent, since too many waited",
            )?,
            datagrams_failed: set.counter(
                "celerycrank_rank_datagrams_failed_total",
                "datagrams that the socket could not send or receive",
            )?,
            datagrams_unreadable: set.counter(
                "celerycrank_rank_datagrams_unreadable_total",
                "received datagrams that no agent or entry of this version has sent",
            )?,
            datagrams_unaddressed: set.counter(
                "celerycrank_rank_datagrams_unaddressed_total",
                "messages to ranks whose agents were not known, and so were not sent",
            )?,
            set,
        })
    }
}
