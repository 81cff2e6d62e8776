//! Wall-clock times in arguments and output of commands; no decision depends on them.

use std::{
    fmt,
    str::FromStr,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use celerycrank_types::TimeSpan;

const SECONDS_PER_DAY: u64 = 86_400;
const MICROS_PER_SECOND: u64 = 1_000_000;
const DAYS_PER_ERA: u64 = 146_097;
const DAYS_TO_EPOCH: u64 = 719_468;

/// `{0}` is not a time: write `now`, `+10m` or `2026-12-04T22:00:00Z`
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub(crate) struct StopTimeError(Arc<str>);

impl std::error::Error for StopTimeError {}

/// Start of a stop, as given on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopTime {
    /// This long after now.
    After(TimeSpan),
    /// At this Unix time in seconds.
    At(u64),
}

impl StopTime {
    /// The Unix time in seconds at which the stop begins.
    pub(crate) const fn seconds(self, now: u64) -> u64 {
        match self {
            Self::After(span) => now + span.0 / MICROS_PER_SECOND,
            Self::At(seconds) => seconds,
        }
    }
}

impl FromStr for StopTime {
    type Err = StopTimeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || StopTimeError(text.into());
        if text == "now" {
            return Ok(Self::After(TimeSpan::ZERO));
        }
        if let Some(span) = text.strip_prefix('+') {
            return span.parse().map(Self::After).ok().ok_or_else(error);
        }
        parse_utc(text).map(Self::At).ok_or_else(error)
    }
}

/// A Unix time in seconds, displayed as a date and time in UTC.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UtcTime(pub(crate) u64);

impl UtcTime {
    pub(crate) fn now() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        Self(elapsed.map_or(0, |elapsed| elapsed.as_secs()))
    }
}

impl fmt::Display for UtcTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = civil_date(self.0 / SECONDS_PER_DAY);
        let second = self.0 % SECONDS_PER_DAY;
        let (hour, minute) = (second / 3_600, second / 60 % 60);
        let second = second % 60;
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z"
        )
    }
}

/// Converts a number of days since 1970-01-01 to a date.
///
/// Counts in years that begin in March, so that a leap day is the last day of its year.
const fn civil_date(days: u64) -> (u64, u64, u64) {
    let shifted = days + DAYS_TO_EPOCH;
    let era = shifted / DAYS_PER_ERA;
    let day_of_era = shifted % DAYS_PER_ERA;
    let year = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year_carry = if month <= 2 { 1 } else { 0 };
    (year + era * 400 + year_carry, month, day)
}

/// Converts a date to the number of days since 1970-01-01; `None` for earlier dates.
const fn days_since_epoch(year: u64, month: u64, day: u64) -> Option<u64> {
    let year = if month <= 2 { year - 1 } else { year };
    let day_of_era = year % 400;
    let march_month = (month + 9) % 12;
    let day_of_year = (153 * march_month + 2) / 5 + day - 1;
    let days = day_of_era * 365 + day_of_era / 4 - day_of_era / 100 + day_of_year;
    (year / 400 * DAYS_PER_ERA + days).checked_sub(DAYS_TO_EPOCH)
}

fn parse_utc(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let [year, month, day] = parse_parts(date, '-')?;
    let [hour, minute, second] = parse_parts(time, ':')?;
    let in_range = (1970..=9_999).contains(&year) && (1..=12).contains(&month);
    if !in_range || !(1..=31).contains(&day) || hour > 23 || minute > 59 || second > 59 {
        return None;
    }
    let days = days_since_epoch(year, month, day)?;
    // A day that the month does not have, such as 30 February, converts back to another date.
    let exists = civil_date(days) == (year, month, day);
    exists.then_some(days * SECONDS_PER_DAY + hour * 3_600 + minute * 60 + second)
}

fn parse_parts(text: &str, separator: char) -> Option<[u64; 3]> {
    let parts = text.split(separator).map(|part| part.parse().ok());
    parts.collect::<Option<Vec<_>>>()?.try_into().ok()
}
