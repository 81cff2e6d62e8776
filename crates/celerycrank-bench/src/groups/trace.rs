//! Seeded traces of expert loads.

use celerycrank_groups::{LoadTable, MapShape};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Rows of a trace per day; a row covers one minute.
const MINUTES_PER_DAY: usize = 24 * 60;
/// Standard deviation of the logarithm of popularity among experts.
const POPULARITY_SPREAD: f64 = 0.7;
/// Popularity of a hot expert, as a multiple of the mean.
const HOT_FACTOR: f64 = 8.0;
/// Tokens of a group per minute during the day.
const DAY_TOKENS: f64 = 200_000.0;
/// Token rate in a calm night, as a fraction of the rate during the day.
const NIGHT_FRACTION: f64 = 0.03;

/// How expert popularity changes over a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum TraceKind {
    /// Popularity drifts over hours.
    SlowDrift,
    /// One expert of each layer becomes hot and remains hot.
    SuddenHot,
    /// One expert of each layer is hot for a few minutes, six times a day.
    PassingHot,
    /// Popularity alternates between two distributions at 06:00 and 18:00.
    DailyShift,
    /// Few tokens arrive at night, which makes the observed loads noisy.
    CalmNight,
}

impl TraceKind {
    pub(crate) const ALL: [Self; 5] = [
        Self::SlowDrift,
        Self::SuddenHot,
        Self::PassingHot,
        Self::DailyShift,
        Self::CalmNight,
    ];

    /// Returns the name shown in tables.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::SlowDrift => "slow drift",
            Self::SuddenHot => "sudden hot",
            Self::PassingHot => "passing hot",
            Self::DailyShift => "daily shift",
            Self::CalmNight => "calm night",
        }
    }

    /// Length of the trace, in days.
    const fn days(self) -> usize {
        match self {
            Self::DailyShift => 3,
            _ => 1,
        }
    }
}

/// Expert loads for each minute.
#[derive(Debug)]
pub(crate) struct LoadTrace {
    pub(crate) shape: MapShape,
    /// Expected loads, without noise.
    pub(crate) expected: Vec<LoadTable>,
    /// Actual loads, with the sampling noise of a finite number of tokens.
    pub(crate) actual: Vec<LoadTable>,
}

impl LoadTrace {
    /// Generates a trace of the given kind.
    pub(crate) fn new(kind: TraceKind, shape: MapShape, rng: &mut ChaCha8Rng) -> Self {
        let layers = usize::from(shape.layers);
        let mut popularities = (0..layers)
            .map(|_| LayerPopularity::new(shape, rng))
            .collect::<Vec<_>>();
        let mut trace = Self {
            shape,
            expected: Vec::new(),
            actual: Vec::new(),
        };
        for minute in 0..kind.days() * MINUTES_PER_DAY {
            let mut expected = LoadTable::new(shape);
            let mut actual = LoadTable::new(shape);
            let tokens = DAY_TOKENS * volume_factor(kind, minute);
            for (layer, popularity) in popularities.iter_mut().enumerate() {
                let loads = popularity.loads(kind, minute, rng);
                for (expert, load) in loads.iter().enumerate() {
                    let count = load * tokens;
                    expected.layer_mut(layer)[expert] = count;
                    actual.layer_mut(layer)[expert] =
                        (count + standard_normal(rng) * count.sqrt()).max(0.0);
                }
            }
            trace.expected.push(expected);
            trace.actual.push(actual);
        }
        trace
    }
}

/// Popularity of the experts of one layer.
#[derive(Debug)]
struct LayerPopularity {
    day_log_popularity: Vec<f64>,
    night_log_popularity: Vec<f64>,
    hot_expert: usize,
}

impl LayerPopularity {
    fn new(shape: MapShape, rng: &mut ChaCha8Rng) -> Self {
        let experts = usize::from(shape.experts);
        let mut random_log_popularity = || {
            (0..experts)
                .map(|_| standard_normal(rng) * POPULARITY_SPREAD)
                .collect()
        };
        let (day_log_popularity, night_log_popularity) =
            (random_log_popularity(), random_log_popularity());
        Self {
            day_log_popularity,
            night_log_popularity,
            hot_expert: rng.random_range(0..experts),
        }
    }

    fn loads(&mut self, kind: TraceKind, minute: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
        if kind == TraceKind::SlowDrift {
            self.drift(rng);
        }
        let hour = minute / 60 % 24;
        let is_day = kind != TraceKind::DailyShift || (6..18).contains(&hour);
        let log_popularity = if is_day {
            &self.day_log_popularity
        } else {
            &self.night_log_popularity
        };
        let mut loads = log_popularity
            .iter()
            .map(|log| log.exp())
            .collect::<Vec<_>>();
        if is_hot(kind, minute) {
            let mean = loads.iter().sum::<f64>() / loads.len() as f64;
            loads[self.hot_expert] = mean * HOT_FACTOR;
        }
        let sum = loads.iter().sum::<f64>();
        for load in &mut loads {
            *load /= sum;
        }
        loads
    }

    /// Advances the log popularity by one minute, as an Ornstein-Uhlenbeck process with a
    /// constant standard deviation and a time constant of six hours.
    fn drift(&mut self, rng: &mut ChaCha8Rng) {
        let reversion = 1.0 / 360.0;
        let diffusion = POPULARITY_SPREAD * (2.0_f64 * reversion).sqrt();
        for log in &mut self.day_log_popularity {
            *log += diffusion * standard_normal(rng) - reversion * *log;
        }
    }
}

fn is_hot(kind: TraceKind, minute: usize) -> bool {
    match kind {
        TraceKind::SuddenHot => minute >= 8 * 60,
        TraceKind::PassingHot => minute % 240 >= 120 && minute % 240 < 124,
        _ => false,
    }
}

fn volume_factor(kind: TraceKind, minute: usize) -> f64 {
    let hour = minute / 60 % 24;
    let is_night = !(6..22).contains(&hour);
    match (kind, is_night) {
        (TraceKind::CalmNight, true) => NIGHT_FRACTION,
        _ => 1.0,
    }
}

/// Samples the standard normal distribution, approximated by the sum of twelve uniform samples.
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}
