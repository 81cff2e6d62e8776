//! Overhead of the request path through entry and agent over direct requests to a stand-in.

mod load;
mod processes;
mod target;

use std::{net::SocketAddr, time::Duration};

use crate::path::{
    load::{LoadPlan, LoadReport, RequestShape, run_load},
    processes::PathProcesses,
};

/// Numbers of concurrent callers, one for each row of the table.
const CALLER_COUNTS: [usize; 3] = [1, 32, 256];

/// Number of concurrent streams in the lateness measurement.
const LATENESS_STREAMS: usize = 256;

/// Tokens per stream in the lateness measurement.
const LATENESS_TOKENS: usize = 500;

/// Interval between the tokens of a stream in the lateness measurement.
const LATENESS_PAUSE: Duration = Duration::from_millis(30);

/// Tokens per streamed answer in the table.
const SHORT_TOKENS: usize = 8;

/// Number of concurrent callers in the memory measurement.
const MEMORY_CALLERS: usize = 32;

/// Arguments of the `path` subcommand.
#[derive(Debug, clap::Args)]
pub(crate) struct PathArgs {
    /// Duration of the measurement for each row, in seconds.
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Number of threads that run the callers.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Number of requests in the memory measurement.
    #[arg(long, default_value_t = 100_000)]
    requests: usize,
    /// Run only this measurement.
    #[arg(long, value_enum)]
    only: Option<PathMeasurement>,
    /// Run as the stand-in backend server.
    #[arg(long, hide = true)]
    target: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum PathMeasurement {
    /// Throughput and latency of plain and streamed requests.
    Table,
    /// Delay of each token of long streams.
    Lateness,
    /// Resident memory as the number of requests grows.
    Memory,
}

/// Runs the selected measurements and prints their tables.
pub(crate) fn run(args: &PathArgs) {
    if args.target {
        target::serve();
        return;
    }
    let processes = PathProcesses::start();
    let is_selected = |part| args.only.is_none_or(|only| only == part);
    if is_selected(PathMeasurement::Table) {
        print_table(args, &processes);
    }
    if is_selected(PathMeasurement::Lateness) {
        print_lateness(args, &processes);
    }
    if is_selected(PathMeasurement::Memory) {
        print_memory(args, &processes);
    }
}

fn print_table(args: &PathArgs, processes: &PathProcesses) {
    println!(
        "shape     callers  path     requests/s   p50 us   p99 us  errors  \
         us/request: stand-in  agent  entry"
    );
    let streamed = RequestShape::Streamed {
        tokens: SHORT_TOKENS,
        pause: Duration::ZERO,
    };
    for shape in [RequestShape::Plain, streamed] {
        for callers in CALLER_COUNTS {
            let plan = LoadPlan {
                shape,
                callers,
                threads: args.threads,
                duration: Duration::from_secs(args.seconds),
                max_requests: usize::MAX,
            };
            let direct = measure_row(processes, processes.standin(), "direct", &plan);
            let through = measure_row(processes, processes.entry(), "through", &plan);
            println!(
                "{:<9} {callers:>7}  added    {:>9.2}x {:>8} {:>8}",
                shape.label(),
                through.rate() / direct.rate(),
                through.quantile(0.5).saturating_sub(direct.quantile(0.5)),
                through.quantile(0.99).saturating_sub(direct.quantile(0.99)),
            );
        }
    }
}

/// Measures requests to one address and prints its row.
fn measure_row(
    processes: &PathProcesses,
    address: SocketAddr,
    path: &str,
    plan: &LoadPlan,
) -> LoadReport {
    let before = processes.processor_micros();
    let report = run_load(address, plan);
    let after = processes.processor_micros();
    let requests = report.requests().max(1) as f64;
    let [standin, agent, entry] =
        std::array::from_fn(|index| (after[index] - before[index]) as f64 / requests);
    println!(
        "{:<9} {:>7}  {path:<8} {:>10.0} {:>8} {:>8}  {:>6}  {standin:>20.1} {agent:>6.1} {entry:>6.1}",
        plan.shape.label(),
        plan.callers,
        report.rate(),
        report.quantile(0.5),
        report.quantile(0.99),
        report.errors,
    );
    report
}

/// Prints how late tokens arrive after the stand-in has written them.
fn print_lateness(args: &PathArgs, processes: &PathProcesses) {
    println!("lateness of tokens: {LATENESS_STREAMS} streams of {LATENESS_TOKENS} tokens");
    println!("path      tokens   p50 us   p99 us   max us  errors");
    let plan = LoadPlan {
        shape: RequestShape::Streamed {
            tokens: LATENESS_TOKENS,
            pause: LATENESS_PAUSE,
        },
        callers: LATENESS_STREAMS,
        threads: args.threads,
        duration: Duration::MAX,
        max_requests: LATENESS_STREAMS,
    };
    for (path, address) in [
        ("direct", processes.standin()),
        ("through", processes.entry()),
    ] {
        let report = run_load(address, &plan);
        println!(
            "{path:<8} {:>7} {:>8} {:>8} {:>8}  {:>6}",
            report.lateness.len(),
            report.lateness.value_at_quantile(0.5),
            report.lateness.value_at_quantile(0.99),
            report.lateness.max(),
            report.errors,
        );
    }
}

/// Prints the resident memory of entry and agent as the number of requests grows.
fn print_memory(args: &PathArgs, processes: &PathProcesses) {
    println!("requests  entry KiB  agent KiB  errors");
    let step = args.requests / 5;
    let mut errors = 0;
    for round in 0..=5 {
        println!(
            "{:>8} {:>10} {:>10}  {errors:>6}",
            round * step,
            processes.entry_resident_kib(),
            processes.agent_resident_kib(),
        );
        let plan = LoadPlan {
            shape: RequestShape::Plain,
            callers: MEMORY_CALLERS,
            threads: args.threads,
            duration: Duration::MAX,
            max_requests: step,
        };
        if round < 5 {
            errors += run_load(processes.entry(), &plan).errors;
        }
    }
}
