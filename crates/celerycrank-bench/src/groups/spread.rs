//! Processor time of one plan that spreads the hot experts of a large group.

use std::time::Duration;

use celerycrank_groups::{ExpertMap, LoadTable, MapShape, SpreadLimits, spread_hot_experts};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use super::decision::thread_cpu_time;

/// Limits of one plan, as a rank agent sets them.
const LIMITS: SpreadLimits = SpreadLimits {
    per_layer: 2,
    per_rank: 3,
    target_skew: 1.3,
};

/// Exponent of the distribution of loads over experts, from the most loaded one down.
const LOAD_EXPONENT: f64 = 0.55;

/// Arguments of the `groups spread` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct SpreadArgs {
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of layers.
    #[arg(long, default_value_t = 16)]
    layers: u16,
    /// Number of experts of a layer.
    #[arg(long, default_value_t = 192)]
    experts: u16,
    /// Number of ranks.
    #[arg(long, default_value_t = 96)]
    ranks: u16,
    /// Number of plans to measure.
    #[arg(long, default_value_t = 100)]
    runs: usize,
}

/// Plans from the initial map for other hot experts each time, and prints what it takes.
pub(crate) fn run(args: &SpreadArgs) {
    let shape = MapShape::builder()
        .layers(args.layers)
        .experts(args.experts)
        .ranks(args.ranks)
        .slots(args.experts.div_ceil(args.ranks.max(1)) + 1)
        .build();
    let shape = match shape.check() {
        Ok(shape) => shape,
        Err(error) => {
            eprintln!("{error}");
            return;
        }
    };
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let map = ExpertMap::round_robin(shape);
    let plans = (0..args.runs.max(1)).map(|_| plan(&map, &mut rng));
    let mut plans = plans.collect::<Vec<_>>();
    plans.sort_by_key(|plan| plan.cpu_time);
    let total = plans.iter().map(|plan| plan.cpu_time).sum::<Duration>();
    let mean = total.as_secs_f64() * 1e3 / plans.len() as f64;
    let longest = &plans[plans.len() - 1];
    let median = &plans[plans.len() / 2];
    println!(
        "{} layers, {} experts, {} ranks: {mean:.1} ms of one core on average, {:.1} ms at most; \
         median plan: {} weight copies, skew {:.2} to {:.2}",
        shape.layers,
        shape.experts,
        shape.ranks,
        longest.cpu_time.as_secs_f64() * 1e3,
        median.copies,
        median.before,
        median.after,
    );
}

struct MeasuredPlan {
    cpu_time: Duration,
    copies: usize,
    before: f64,
    after: f64,
}

fn plan(map: &ExpertMap, rng: &mut ChaCha8Rng) -> MeasuredPlan {
    let loads = draw_loads(map.shape(), rng);
    let started = thread_cpu_time();
    let copies = spread_hot_experts(map, &loads, &LIMITS);
    let cpu_time = thread_cpu_time().saturating_sub(started);
    MeasuredPlan {
        cpu_time,
        copies: copies.len(),
        before: loads.step_skew(map),
        after: loads.step_skew(&map.successor(&copies)),
    }
}

/// Loads that follow a power law, with another order of experts in each layer.
fn draw_loads(shape: MapShape, rng: &mut ChaCha8Rng) -> LoadTable {
    let mut table = LoadTable::new(shape);
    for layer in 0..usize::from(shape.layers) {
        let loads = table.layer_mut(layer);
        for (rank, load) in loads.iter_mut().enumerate() {
            let noise = rng.random_range(0.9..1.1);
            *load = (rank as f64 + 1.0).powf(-LOAD_EXPONENT) * noise;
        }
        loads.shuffle(rng);
    }
    table
}
