//! Sizes, counts, rates and weights, each with its text format.

use std::{
    fmt,
    ops::{Add, AddAssign},
    str::FromStr,
    sync::Arc,
};

use crate::conversion::impl_text_conversions;

const BYTES_PER_KIB: u64 = 1 << 10;
const BYTES_PER_MIB: u64 = 1 << 20;
const BYTES_PER_GIB: u64 = 1 << 30;

/// Units of the text format of a size, longest suffix first, since `B` is a suffix of the others.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", BYTES_PER_GIB),
    ("MiB", BYTES_PER_MIB),
    ("KiB", BYTES_PER_KIB),
    ("B", 1),
];

/// Why a string is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum UnitError {
    /// the size `{0}` is not a number with one of the units B, KiB, MiB, GiB
    Size(Arc<str>),
    /// the rate `{0}` is not a number of tokens followed by `/s`
    Rate(Arc<str>),
    /// `{0}` is not a whole number
    Count(Arc<str>),
    /// `{0}` is not a number of zero or more
    Fraction(Arc<str>),
    /// a share must be above 0
    Share,
}

impl std::error::Error for UnitError {}

/// A number of bytes, with the text format `64KiB`.
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
pub struct ByteSize(pub u64);

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (suffix, unit) = SIZE_UNITS
            .iter()
            .find(|(_, unit)| self.0 >= *unit && self.0.is_multiple_of(*unit))
            .unwrap_or(&SIZE_UNITS[3]);
        write!(f, "{}{suffix}", self.0 / unit)
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || UnitError::Size(text.into());
        let (suffix, unit) = SIZE_UNITS
            .iter()
            .find(|(suffix, _)| text.ends_with(suffix))
            .ok_or_else(error)?;
        let digits = &text[..text.len() - suffix.len()];
        let number = digits.parse::<u64>().ok().ok_or_else(error)?;
        number.checked_mul(*unit).map(Self).ok_or_else(error)
    }
}

/// A number of tokens, the unit in which work is measured.
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
pub struct TokenCount(pub u64);

impl Add for TokenCount {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for TokenCount {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TokenCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .ok()
            .ok_or_else(|| UnitError::Count(text.into()))
    }
}

/// Tokens per second, with the text format `1200/s`.
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
pub struct TokenRate(pub u64);

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for TokenRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || UnitError::Rate(text.into());
        let digits = text.strip_suffix("/s").ok_or_else(error)?;
        digits.parse().map(Self).ok().ok_or_else(error)
    }
}

/// The bandwidth of a link in kilobits per second, with the text format `6Mbit/s` or `0.5Mbit/s`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct LinkRate(pub u64);

impl LinkRate {
    /// The number of bytes that the link carries in a second.
    #[must_use]
    pub const fn bytes_per_second(self) -> u64 {
        self.0.saturating_mul(1_000 / 8)
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0 / 1_000)?;
        let rest = self.0 % 1_000;
        if rest > 0 {
            let digits = format!("{rest:03}");
            write!(f, ".{}", digits.trim_end_matches('0'))?;
        }
        f.write_str("Mbit/s")
    }
}

impl FromStr for LinkRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || UnitError::Rate(text.into());
        let digits = text.strip_suffix("Mbit/s").ok_or_else(error)?;
        let (whole, part) = digits.split_once('.').unwrap_or((digits, "0"));
        let is_number = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
        if whole.is_empty() || part.is_empty() || !is_number(whole) || !is_number(part) {
            return Err(error());
        }
        let part = format!("{part:0<3.3}");
        let rate = whole.parse::<u64>().ok().and_then(|whole| {
            let part = part.parse::<u64>().ok()?;
            whole.checked_mul(1_000)?.checked_add(part)
        });
        let rate = rate.filter(|rate| *rate > 0);
        rate.map(Self).ok_or_else(error)
    }
}

/// A rate of requests, with the text format `2.5/s`.
///
/// Invariant: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate of this many requests per second; `None` if it is negative or not finite.
    #[must_use]
    pub fn from_per_second(number: f64) -> Option<Self> {
        (number.is_finite() && number >= 0.0).then_some(Self(number))
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").and_then(|text| text.parse().ok());
        number
            .and_then(Self::from_per_second)
            .ok_or_else(|| UnitError::Rate(text.into()))
    }
}

/// A plan's weight in the division of contended capacity, relative to other plans.
///
/// Invariant: positive.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "u32", into = "u32")]
pub struct ShareWeight(u32);

impl ShareWeight {
    /// A weight of 1.
    pub const ONE: Self = Self(1);

    /// Returns the weight as a positive number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl TryFrom<u32> for ShareWeight {
    type Error = UnitError;

    fn try_from(weight: u32) -> Result<Self, Self::Error> {
        if weight == 0 {
            Err(UnitError::Share)
        } else {
            Ok(Self(weight))
        }
    }
}

impl From<ShareWeight> for u32 {
    fn from(weight: ShareWeight) -> Self {
        weight.0
    }
}

impl fmt::Display for ShareWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ShareWeight {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let weight = text
            .parse::<u32>()
            .ok()
            .ok_or_else(|| UnitError::Count(text.into()))?;
        Self::try_from(weight)
    }
}

/// A ratio or another non-negative real number, with the text format `0.2`.
///
/// Invariant: finite and not negative.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct Fraction(f64);

impl Fraction {
    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Fraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Fraction {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse::<f64>().ok();
        let number = number.filter(|number| number.is_finite() && *number >= 0.0);
        number
            .map(Self)
            .ok_or_else(|| UnitError::Fraction(text.into()))
    }
}

impl_text_conversions! {
    ByteSize, UnitError;
    TokenRate, UnitError;
    LinkRate, UnitError;
    RequestRate, UnitError;
    Fraction, UnitError;
}
