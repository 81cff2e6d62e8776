//! Points in time on a process's monotonic clock, and spans between them.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use crate::conversion::impl_text_conversions;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MINUTE: u64 = 60 * MICROS_PER_SECOND;
const MICROS_PER_HOUR: u64 = 60 * MICROS_PER_MINUTE;

/// Units of the text format of a span, smallest first.
const SPAN_UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", MICROS_PER_MILLI),
    ("s", MICROS_PER_SECOND),
    ("m", MICROS_PER_MINUTE),
    ("h", MICROS_PER_HOUR),
];

/// the span `{0}` is not a number with one of the units us, ms, s, m, h
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct TimeSpanError(pub Arc<str>);

impl std::error::Error for TimeSpanError {}

/// A point on one process's monotonic clock, in microseconds since its origin.
///
/// Points of different processes must not be compared.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// Returns the span since an earlier point; zero if `earlier` is not earlier.
    #[must_use]
    pub const fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for TimePoint {
    type Output = Self;

    fn add(self, rhs: TimeSpan) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub<TimeSpan> for TimePoint {
    type Output = Self;

    fn sub(self, rhs: TimeSpan) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for TimePoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        TimeSpan(self.0).fmt(f)
    }
}

/// A span of time in microseconds, with text formats such as `250ms`, `5s` and `10m`.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct TimeSpan(pub u64);

impl TimeSpan {
    /// The empty span.
    pub const ZERO: Self = Self(0);

    /// Creates a span from whole milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * MICROS_PER_MILLI)
    }

    /// Creates a span from whole seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * MICROS_PER_SECOND)
    }

    /// Creates a span from fractional seconds; zero if the value is negative or not a number.
    #[must_use]
    pub fn from_secs_f64(seconds: f64) -> Self {
        Duration::try_from_secs_f64(seconds).map_or(Self::ZERO, Self::from)
    }

    /// Returns the span in seconds.
    #[must_use]
    pub const fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Returns the span as a [`Duration`].
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Subtracts another span; zero if the other is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for TimeSpan {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl From<Duration> for TimeSpan {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (suffix, unit) = SPAN_UNITS
            .iter()
            .rev()
            .find(|(_, unit)| self.0 >= *unit && self.0.is_multiple_of(*unit))
            .unwrap_or(&SPAN_UNITS[0]);
        write!(f, "{}{suffix}", self.0 / unit)
    }
}

impl FromStr for TimeSpan {
    type Err = TimeSpanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || TimeSpanError(text.into());
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let suffix = &text[digits.len()..];
        let number = digits.parse::<u64>().ok().ok_or_else(error)?;
        let (_, unit) = SPAN_UNITS
            .iter()
            .find(|(name, _)| *name == suffix)
            .ok_or_else(error)?;
        number.checked_mul(*unit).map(Self).ok_or_else(error)
    }
}

/// A span whose text format may contain a decimal point, such as `1.5s`.
///
/// Used by settings that a program fills in from another system's values. Settings written
/// by people use [`TimeSpan`], with whole numbers of a smaller unit.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct DecimalSpan(pub TimeSpan);

impl fmt::Display for DecimalSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for DecimalSpan {
    type Err = TimeSpanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let suffix = &text[digits.len()..];
        let Some((whole, fraction)) = digits.split_once('.') else {
            return text.parse().map(Self);
        };
        let error = || TimeSpanError(text.into());
        let span = format!("{whole}{suffix}").parse::<TimeSpan>()?;
        let unit = format!("1{suffix}").parse::<TimeSpan>()?;
        let is_number = !fraction.is_empty() && fraction.bytes().all(|it| it.is_ascii_digit());
        let part = is_number.then(|| format!("0.{fraction}").parse::<f64>().ok());
        let part = part.flatten().ok_or_else(error)?;
        let part = TimeSpan::from_secs_f64(unit.as_secs_f64() * part);
        Ok(Self(span + part))
    }
}

impl_text_conversions! {
    TimeSpan, TimeSpanError;
    DecimalSpan, TimeSpanError;
}
