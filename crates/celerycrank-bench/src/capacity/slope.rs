//! Measured costs at increasing sizes, and linear fits through them.

use std::fmt;

/// Cost measured at one size.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ProbePoint {
    pub(super) size: f64,
    /// Processor time per operation, in microseconds.
    pub(super) cpu_micros: f64,
    /// Memory in use, in bytes.
    pub(super) memory_bytes: f64,
    /// Bytes sent or received per operation.
    pub(super) wire_bytes: f64,
}

/// A linear least-squares fit.
#[derive(Debug, Clone, Copy)]
pub(super) struct LinearFit {
    intercept: f64,
    slope: f64,
}

impl LinearFit {
    fn through(points: &[ProbePoint], value: impl Fn(&ProbePoint) -> f64) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(&value).sum::<f64>() / count;
        let size_variation = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum::<f64>();
        let covariation = points
            .iter()
            .map(|point| (point.size - mean_size) * (value(point) - mean_value))
            .sum::<f64>();
        let slope = if size_variation > 0.0 {
            covariation / size_variation
        } else {
            0.0
        };
        Self {
            intercept: mean_value - slope * mean_size,
            slope,
        }
    }

    /// Returns the fitted value at a size, clamped to zero from below.
    pub(super) fn at(self, size: f64) -> f64 {
        self.slope.mul_add(size, self.intercept).max(0.0)
    }
}

impl fmt::Display for LinearFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} + {:.5} x", self.intercept, self.slope)
    }
}

/// Measured points of one probe, with a linear fit for each kind of cost.
#[derive(Debug)]
pub(super) struct ProbeSweep {
    /// The measured operation, and what its size counts.
    pub(super) title: &'static str,
    /// Invariant: at least two sizes.
    points: Vec<ProbePoint>,
    /// Processor time per operation, in microseconds.
    pub(super) cpu: LinearFit,
    /// Memory in use, in bytes.
    pub(super) memory: LinearFit,
    /// Bytes sent or received per operation.
    pub(super) wire: LinearFit,
}

impl ProbeSweep {
    /// Fits each kind of cost to the points.
    pub(super) fn new(title: &'static str, points: Vec<ProbePoint>) -> Self {
        let cpu = LinearFit::through(&points, |point| point.cpu_micros);
        let memory = LinearFit::through(&points, |point| point.memory_bytes);
        let wire = LinearFit::through(&points, |point| point.wire_bytes);
        Self {
            title,
            points,
            cpu,
            memory,
            wire,
        }
    }
}

impl fmt::Display for ProbeSweep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "### {}\n", self.title)?;
        writeln!(
            f,
            "| size | processor time, us | memory, bytes | wire, bytes |"
        )?;
        writeln!(f, "|---:|---:|---:|---:|")?;
        for point in &self.points {
            let ProbePoint {
                size,
                cpu_micros,
                memory_bytes,
                wire_bytes,
            } = point;
            writeln!(
                f,
                "| {size} | {cpu_micros:.1} | {memory_bytes:.0} | {wire_bytes:.0} |"
            )?;
        }
        writeln!(
            f,
            "| line | {} | {} | {} |",
            self.cpu, self.memory, self.wire
        )
    }
}
