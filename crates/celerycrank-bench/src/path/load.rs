//! Callers that send one request after the other.

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

use crate::path::{children::KEY, target::wall_micros};

/// Digits to which histograms are exact.
const HISTOGRAM_DIGITS: u8 = 3;

/// What each request asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RequestShape {
    /// A small answer at once.
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

/// How much load is put on one address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadPlan {
    pub(crate) shape: RequestShape,
    pub(crate) callers: usize,
    pub(crate) threads: usize,
    /// No request is begun after this.
    pub(crate) span: Duration,
    /// Most requests of all callers together.
    pub(crate) requests: usize,
}

/// What the callers saw.
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
            latency: Histogram::new(HISTOGRAM_DIGITS).expect("the digits are few"),
            lateness: Histogram::new(HISTOGRAM_DIGITS).expect("the digits are few"),
            errors: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Requests that were answered.
    pub(crate) fn requests(&self) -> u64 {
        self.latency.len()
    }

    /// Requests in a second.
    pub(crate) fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// A quantile of the latency, in microseconds.
    pub(crate) fn quantile(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    fn merge(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("both are resizable");
        self.lateness
            .add(&other.lateness)
            .expect("both are resizable");
        self.errors += other.errors;
        self.elapsed = self.elapsed.max(other.elapsed);
    }
}

/// Puts load on one address and reports what the callers saw.
pub(crate) fn run_load(address: SocketAddr, plan: &LoadPlan) -> LoadReport {
    let begun = Arc::new(AtomicUsize::new(0));
    let threads = plan.threads.min(plan.callers);
    let workers = (0..threads).map(|index| {
        let callers = plan.callers / threads + usize::from(index < plan.callers % threads);
        let plan = *plan;
        let begun = Arc::clone(&begun);
        thread::spawn(move || run_arbiter(address, plan, callers, &begun))
    });
    let workers = workers.collect::<Vec<_>>();
    let mut report = LoadReport::new();
    for worker in workers {
        report.merge(&worker.join().expect("callers do not panic"));
    }
    report
}

fn run_arbiter(
    address: SocketAddr,
    plan: LoadPlan,
    callers: usize,
    begun: &AtomicUsize,
) -> LoadReport {
    actix_rt::System::new().block_on(async {
        let callers = (0..callers).map(|_| run_caller(address, &plan, begun));
        let mut report = LoadReport::new();
        for caller in join_all(callers).await {
            report.merge(&caller);
        }
        report
    })
}

async fn run_caller(address: SocketAddr, plan: &LoadPlan, begun: &AtomicUsize) -> LoadReport {
    let client = Client::builder()
        .connector(Connector::new().limit(1))
        .disable_timeout()
        .finish();
    let url = format!("http://{address}{}", plan.shape.path());
    let body = plan.shape.body();
    let mut report = LoadReport::new();
    let start = Instant::now();
    while start.elapsed() < plan.span && begun.fetch_add(1, Ordering::Relaxed) < plan.requests {
        let sent = Instant::now();
        let request = client.post(&url).bearer_auth(KEY);
        let answered = match request.send_body(body.clone()).await {
            Ok(answer) => read_answer(answer, &mut report).await,
            Err(_) => false,
        };
        if answered {
            let micros = sent.elapsed().as_micros();
            report.latency += u64::try_from(micros).unwrap_or(u64::MAX);
        } else {
            report.errors += 1;
        }
    }
    report.elapsed = start.elapsed();
    report
}

async fn read_answer(mut answer: awc::ClientResponse, report: &mut LoadReport) -> bool {
    let success = answer.status().is_success();
    while let Some(chunk) = answer.next().await {
        let Ok(chunk) = chunk else {
            return false;
        };
        let now = wall_micros();
        for stamp in read_stamps(&chunk) {
            report.lateness += now.saturating_sub(stamp);
        }
    }
    success
}

fn read_stamps(chunk: &[u8]) -> impl Iterator<Item = u64> {
    let text = std::str::from_utf8(chunk).unwrap_or_default();
    text.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: ")?.parse().ok())
}
