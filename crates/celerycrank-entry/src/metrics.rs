//! The entry's metrics.

use celerycrank_process::{ConnectionEvent, CounterFault, LabelledCounter, MetricSet};
use celerycrank_sync::SyncCounters;
use celerycrank_types::{RefusalReason, RetryReason, UnknownReason};
use prometheus::{Histogram, IntCounter, IntGauge};

/// The entry's metrics.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    pub(crate) set: MetricSet,
    pub(crate) refusals: LabelledCounter<RefusalReason>,
    pub(crate) retries: LabelledCounter<RetryReason>,
    pub(crate) unknowns: LabelledCounter<UnknownReason>,
    pub(crate) requests: IntCounter,
    pub(crate) answered: IntCounter,
    pub(crate) callers_left: IntCounter,
    pub(crate) answers_unread: IntCounter,
    pub(crate) wire_faults: IntCounter,
    pub(crate) first_token: Histogram,
    pub(crate) between_tokens: Histogram,
    pub(crate) queue_wait: Histogram,
    pub(crate) decision: Histogram,
    pub(crate) connections: IntGauge,
    pub(crate) sync: SyncCounters,
}

impl EntryMetrics {
    pub(crate) fn register() -> Result<Self, CounterFault> {
        let set = MetricSet::default();
        Ok(Self {
            refusals: set.refusals("celerycrank_entry_refusals_total")?,
            retries: set.retries("celerycrank_entry_retries_total")?,
            unknowns: set.unknowns("celerycrank_entry_unknown_total")?,
            requests: set.counter("celerycrank_entry_requests_total", "requests of callers")?,
            answered: set.counter(
                "celerycrank_entry_answered_total",
                "requests whose whole answer was passed on",
            )?,
            callers_left: set.counter(
                "celerycrank_entry_callers_left_total",
                "requests whose caller left before its answer was complete",
            )?,
            answers_unread: set.counter(
                "celerycrank_entry_answers_unread_total",
                "connections cut because the caller left an answer unread",
            )?,
            wire_faults: set.counter(
                "celerycrank_entry_wire_faults_total",
                "frames that could not be decoded",
            )?,
            first_token: set.latency(
                "celerycrank_entry_first_token_seconds",
                "time from a request to the first part of its answer",
            )?,
            between_tokens: set.latency(
                "celerycrank_entry_between_tokens_seconds",
                "time between parts of one answer",
            )?,
            queue_wait: set.latency(
                "celerycrank_entry_queue_wait_seconds",
                "time that requests waited at their agents",
            )?,
            decision: set.decision(
                "celerycrank_entry_decision_seconds",
                "time to choose the agent of one request",
            )?,
            connections: set.gauge("celerycrank_entry_connections", "connections of callers")?,
            sync: SyncCounters::register(&set)?,
            set,
        })
    }

    /// Counts an event of a caller's connection that belongs to no request.
    pub(crate) fn observe(&self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::TooMany => self.refusals.count(RefusalReason::TooManyConnections),
            ConnectionEvent::HeadTooLarge => self.refusals.count(RefusalReason::HeaderTooLarge),
            ConnectionEvent::Malformed => self.refusals.count(RefusalReason::BadRequest),
            ConnectionEvent::HeadTooSlow => self.refusals.count(RefusalReason::CallerTooSlow),
            ConnectionEvent::Unread => self.answers_unread.inc(),
        }
    }
}
