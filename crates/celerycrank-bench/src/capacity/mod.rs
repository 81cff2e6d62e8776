//! Slopes behind `docs/CAPACITY.md`, and the budgets that they are held against.
//!
//! Each probe runs one mechanism at growing sizes and measures processor time, memory
//! and bytes. A straight line through the points gives the figure at the design size.

mod budget;
mod probe;
mod slope;

use crate::capacity::{
    budget::{CapacityLine, CapacityTable},
    probe::{configuration_sweep, member_sweep, roster_sweep, spread_sweep},
};

/// Arguments of the measurement.
#[derive(Debug, clap::Args)]
pub(crate) struct CapacityArgs {
    /// Measurements at each size, of which the median is taken.
    #[arg(long, default_value_t = 9)]
    repeats: usize,
}

/// Failure domains at the design size.
const DOMAINS: f64 = 14.0;
/// Entries at the design size.
const ENTRIES: f64 = 360.0;
/// Agents at the design size.
const AGENTS: f64 = 1_200.0;
/// Client accounts at the design size.
const ACCOUNTS: f64 = 680.0;
/// Configuration changes a second at the design size (750 a day).
const CHANGES_PER_SECOND: f64 = 750.0 / 86_400.0;
/// Readings of the VM list a second by a watcher.
const LIST_READINGS_PER_SECOND: f64 = 1.0;
/// Changes of the fleet a second (28 failures and 290 restarts a day).
const FLEET_CHANGES_PER_SECOND: f64 = 318.0 / 86_400.0;

/// Runs the measurement and prints its table.
pub(crate) fn run(args: &CapacityArgs) {
    let members = member_sweep(args.repeats);
    let deltas = configuration_sweep(args.repeats);
    let rosters = roster_sweep(args.repeats);
    let offers = spread_sweep(args.repeats);
    let fleet = ENTRIES + AGENTS;
    let lines = [
        CapacityLine::new(
            "entry",
            "configuration in force",
            &deltas,
            ACCOUNTS,
            CHANGES_PER_SECOND,
        ),
        CapacityLine::new(
            "entry",
            "member table",
            &members,
            fleet,
            LIST_READINGS_PER_SECOND,
        ),
        CapacityLine::new(
            "entry",
            "watcher roster",
            &rosters,
            ENTRIES,
            FLEET_CHANGES_PER_SECOND,
        ),
        CapacityLine::new("entry", "revision offers", &offers, fleet / DOMAINS, 1.0),
        CapacityLine::new(
            "agent",
            "configuration in force",
            &deltas,
            ACCOUNTS,
            CHANGES_PER_SECOND,
        ),
    ];
    for sweep in [&members, &deltas, &rosters, &offers] {
        println!("{sweep}");
    }
    println!("{}", CapacityTable::new(&lines));
}
