//! Estimates the load of a backend server.

use celerycrank_types::{GroupId, TimePoint, TimeSpan};

/// Maximum age of a report; an older one says nothing about the current load.
const MAX_REPORT_AGE: TimeSpan = TimeSpan::from_millis(1_500);

/// An agent's report about its backend server.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Number of requests being processed.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Slowdown factor compared with normal operation.
    pub pace: f64,
    /// The lock-step group of which the backend server is a rank.
    pub group: Option<GroupId>,
    /// Whether its group accepts requests; true without a group.
    pub is_open: bool,
    /// Number of entries that subscribe to the agent's reports.
    pub entries: u32,
}

/// Requests that were sent and that have ended in some time.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RequestFlow {
    /// Number of requests sent.
    pub sent: u32,
    /// Number of requests that have ended.
    pub ended: u32,
}

impl RequestFlow {
    /// The requests of both times.
    const fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent.saturating_add(other.sent),
            ended: self.ended.saturating_add(other.ended),
        }
    }
}

/// What an entry knows of the load of a backend server beside its own requests in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecentLoad {
    /// Whether its lock-step group accepts requests.
    pub(crate) is_open: bool,
    /// Number of requests by the last report, or of this entry's requests without one.
    pub(crate) requests: u32,
    /// This entry's requests that the last report may not include.
    pub(crate) unreported: RequestFlow,
}

/// The load of a backend server, from an entry's own requests and from those of other entries.
#[derive(Debug, Default, Clone)]
pub struct LoadEstimate {
    /// Requests of this entry that are in flight.
    own: u32,
    /// The last report and the time at which it arrived.
    report: Option<(LoadReport, TimePoint)>,
    /// Requests of other entries at the time of the report.
    others: u32,
    /// This entry's requests between the previous report and the last one, which it may not include.
    before_report: RequestFlow,
    /// This entry's requests since the last report.
    since_report: RequestFlow,
    /// When a report last said that the group, which had been open, was closed.
    closed_at: Option<TimePoint>,
}

impl LoadEstimate {
    /// Records that this entry sent a request.
    pub fn begin(&mut self) {
        self.own += 1;
        self.since_report.sent = self.since_report.sent.saturating_add(1);
    }

    /// Records that a request of this entry has ended.
    pub fn finish(&mut self) {
        self.own = self.own.saturating_sub(1);
        self.since_report.ended = self.since_report.ended.saturating_add(1);
    }

    /// Returns the number of requests of this entry that are in flight.
    #[must_use]
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Updates the estimate with an agent's report.
    pub fn observe(&mut self, report: LoadReport, now: TimePoint) {
        self.others = (report.running.saturating_add(report.waiting)).saturating_sub(self.own);
        if self.was_open() && !report.is_open {
            self.closed_at = Some(now);
        }
        self.before_report = std::mem::take(&mut self.since_report);
        self.report = Some((report, now));
    }

    /// Returns the estimated number of requests of all entries.
    #[must_use]
    pub fn total(&self, now: TimePoint) -> u32 {
        let others = self.report(now).map_or(0, |_| self.others);
        self.own.saturating_add(others)
    }

    /// Returns the lock-step group by the last report, however old.
    #[must_use]
    pub fn group(&self) -> Option<&GroupId> {
        self.report.as_ref()?.0.group.as_ref()
    }

    /// Whether an agent has reported the load.
    pub(crate) const fn is_reported(&self) -> bool {
        self.report.is_some()
    }

    /// Whether the group accepted requests by the last report, however old.
    pub(crate) fn was_open(&self) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|(report, _)| report.is_open)
    }

    /// When a report last said that the group, which had been open, was closed.
    pub(crate) const fn closed_at(&self) -> Option<TimePoint> {
        self.closed_at
    }

    /// Returns the number of requests by the last report, or of this entry's requests without one.
    #[must_use]
    pub fn reported(&self, now: TimePoint) -> u32 {
        self.recent(now).requests
    }

    /// Returns this entry's requests that the last report may not include.
    ///
    /// A report is about as old when it arrives as the time between two reports. Without a report, the
    /// entry knows its own requests only, and none is unreported.
    #[must_use]
    pub fn unreported(&self, now: TimePoint) -> RequestFlow {
        self.recent(now).unreported
    }

    /// Returns the requests by the last report and those that it may not include.
    ///
    /// It reads the report once, since a choice with a load limit reads the load of every backend
    /// server twice.
    pub(crate) fn recent(&self, now: TimePoint) -> RecentLoad {
        let Some(report) = self.report(now) else {
            return RecentLoad {
                is_open: true,
                requests: self.own,
                unreported: RequestFlow::default(),
            };
        };
        RecentLoad {
            is_open: report.is_open,
            requests: report.running.saturating_add(report.waiting),
            unreported: self.before_report.plus(self.since_report),
        }
    }

    /// Returns the last report, unless it is too old.
    #[must_use]
    pub fn report(&self, now: TimePoint) -> Option<&LoadReport> {
        let (report, at) = self.report.as_ref()?;
        (now.since(*at) <= MAX_REPORT_AGE).then_some(report)
    }
}
