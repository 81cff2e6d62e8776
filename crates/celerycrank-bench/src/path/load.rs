//! Closed-loop load generator: each caller sends one request at a time.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use futures_util::{StreamExt, future::join_all};
use hdrhistogram::Histogram;

use crate::path::{processes::API_KEY, target::unix_micros};

/// Significant decimal digits of histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Kind of request and answer.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RequestShape {
    /// A small answer without delay.
    Plain,
    /// A stream of tokens.
    Streamed { tokens: usize, pause: Duration },
}

impl RequestShape {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Streamed { .. } => "streamed",
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Plain => "/svc/plain",
            Self::Streamed { .. } => "/v1/chat/completions",
        }
    }

    fn body(self) -> String {
        match self {
            Self::Plain => String::from("a bid of modest size"),
            Self::Streamed { tokens, pause } => format!(
                r#"{{"model":"granite","tokens":{tokens},"pause_micros":{}}}"#,
                pause.as_micros()
            ),
        }
    }
}

/// Load generated on one address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadPlan {
    pub(crate) shape: RequestShape,
    pub(crate) callers: usize,
    pub(crate) threads: usize,
    /// Time after which no further request is sent.
    pub(crate) duration: Duration,
    /// Limit on the number of requests of all callers together.
    pub(crate) max_requests: usize,
}

/// Latencies and errors measured by the callers.
#[derive(Debug)]
pub(crate) struct LoadReport {
    latency: Histogram<u64>,
    pub(crate) lateness: Histogram<u64>,
    pub(crate) errors: u64,
    elapsed: Duration,
}

impl LoadReport {
    fn new() -> Self {
        Self {
            latency: Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is in range"),
            lateness: Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is in range"),
            errors: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Returns the number of successful requests.
    pub(crate) fn requests(&self) -> u64 {
        self.latency.len()
    }

    /// Returns the successful requests per second.
    pub(crate) fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns a quantile of the latency, in microseconds.
    pub(crate) fn quantile(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    fn merge(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("both histograms are resizable");
        self.lateness
            .add(&other.lateness)
            .expect("both histograms are resizable");
        self.errors += other.errors;
        self.elapsed = self.elapsed.max(other.elapsed);
    }
}

/// Generates load on one address and returns the merged reports of all callers.
pub(crate) fn run_load(address: SocketAddr, plan: &LoadPlan) -> LoadReport {
    let started_requests = Arc::new(AtomicUsize::new(0));
    let threads = plan.threads.min(plan.callers);
    let workers = (0..threads).map(|index| {
        let callers = plan.callers / threads + usize::from(index < plan.callers % threads);
        let plan = *plan;
        let started_requests = Arc::clone(&started_requests);
        thread::spawn(move || run_thread(address, plan, callers, &started_requests))
    });
    let workers = workers.collect::<Vec<_>>();
    let mut report = LoadReport::new();
    for worker in workers {
        report.merge(&worker.join().expect("callers do not panic"));
    }
    report
}

fn run_thread(
    address: SocketAddr,
    plan: LoadPlan,
    callers: usize,
    started_requests: &AtomicUsize,
) -> LoadReport {
    actix_rt::System::new().block_on(async {
        let callers = (0..callers).map(|_| run_caller(address, &plan, started_requests));
        let mut report = LoadReport::new();
        for caller in join_all(callers).await {
            report.merge(&caller);
        }
        report
    })
}

async fn run_caller(
    address: SocketAddr,
    plan: &LoadPlan,
    started_requests: &AtomicUsize,
) -> LoadReport {
    let client = Client::builder()
        .connector(Connector::new().limit(1))
        .disable_timeout()
        .finish();
    let url = format!("http://{address}{}", plan.shape.path());
    let body = plan.shape.body();
    let mut report = LoadReport::new();
    let start = Instant::now();
    while start.elapsed() < plan.duration
        && started_requests.fetch_add(1, Ordering::Relaxed) < plan.max_requests
    {
        let sent_at = Instant::now();
        let request = client.post(&url).bearer_auth(API_KEY);
        let is_answered = match request.send_body(body.clone()).await {
            Ok(answer) => read_answer(answer, &mut report).await,
            Err(_) => false,
        };
        if is_answered {
            let micros = sent_at.elapsed().as_micros();
            report.latency += u64::try_from(micros).unwrap_or(u64::MAX);
        } else {
            report.errors += 1;
        }
    }
    report.elapsed = start.elapsed();
    report
}

async fn read_answer(mut answer: awc::ClientResponse, report: &mut LoadReport) -> bool {
    let is_success = answer.status().is_success();
    while let Some(chunk) = answer.next().await {
        let Ok(chunk) = chunk else {
            return false;
        };
        let now = unix_micros();
        for timestamp in parse_timestamps(&chunk) {
            report.lateness += now.saturating_sub(timestamp);
        }
    }
    is_success
}

fn parse_timestamps(chunk: &[u8]) -> impl Iterator<Item = u64> {
    let text = std::str::from_utf8(chunk).unwrap_or_default();
    text.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: ")?.parse().ok())
}
