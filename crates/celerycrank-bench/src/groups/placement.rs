//! Skew and cost of each strategy for updating the expert map.

use std::path::PathBuf;

use celerycrank_groups::{MapShape, PlacementPreset};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    plot,
    replay::{MapStrategy, ReplayReport, replay},
    trace::{LoadTrace, TraceKind},
};

const BYTES_PER_GIB: f64 = (1_u64 << 30) as f64;

/// Arguments of the `groups placement` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct PlacementArgs {
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of layers of the model.
    #[arg(long, default_value_t = 60)]
    layers: u16,
    /// Replay only this trace.
    #[arg(long)]
    trace: Option<TraceKind>,
    /// Path to which the plot is written as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// Replays every trace with every strategy and prints the results as tables.
pub(crate) fn run(args: &PlacementArgs) {
    let shape = MapShape::builder()
        .layers(args.layers)
        .experts(64)
        .ranks(32)
        .slots(3)
        .build();
    println!(
        "seed {}, {} layers, 64 experts, 32 ranks, 3 slots",
        args.seed, args.layers
    );
    println!("| trace | map | mean skew | p99 skew | GiB loaded | switches |");
    println!("|---|---|---|---|---|---|");
    let mut points = Vec::new();
    for kind in TraceKind::ALL
        .into_iter()
        .filter(|it| args.trace.is_none_or(|only| only == *it))
    {
        let trace = LoadTrace::new(kind, shape, &mut ChaCha8Rng::seed_from_u64(args.seed));
        let reports = strategies().map(|it| (it, replay(&trace, it, args.seed)));
        for (strategy, report) in reports {
            print_row(kind, strategy, &report);
            points.push((kind, strategy, report));
        }
    }
    print_targets(&points);
    if let Some(path) = &args.plot {
        std::fs::write(path, plot::draw(&points)).expect("the path of the plot is writable");
    }
}

fn strategies() -> impl Iterator<Item = MapStrategy> {
    let named = [
        MapStrategy::Static,
        MapStrategy::Periodic,
        MapStrategy::Greedy,
        MapStrategy::Oracle,
        MapStrategy::Preset(PlacementPreset::AuctionHouse),
        MapStrategy::Preset(PlacementPreset::CoOp),
    ];
    let auction = [0.2, 0.7, 7.0].map(|it| MapStrategy::Weight(PlacementPreset::AuctionHouse, it));
    let co_op = [0.05, 0.4, 1.0].map(|it| MapStrategy::Weight(PlacementPreset::CoOp, it));
    named.into_iter().chain(auction).chain(co_op)
}

fn print_row(kind: TraceKind, strategy: MapStrategy, report: &ReplayReport) {
    println!(
        "| {} | {} | {:.3} | {:.3} | {:.1} | {} |",
        kind.name(),
        strategy.name(),
        report.mean_skew,
        report.p99_skew,
        report.bytes as f64 / BYTES_PER_GIB,
        report.switches,
    );
}

/// Prints the ratios that the targets are defined on, for each trace.
fn print_targets(points: &[(TraceKind, MapStrategy, ReplayReport)]) {
    println!(
        "\n| trace | auction skew / periodic | auction bytes / periodic | co-op bytes / periodic | co-op gain / periodic gain |"
    );
    println!("|---|---|---|---|---|");
    for kind in TraceKind::ALL {
        let find = |strategy| {
            let mut found = points
                .iter()
                .filter(|(it, other, _)| (*it, *other) == (kind, strategy));
            found.next().map(|(_, _, report)| report)
        };
        let (Some(static_map), Some(periodic), Some(auction), Some(co_op)) = (
            find(MapStrategy::Static),
            find(MapStrategy::Periodic),
            find(MapStrategy::Preset(PlacementPreset::AuctionHouse)),
            find(MapStrategy::Preset(PlacementPreset::CoOp)),
        ) else {
            continue;
        };
        let gain = |report: &ReplayReport| static_map.mean_skew - report.mean_skew;
        let bytes = |report: &ReplayReport| report.bytes as f64 / periodic.bytes as f64;
        println!(
            "| {} | {:.3} | {:.3} | {:.3} | {:.2} |",
            kind.name(),
            auction.mean_skew / periodic.mean_skew,
            bytes(auction),
            bytes(co_op),
            gain(co_op) / gain(periodic),
        );
    }
}
