//! What is known of a backend server's load.

use celerycrank_types::{GroupId, TimePoint, TimeSpan};

/// Age beyond which a report says nothing about the present load.
const MAX_REPORT_AGE: TimeSpan = TimeSpan::from_millis(1_500);

/// What an agent reports of the backend server beside it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Requests that are being worked on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How many times slower than usual it works.
    pub pace: f64,
    /// The lock-step group of which it is a rank.
    pub group: Option<GroupId>,
    /// Whether its group takes work.
    pub is_open: bool,
}

/// The load of one backend server: an entry's own requests, and those of the others.
#[derive(Debug, Default, Clone)]
pub struct LoadEstimate {
    own: u32,
    report: Option<(LoadReport, TimePoint)>,
    /// Requests of other entries at the time of the report.
    others: u32,
}

impl LoadEstimate {
    /// Notes that a request of this entry was sent there.
    pub fn begin(&mut self) {
        self.own += 1;
    }

    /// Notes that a request of this entry has ended there.
    pub fn finish(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// This entry's own requests.
    #[must_use]
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Takes an agent's report.
    pub fn observe(&mut self, report: LoadReport, now: TimePoint) {
        self.others = (report.running + report.waiting).saturating_sub(self.own);
        self.report = Some((report, now));
    }

    /// Requests there now, of all entries.
    #[must_use]
    pub fn total(&self, now: TimePoint) -> u32 {
        self.own + self.report(now).map_or(0, |_| self.others)
    }

    /// The last report, unless it is too old.
    #[must_use]
    pub fn report(&self, now: TimePoint) -> Option<&LoadReport> {
        let (report, at) = self.report.as_ref()?;
        (now.since(*at) <= MAX_REPORT_AGE).then_some(report)
    }
}
