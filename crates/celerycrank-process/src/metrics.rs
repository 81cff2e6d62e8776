//! Registration of metrics, and counters that are exported with every label from the start.

use celerycrank_types::{RefusalReason, RetryReason, UnknownReason};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bucket bounds of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 16] = [
    0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 0.94, 2.0, 5.0, 15.0,
    60.0,
];

/// Bucket bounds of decision-time histograms, in seconds.
const DECISION_BUCKETS: [f64; 8] = [
    0.000_000_5,
    0.000_001,
    0.000_002,
    0.000_005,
    0.000_01,
    0.000_05,
    0.000_5,
    0.005,
];

/// cannot register a metric: {0}
#[derive(Debug, displaydoc::Display)]
pub struct MetricError(prometheus::Error);

impl std::error::Error for MetricError {}

impl From<prometheus::Error> for MetricError {
    fn from(error: prometheus::Error) -> Self {
        Self(error)
    }
}

/// The metrics of one process.
#[derive(Debug, Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// Registers a counter.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, MetricError> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a gauge.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, MetricError> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a histogram of latencies.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn latency(&self, name: &str, help: &str) -> Result<Histogram, MetricError> {
        self.histogram(name, help, &LATENCY_BUCKETS)
    }

    /// Registers a histogram of decision times.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn decision(&self, name: &str, help: &str) -> Result<Histogram, MetricError> {
        self.histogram(name, help, &DECISION_BUCKETS)
    }

    /// Registers a counter of refusals.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn refusals(&self, name: &str) -> Result<LabelledCounter<RefusalReason>, MetricError> {
        let labels = RefusalReason::ALL.iter().map(|reason| reason.label());
        self.labelled(name, "requests that were not run, by reason", labels)
    }

    /// Registers a counter of retries.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn retries(&self, name: &str) -> Result<LabelledCounter<RetryReason>, MetricError> {
        let labels = RetryReason::ALL.iter().map(|reason| reason.label());
        self.labelled(name, "requests that were tried again, by reason", labels)
    }

    /// Registers a counter of requests whose outcome is unknown.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn unknowns(&self, name: &str) -> Result<LabelledCounter<UnknownReason>, MetricError> {
        let labels = UnknownReason::ALL.iter().map(|reason| reason.label());
        self.labelled(
            name,
            "requests whose outcome is not known, by reason",
            labels,
        )
    }

    /// Renders the metrics in the Prometheus text format.
    ///
    /// # Panics
    ///
    /// Panics if a metric has an invalid name, which registration rules out.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("encoding registered metrics into memory cannot fail");
        text
    }

    fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Result<Histogram, MetricError> {
        let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let histogram = Histogram::with_opts(opts)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    fn labelled<T>(
        &self,
        name: &str,
        help: &str,
        labels: impl Iterator<Item = &'static str>,
    ) -> Result<LabelledCounter<T>, MetricError> {
        let family = IntCounterVec::new(Opts::new(name, help), &["reason"])?;
        self.registry.register(Box::new(family.clone()))?;
        Ok(LabelledCounter {
            counters: labels
                .map(|label| (label, family.with_label_values(&[label])))
                .collect(),
            label_type: std::marker::PhantomData,
        })
    }
}

/// One counter for each variant of an enum; all are exported from the start, beginning at zero.
#[derive(Debug, Clone)]
pub struct LabelledCounter<T> {
    /// Invariant: holds exactly one counter for each variant.
    counters: Vec<(&'static str, IntCounter)>,
    label_type: std::marker::PhantomData<T>,
}

impl<T> LabelledCounter<T> {
    /// The counts above zero, by label.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.counters
            .iter()
            .map(|(label, counter)| (*label, counter.get()))
            .filter(|(_, count)| *count > 0)
    }

    fn increment(&self, label: &'static str) {
        let found = self.counters.iter().find(|(name, _)| *name == label);
        found.expect("every variant has a counter").1.inc();
    }
}

impl LabelledCounter<RefusalReason> {
    /// Counts one refusal.
    pub fn count(&self, reason: RefusalReason) {
        self.increment(reason.label());
    }
}

impl LabelledCounter<RetryReason> {
    /// Counts one retry.
    pub fn count(&self, reason: RetryReason) {
        self.increment(reason.label());
    }
}

impl LabelledCounter<UnknownReason> {
    /// Counts one unknown outcome.
    pub fn count(&self, reason: UnknownReason) {
        self.increment(reason.label());
    }
}
