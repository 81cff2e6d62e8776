//! Estimated costs at the design size compared with the budget of one node.

use std::{collections::BTreeMap, fmt};

use crate::capacity::slope::ProbeSweep;

/// Budget of control-plane processor time per node, in percent of one core.
const MAX_CPU_PERCENT: f64 = 2.2;
/// Budget of control-plane memory per node, in bytes.
const MAX_MEMORY_BYTES: f64 = 256e6;
/// Budget of control-plane traffic per node, in bytes per second.
const MAX_WIRE_BYTES_PER_SECOND: f64 = 18e3;
/// Processor time, in microseconds per second, that equals one percent of a core.
const MICROS_PER_PERCENT: f64 = 10_000.0;

/// Cost of one mechanism on one node at the design size.
#[derive(Debug, Clone)]
pub(super) struct CapacityLine {
    role: &'static str,
    mechanism: &'static str,
    size: f64,
    per_second: f64,
    cost: NodeCost,
}

impl CapacityLine {
    /// Estimates the cost of running a probe's operation `per_second` times per second at `size`.
    pub(super) fn new(
        role: &'static str,
        mechanism: &'static str,
        sweep: &ProbeSweep,
        size: f64,
        per_second: f64,
    ) -> Self {
        let cost = NodeCost {
            cpu_percent: sweep.cpu.at(size) * per_second / MICROS_PER_PERCENT,
            memory_bytes: sweep.memory.at(size),
            wire_bytes: sweep.wire.at(size) * per_second,
        };
        Self {
            role,
            mechanism,
            size,
            per_second,
            cost,
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct NodeCost {
    cpu_percent: f64,
    memory_bytes: f64,
    wire_bytes: f64,
}

impl NodeCost {
    fn add(&mut self, other: Self) {
        self.cpu_percent += other.cpu_percent;
        self.memory_bytes += other.memory_bytes;
        self.wire_bytes += other.wire_bytes;
    }

    fn within_budget(self) -> bool {
        self.cpu_percent <= MAX_CPU_PERCENT
            && self.memory_bytes <= MAX_MEMORY_BYTES
            && self.wire_bytes <= MAX_WIRE_BYTES_PER_SECOND
    }
}

impl fmt::Display for NodeCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            cpu_percent,
            memory_bytes,
            wire_bytes,
        } = self;
        write!(
            f,
            "{cpu_percent:.4} | {:.3} | {wire_bytes:.0}",
            memory_bytes / 1e6
        )
    }
}

/// Table of all lines, with a total for each role.
#[derive(Debug)]
pub(super) struct CapacityTable<'lines> {
    lines: &'lines [CapacityLine],
}

impl<'lines> CapacityTable<'lines> {
    pub(super) const fn new(lines: &'lines [CapacityLine]) -> Self {
        Self { lines }
    }
}

impl fmt::Display for CapacityTable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| role | mechanism | size | times a second | % of a core | MB | bytes a second | verdict |"
        )?;
        writeln!(f, "|---|---|---:|---:|---:|---:|---:|---|")?;
        let mut sums = BTreeMap::<&str, NodeCost>::new();
        for line in self.lines {
            let CapacityLine {
                role,
                mechanism,
                size,
                per_second,
                cost,
            } = line;
            let verdict = verdict(*cost);
            writeln!(
                f,
                "| {role} | {mechanism} | {size:.0} | {per_second:.4} | {cost} | {verdict} |"
            )?;
            sums.entry(role).or_default().add(*cost);
        }
        for (role, cost) in sums {
            writeln!(
                f,
                "| **{role}** | **sum** | | | {cost} | {} |",
                verdict(cost)
            )?;
        }
        writeln!(
            f,
            "| | budget | | | {MAX_CPU_PERCENT} | {} | {MAX_WIRE_BYTES_PER_SECOND} | |",
            MAX_MEMORY_BYTES / 1e6
        )
    }
}

fn verdict(cost: NodeCost) -> &'static str {
    if cost.within_budget() {
        "within"
    } else {
        "**missed**"
    }
}
