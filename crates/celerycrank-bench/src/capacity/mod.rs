//! Cost of each mechanism by size, compared with the budgets of `docs/CAPACITY.md`.
//!
//! Each probe runs one mechanism at increasing sizes and measures processor time, memory
//! and network bytes. A linear fit through the points estimates the cost at the design size.

mod budget;
mod probe;
mod slope;

use crate::capacity::{
    budget::{CapacityLine, CapacityTable},
    probe::{
        assignments_sweep, configuration_sweep, ledger_sweep, link_sweep, list_sweep, member_sweep,
        offer_schedule_sweep, queue_sweep, router_sweep,
    },
};

/// Arguments of the `capacity` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct CapacityArgs {
    /// Number of measurements at each size; the median is reported.
    #[arg(long, default_value_t = 9)]
    repeats: usize,
}

/// Number of failure domains at the design size.
const DOMAINS: f64 = 14.0;
/// Number of entries at the design size.
const ENTRIES: f64 = 360.0;
/// Number of agents at the design size.
const AGENTS: f64 = 1_200.0;
/// Number of client accounts at the design size.
const ACCOUNTS: f64 = 680.0;
/// Configuration changes per second at the design size (750 per day).
const CHANGES_PER_SECOND: f64 = 750.0 / 86_400.0;
/// VM list events per second: each of the 318 failures and restarts per day marks one VM
/// as leaving, removes one and adds one.
const VM_LIST_EVENTS_PER_SECOND: f64 = 3.0 * 318.0 / 86_400.0;
/// Times per second that an entry applies the latest snapshot of the VM list.
const LIST_READS_PER_SECOND: f64 = 1.0;
/// Number of regions at the design size; requests stay within their region.
const REGIONS: f64 = 6.0;
/// Number of watchers per failure domain.
const WATCHERS: f64 = 3.0;

/// Requests per second at peak load.
const REQUESTS_PER_SECOND: f64 = 4_500.0;
/// Seconds for which an agent remembers a finished attempt.
const RETENTION_SECONDS: f64 = 60.0;
/// Seconds between two offers from a watcher to the same peer.
const OFFER_SECONDS: f64 = 3.0;

/// Runs all probes and prints their points and the cost table.
pub(crate) fn run(args: &CapacityArgs) {
    let members = member_sweep(args.repeats);
    let lists = list_sweep(args.repeats);
    let changes = configuration_sweep(args.repeats);
    let watchers = assignments_sweep(args.repeats);
    let plans = offer_schedule_sweep(args.repeats);
    let offers = link_sweep(args.repeats);
    let routes = router_sweep(args.repeats);
    let queues = queue_sweep(args.repeats);
    let ledgers = ledger_sweep(args.repeats);
    let vms = ENTRIES + AGENTS;
    let (peers, region_agents) = (vms / DOMAINS, AGENTS / REGIONS);
    let (entry_rate, agent_rate) = (REQUESTS_PER_SECOND / ENTRIES, REQUESTS_PER_SECOND / AGENTS);
    let line = CapacityLine::new;
    let lines = [
        line(
            "entry",
            "configuration in force",
            &changes,
            ACCOUNTS,
            CHANGES_PER_SECOND,
        ),
        line(
            "entry",
            "member table",
            &members,
            vms,
            LIST_READS_PER_SECOND,
        ),
        line(
            "entry",
            "changes of the VM list",
            &lists,
            vms,
            VM_LIST_EVENTS_PER_SECOND,
        ),
        line(
            "entry",
            "watcher roster",
            &watchers,
            ENTRIES,
            LIST_READS_PER_SECOND,
        ),
        line("entry", "plan of revision offers", &plans, peers, 1.0),
        line(
            "entry",
            "offers over connections",
            &offers,
            peers,
            1.0 / OFFER_SECONDS,
        ),
        line(
            "entry",
            "connections to agents",
            &offers,
            region_agents,
            0.0,
        ),
        line("entry", "router", &routes, AGENTS, entry_rate),
        line(
            "agent",
            "configuration in force",
            &changes,
            ACCOUNTS,
            CHANGES_PER_SECOND,
        ),
        line(
            "agent",
            "offers answered",
            &offers,
            WATCHERS,
            1.0 / OFFER_SECONDS,
        ),
        line(
            "agent",
            "connections of entries",
            &offers,
            ENTRIES / REGIONS,
            0.0,
        ),
        line("agent", "fair queue", &queues, ACCOUNTS, agent_rate),
        line(
            "agent",
            "start ledger",
            &ledgers,
            agent_rate * RETENTION_SECONDS,
            agent_rate,
        ),
    ];
    let sweeps = [
        &members, &lists, &changes, &watchers, &plans, &offers, &routes, &queues, &ledgers,
    ];
    for sweep in sweeps {
        println!("{sweep}");
    }
    println!("{}", CapacityTable::new(&lines));
}
