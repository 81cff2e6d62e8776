//! Counts crashes, and those of many backend servers at the same time as one occasion.

use celerycrank_types::{TimePoint, TimeSpan};

use crate::crash_collector::MAX_SIMULTANEOUS_CRASHES;

/// Time within which the crashes of more backend servers than crash at the same time by chance are
/// one occasion.
///
/// Connections to backend servers that fail together break within this time, and the reports of
/// other entries arrive.
const OCCASION_SPAN: TimeSpan = TimeSpan::from_secs(1);

/// Counts the occasions on which backend servers crashed.
///
/// A failure of many at once has a cause in common. It may be outside the prompts, and says no more
/// about a part that has been answered before than one crash does.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct OccasionCount {
    /// Number of occasions in earlier windows.
    earlier: u32,
    /// When the current window began.
    since: TimePoint,
    /// Number of crashes in the current window.
    crashes: u32,
}

impl OccasionCount {
    /// Counts a crash, which is not earlier than those before.
    pub(crate) fn add(&mut self, at: TimePoint) {
        if self.crashes == 0 || at.since(self.since) > OCCASION_SPAN {
            self.earlier = self.total();
            self.since = at;
            self.crashes = 0;
        }
        self.crashes += 1;
    }

    /// Number of occasions so far.
    pub(crate) const fn total(&self) -> u32 {
        let is_joint = self.crashes > MAX_SIMULTANEOUS_CRASHES;
        self.earlier + if is_joint { 1 } else { self.crashes }
    }
}

/// Counts the crashes that are separate from one another.
///
/// Of those on one occasion that an entry saw together with many others, only as many count as crash at
/// the same time by chance. All others count.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct SeparateCount {
    /// Number of crashes that do not belong to the current occasion.
    separate: u32,
    /// When the current occasion began.
    since: TimePoint,
    /// Number of joint crashes on the current occasion.
    joint: u32,
}

impl SeparateCount {
    /// Counts a crash, which is not earlier than those before.
    pub(crate) fn add(&mut self, at: TimePoint, is_joint: bool) {
        if !is_joint {
            self.separate += 1;
            return;
        }
        if self.joint == 0 || at.since(self.since) > OCCASION_SPAN {
            self.separate = self.total();
            self.since = at;
            self.joint = 0;
        }
        self.joint += 1;
    }

    /// Number of crashes so far.
    pub(crate) const fn total(&self) -> u32 {
        let is_capped = self.joint > MAX_SIMULTANEOUS_CRASHES;
        let joint = if is_capped {
            MAX_SIMULTANEOUS_CRASHES
        } else {
            self.joint
        };
        self.separate + joint
    }
}
