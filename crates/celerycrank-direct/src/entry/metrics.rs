//! Metrics of the entry.

use celerycrank_process::{LabelledCounter, MetricError, MetricSet};
use celerycrank_types::{RefusalReason, RetryReason, UnknownReason};
use prometheus::{Histogram, IntCounter, IntGauge};

#[derive(Debug)]
pub(crate) struct EntryMetrics {
    pub(crate) set: MetricSet,
    pub(crate) requests: IntCounter,
    pub(crate) answered: IntCounter,
    pub(crate) callers_left: IntCounter,
    pub(crate) ended_early: IntCounter,
    pub(crate) takeovers_begun: IntCounter,
    pub(crate) takeovers_completed: IntCounter,
    pub(crate) answers_unread: IntCounter,
    pub(crate) answers_skipped: IntCounter,
    pub(crate) ended_by_stop: IntCounter,
    pub(crate) callers: CallerMetrics,
    pub(crate) connections_made: IntCounter,
    pub(crate) crashes: IntCounter,
    pub(crate) quarantined_parts: IntGauge,
    pub(crate) unstable_groups: IntGauge,
    pub(crate) evacuation: EvacuationMetrics,
    pub(crate) departures: DepartureMetrics,
    pub(crate) prompts: PromptMetrics,
    pub(crate) store_errors: IntCounter,
    pub(crate) configuration_errors: IntCounter,
    pub(crate) datagrams_failed: IntCounter,
    pub(crate) datagrams_unreadable: IntCounter,
    pub(crate) refusals: LabelledCounter<RefusalReason>,
    pub(crate) retries: LabelledCounter<RetryReason>,
    pub(crate) unknowns: LabelledCounter<UnknownReason>,
    pub(crate) admission: AdmissionMetrics,
    pub(crate) first_event: Histogram,
    pub(crate) answer_time: Histogram,
}

impl EntryMetrics {
    pub(crate) fn register() -> Result<Self, MetricError> {
        let set = MetricSet::default();
        Ok(Self {
            requests: set.counter("celerycrank_direct_requests_total", "requests of callers")?,
            answered: set.counter(
                "celerycrank_direct_answered_total",
                "requests whose whole answer was passed on",
            )?,
            callers_left: set.counter(
                "celerycrank_direct_callers_left_total",
                "requests whose caller left before its answer was complete",
            )?,
            ended_early: set.counter(
                "celerycrank_direct_ended_early_total",
                "requests without a whole answer that had been sent and ended before their deadline",
            )?,
            takeovers_begun: set.counter(
                "celerycrank_direct_takeovers_begun_total",
                "streams for which another backend server was asked while the first was silent",
            )?,
            takeovers_completed: set.counter(
                "celerycrank_direct_takeovers_completed_total",
                "silent streams that another backend server has taken over",
            )?,
            answers_unread: set.counter(
                "celerycrank_direct_answers_unread_total",
                "answers that the entry ended since their caller did not read them",
            )?,
            answers_skipped: set.counter(
                "celerycrank_direct_answers_skipped_total",
                "answers on connections in use again that belong to no or another request",
            )?,
            ended_by_stop: set.counter(
                "celerycrank_direct_ended_by_stop_total",
                "requests that the entry ended since the grace period of its stop was over",
            )?,
            callers: CallerMetrics::register(&set)?,
            connections_made: set.counter(
                "celerycrank_direct_backend_connections_total",
                "connections made to backend servers",
            )?,
            crashes: set.counter(
                "celerycrank_direct_backend_crashes_total",
                "attempts that failed since their backend server crashed",
            )?,
            quarantined_parts: set.gauge(
                "celerycrank_direct_quarantined_parts",
                "prompt parts that are refused since they crash backend servers",
            )?,
            unstable_groups: set.gauge(
                "celerycrank_direct_unstable_groups",
                "lock-step groups that close repeatedly and are used last",
            )?,
            evacuation: EvacuationMetrics::register(&set)?,
            departures: DepartureMetrics::register(&set)?,
            prompts: PromptMetrics::register(&set)?,
            store_errors: set.counter(
                "celerycrank_direct_store_faults_total",
                "calls to the store that gave no answer to use",
            )?,
            configuration_errors: set.counter(
                "celerycrank_direct_configuration_faults_total",
                "configurations, or parts of them, that cannot be read",
            )?,
            datagrams_failed: set.counter(
                "celerycrank_direct_datagrams_failed_total",
                "datagrams that the socket could not send or receive",
            )?,
            datagrams_unreadable: set.counter(
                "celerycrank_direct_datagrams_unreadable_total",
                "received datagrams that no agent of this version has sent",
            )?,
            refusals: set.refusals("celerycrank_direct_refusals_total")?,
            retries: set.retries("celerycrank_direct_retries_total")?,
            unknowns: set.unknowns("celerycrank_direct_unknown_total")?,
            admission: AdmissionMetrics::register(&set)?,
            first_event: set.latency(
                "celerycrank_direct_first_event_seconds",
                "time from a request to the first event of its stream",
            )?,
            answer_time: set.latency(
                "celerycrank_direct_answer_seconds",
                "time from a request to the end of its answer",
            )?,
            set,
        })
    }
}

/// Metrics of requests that wait for a place at the engines of their service.
#[derive(Debug)]
pub(crate) struct AdmissionMetrics {
    pub(crate) waiting: IntGauge,
    pub(crate) admitted_late: IntCounter,
    pub(crate) wait_time: Histogram,
}

impl AdmissionMetrics {
    fn register(set: &MetricSet) -> Result<Self, MetricError> {
        Ok(Self {
            waiting: set.gauge(
                "celerycrank_direct_waiting_requests",
                "requests that wait for a place at the engines of their service",
            )?,
            admitted_late: set.counter(
                "celerycrank_direct_admitted_after_wait_total",
                "requests that were sent after they had waited for a place",
            )?,
            wait_time: set.latency(
                "celerycrank_direct_wait_seconds",
                "time for which requests that were sent had waited for a place",
            )?,
        })
    }
}

/// Metrics of evacuated failure domains and of cold backend servers.
#[derive(Debug)]
pub(crate) struct EvacuationMetrics {
    pub(crate) evacuated_domains: IntGauge,
    pub(crate) evacuation_errors: IntCounter,
    pub(crate) withheld: IntCounter,
    pub(crate) cold_errors: IntCounter,
}

impl EvacuationMetrics {
    fn register(set: &MetricSet) -> Result<Self, MetricError> {
        Ok(Self {
            evacuated_domains: set.gauge(
                "celerycrank_direct_evacuated_domains",
                "failure domains that are evacuated",
            )?,
            evacuation_errors: set.counter(
                "celerycrank_direct_evacuation_faults_total",
                "evacuations that are ignored or concern no backend server",
            )?,
            withheld: set.counter(
                "celerycrank_direct_withheld_total",
                "attempts that ended before their send since the backend server may get no request",
            )?,
            cold_errors: set.counter(
                "celerycrank_direct_cold_faults_total",
                "cold times in answers and registrations that cannot be read",
            )?,
        })
    }
}

/// Metrics of backend servers that shut down or ask for a pause.
#[derive(Debug)]
pub(crate) struct DepartureMetrics {
    pub(crate) leaving: IntCounter,
    pub(crate) leaving_errors: IntCounter,
    pub(crate) pauses: IntCounter,
    pub(crate) pause_errors: IntCounter,
}

impl DepartureMetrics {
    fn register(set: &MetricSet) -> Result<Self, MetricError> {
        Ok(Self {
            leaving: set.counter(
                "celerycrank_direct_backends_leaving_total",
                "backend servers that said in an answer that they are shutting down",
            )?,
            leaving_errors: set.counter(
                "celerycrank_direct_leaving_faults_total",
                "fields of answers about the shutdown of a backend server that cannot be read",
            )?,
            pauses: set.counter(
                "celerycrank_direct_pauses_total",
                "pauses for which backend servers asked when they rejected a request",
            )?,
            pause_errors: set.counter(
                "celerycrank_direct_pause_faults_total",
                "pauses for which backend servers asked that cannot be read or are too long",
            )?,
        })
    }
}

/// Metrics of prompts that backend servers still hold.
#[derive(Debug)]
pub(crate) struct PromptMetrics {
    pub(crate) holder_requests: IntCounter,
    pub(crate) saved_tokens: IntCounter,
    pub(crate) outweighed_holders: IntCounter,
}

impl PromptMetrics {
    fn register(set: &MetricSet) -> Result<Self, MetricError> {
        Ok(Self {
            holder_requests: set.counter(
                "celerycrank_direct_prompt_holder_requests_total",
                "requests sent to a backend server that probably holds the beginning of the prompt",
            )?,
            saved_tokens: set.counter(
                "celerycrank_direct_prompt_tokens_saved_total",
                "prompt tokens that these backend servers probably need not read again",
            )?,
            outweighed_holders: set.counter(
                "celerycrank_direct_prompt_holders_outweighed_total",
                "requests sent elsewhere since the wait at the holders outweighs what they save",
            )?,
        })
    }
}

/// Metrics of the memory and the connections that callers use.
#[derive(Debug)]
pub(crate) struct CallerMetrics {
    pub(crate) requests_gave_way: IntCounter,
    pub(crate) idle_ended: IntCounter,
    pub(crate) connections_refused: IntCounter,
    pub(crate) probe_connections_ended: IntCounter,
    pub(crate) caller_bytes: IntGauge,
}

impl CallerMetrics {
    fn register(set: &MetricSet) -> Result<Self, MetricError> {
        Ok(Self {
            requests_gave_way: set.counter(
                "celerycrank_direct_requests_gave_way_total",
                "unfinished requests that were refused since the memory or descriptors for callers were used up",
            )?,
            idle_ended: set.counter(
                "celerycrank_direct_idle_connections_ended_total",
                "idle connections of callers that were closed since descriptors were used up",
            )?,
            connections_refused: set.counter(
                "celerycrank_direct_connections_refused_total",
                "connections of callers that were refused since descriptors were used up",
            )?,
            probe_connections_ended: set.counter(
                "celerycrank_direct_probe_connections_ended_total",
                "connections of the health checks that were closed since there were too many",
            )?,
            caller_bytes: set.gauge(
                "celerycrank_direct_caller_bytes",
                "memory held by requests and buffered answers of callers",
            )?,
        })
    }
}
