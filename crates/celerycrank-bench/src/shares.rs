//! Placeholder until its measurement lands.

/// Arguments of the measurement.
#[derive(Debug, clap::Args)]
pub(crate) struct SharesArgs {
    /// Seed of every random choice.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the measurement and prints its table.
pub(crate) fn run(args: &SharesArgs) {
    println!("no measurement yet; seed {}", args.seed);
}
