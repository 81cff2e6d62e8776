//! Duration of one placement decision.

use std::time::{Duration, Instant};

use celerycrank_groups::{
    ExpertMap, MapShape, PlacementPolicy, PlacementPreset, PlacementSettings, full_repack,
};
use celerycrank_types::{TimePoint, TimeSpan};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::trace::{LoadTrace, TraceKind};

/// Minutes of the trace that the policy observes before it decides.
const OBSERVED_MINUTES: usize = 60;

/// Arguments of the `groups decision` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct DecisionArgs {
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of layers of the model.
    #[arg(long, default_value_t = 60)]
    layers: u16,
    /// Number of decisions to measure.
    #[arg(long, default_value_t = 100)]
    runs: usize,
}

/// Measures decisions one by one, on one thread, after an expert has become hot.
pub(crate) fn run(args: &DecisionArgs) {
    let shape = MapShape::builder()
        .layers(args.layers)
        .experts(64)
        .ranks(32)
        .slots(3)
        .build();
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let trace = LoadTrace::new(TraceKind::SuddenHot, shape, &mut rng);
    let initial = ExpertMap::round_robin(shape);
    let map = initial.successor(&full_repack(&initial, &trace.expected[0]));
    for preset in [PlacementPreset::AuctionHouse, PlacementPreset::CoOp] {
        let times = (0..args.runs).map(|_| decide(&trace, &map, preset));
        let (mut times, cpu_time): (Vec<_>, Vec<_>) = times.unzip();
        times.sort();
        let cpu_time = cpu_time.iter().sum::<Duration>().as_secs_f64() * 1e3 / args.runs as f64;
        let millis = |part: usize| times[(times.len() - 1) * part / 100].as_secs_f64() * 1e3;
        println!(
            "{preset:?}, {} layers: {cpu_time:.1} ms of one core on average; \
             elapsed p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms",
            args.layers,
            millis(50),
            millis(99),
            millis(100),
        );
    }
}

/// Returns the elapsed and processor time of the first decision after an hour with a hot expert.
fn decide(trace: &LoadTrace, map: &ExpertMap, preset: PlacementPreset) -> (Duration, Duration) {
    let mut settings = PlacementSettings::preset(preset);
    settings.confirmed = false;
    let mut policy = PlacementPolicy::new(settings);
    let mut now = TimePoint::default();
    for observed in trace.actual.iter().rev().take(OBSERVED_MINUTES) {
        now = now + TimeSpan::from_secs(60);
        policy.observe(now, observed);
    }
    let (started, cpu_time) = (Instant::now(), thread_cpu_time());
    let decision = policy.decide(now, map);
    let times = (
        started.elapsed(),
        thread_cpu_time().saturating_sub(cpu_time),
    );
    assert!(
        !decision.weight_copies.is_empty(),
        "the decision must move at least one expert"
    );
    times
}

/// Returns the processor time of this thread, from the first field of the kernel's `schedstat`.
pub(super) fn thread_cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}
