//! Comparison of routing policies on a seeded trace.

mod direct;
mod engine;
mod policy;
mod run;
mod trace;

use std::time::{Duration, Instant};

use celerycrank_routing::{
    BackendCondition, BackendRouter, BackendSpec, BlockHash, LoadReport, PromptPrefix, RouteQuery,
    RouterSettings,
};
use celerycrank_types::{DomainId, TimePoint, TimeSpan, TokenCount};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::{
    direct::DirectView,
    policy::PolicyKind,
    run::PolicyRun,
    trace::{TraceParameters, TraceRequest},
};

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Offset of the trace on the routers' clock, late enough that all workers have warmed up.
const TRACE_START_SECONDS: f64 = 3_600.0;

/// Loads at which the policies are compared, in percent of the capacity.
const LOAD_PERCENTS: [u32; 3] = [50, 80, 95];

/// Cache hit rate of prompt blocks that is assumed for the capacity.
const REFERENCE_HIT_RATE: f64 = 0.5;

/// Latency target for the first token, in milliseconds.
const TARGET_MILLIS: u64 = 400;

/// Number of batches of decisions; each batch is timed separately.
const BATCH_COUNT: u32 = 200;

/// Decisions per batch.
const BATCH_DECISIONS: usize = 1_000;

/// Arguments of the `routing` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct RoutingArgs {
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of workers.
    #[arg(long, default_value_t = 16)]
    workers: usize,
    /// Number of entries.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    /// Number of system prompts per worker.
    #[arg(long, default_value_t = 3)]
    prompts: usize,
    /// Simulated duration of the trace, in seconds.
    #[arg(long, default_value_t = 240.0)]
    seconds: f64,
    /// Measure the duration of a routing decision instead.
    #[arg(long)]
    decision: bool,
}

/// Runs the selected measurement and prints its results.
pub(crate) fn run(args: &RoutingArgs) {
    if args.decision {
        measure_decision(args);
        return;
    }
    println!(
        "| load | policy | hit rate | p50 ms | p99 ms | moved on a departure | tokens read | in time |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for load in LOAD_PERCENTS {
        compare_policies(args, load);
    }
}

fn compare_policies(args: &RoutingArgs, load: u32) {
    let trace = generate_trace(args, load);
    for kind in PolicyKind::ALL {
        let run = PolicyRun::new(kind, &trace, args.workers, args.entries, args.seed);
        let result = run.simulate();
        println!(
            "| {load}% | {} | {:.3} | {} | {} | {:.1}% | {} | {:.1}% |",
            kind.name(),
            result.hit_rate,
            result.p50,
            result.p99,
            result.moved * 100.0,
            result.read_blocks * engine::BLOCK_TOKENS,
            result.in_time * 100.0,
        );
    }
}

/// Generates a trace at a load in percent of the capacity.
///
/// The capacity depends on the mean slot time of a request, which is first estimated from a
/// short sample trace.
fn generate_trace(args: &RoutingArgs, load: u32) -> Vec<TraceRequest> {
    let mut parameters = TraceParameters {
        requests_per_second: 4.0 * args.workers as f64,
        seconds: 60.0,
        system_prompts: args.prompts * args.workers,
        entries: args.entries,
    };
    let sample = trace::generate(parameters, &mut ChaCha8Rng::seed_from_u64(args.seed));
    let slots = args.workers as f64 * f64::from(engine::SLOTS);
    parameters.requests_per_second = slots / mean_slot_seconds(&sample) * f64::from(load) / 100.0;
    parameters.seconds = args.seconds;
    trace::generate(parameters, &mut ChaCha8Rng::seed_from_u64(args.seed))
}

/// Returns the mean time for which a request occupies a slot, at the reference hit rate.
fn mean_slot_seconds(sample: &[TraceRequest]) -> f64 {
    let total: f64 = sample
        .iter()
        .map(|request| {
            let blocks = request.prefix.blocks().len() as f64;
            let prefill = blocks * (1.0 - REFERENCE_HIT_RATE) * engine::BLOCK_SECONDS;
            prefill + f64::from(request.output_tokens) * engine::TOKEN_SECONDS
        })
        .sum();
    total / sample.len() as f64
}

/// Converts trace time to the routers' clock.
fn time_point(seconds: f64) -> TimePoint {
    let clock = Duration::from_secs_f64(seconds + TRACE_START_SECONDS);
    TimePoint::default() + TimeSpan::from(clock)
}

fn measure_decision(args: &RoutingArgs) {
    let domain: DomainId = "estremoz".parse().expect("a valid name");
    let mut router = BackendRouter::new(RouterSettings::builder().domain(domain.clone()).build());
    for worker in 0..args.workers {
        router.set_backend(BackendSpec {
            backend: policy::worker_name(worker),
            domain: domain.clone(),
            concurrency: engine::SLOTS,
            condition: BackendCondition::Ready {
                since: TimePoint(0),
            },
        });
    }
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let prompts: Vec<PromptPrefix> = (0..BATCH_DECISIONS)
        .map(|_| PromptPrefix::from_blocks((0..16).map(|_| BlockHash(rng.random()))))
        .collect();
    let mut batches: Vec<f64> = (0..BATCH_COUNT)
        .map(|batch| time_batch(&mut router, &prompts, batch, &mut rng))
        .collect();
    print_batches("router", args.workers, &mut batches);
    let view = |is_weighed| DirectView::new(args.workers, 1, is_weighed);
    for (name, mut view) in [
        ("direct entry, load alone", view(false)),
        ("direct entry, held prompts", view(true)),
        ("direct entry, load limit", view(false).with_load_limit()),
        ("direct entry, both", view(true).with_load_limit()),
    ] {
        let mut batches = time_direct(&mut view, args.workers, &prompts, &mut rng);
        print_batches(name, args.workers, &mut batches);
    }
}

fn print_batches(name: &str, workers: usize, batches: &mut [f64]) {
    batches.sort_by(f64::total_cmp);
    println!(
        "{name}, {workers} workers: {:.2} us a decision in the fastest batch, {:.2} in the median one",
        batches[0],
        batches[batches.len() / 2],
    );
}

/// Returns the mean durations of the direct entry's decisions in each batch, in microseconds.
///
/// The bookkeeping is not timed: it is done once for each request, while the load of every backend
/// server is read for each decision.
fn time_direct(
    view: &mut DirectView,
    workers: usize,
    prompts: &[PromptPrefix],
    rng: &mut ChaCha8Rng,
) -> Vec<f64> {
    let half_load = LoadReport {
        running: engine::SLOTS / 2,
        waiting: 0,
        waiting_cost: TokenCount(0),
    };
    let batches = (0..BATCH_COUNT).map(|batch| {
        let now = time_point(f64::from(batch));
        for worker in 0..workers {
            view.note_load(now, worker, half_load);
        }
        let mut took = Duration::ZERO;
        for prefix in prompts {
            let begin = Instant::now();
            let worker = view.choose(now, prefix.blocks(), rng);
            took += begin.elapsed();
            view.note_sent(now, worker, prefix.blocks());
            view.note_begun(now, worker, prefix.blocks());
            view.note_finished(worker);
            // Twice, since the first report may not include the request.
            for _ in 0..2 {
                view.note_load(now, worker, half_load);
            }
        }
        took.as_secs_f64() * MICROS_PER_SECOND / prompts.len() as f64
    });
    batches.collect()
}

/// Returns the mean duration of a decision and its bookkeeping in a batch, in microseconds.
fn time_batch(
    router: &mut BackendRouter,
    prompts: &[PromptPrefix],
    batch: u32,
    rng: &mut ChaCha8Rng,
) -> f64 {
    let now = time_point(f64::from(batch));
    let begin = Instant::now();
    for prefix in prompts {
        let query = RouteQuery { prefix, tried: &[] };
        let choice = router.choose(now, &query, rng);
        let backend = choice.expect("every worker is ready").backend;
        router.note_sent(&backend, prefix);
        router.note_answered(now, prefix);
        router.note_finished(&backend);
    }
    begin.elapsed().as_secs_f64() * MICROS_PER_SECOND / prompts.len() as f64
}
