//! Tracks how often lock-step groups close, so that an unstable group is used last.
//!
//! The load pattern: one rank of a group restarts again and again. Each time all ranks of the group
//! stall, drop the requests that they hold and open again a moment later. What is sent to the group
//! in between is lost or late, although another group has room for the most urgent part of it.
//!
//! A group that closes for the second time within seconds is unstable until it has stayed open for a
//! while. An entry recognizes a closure by the load reports of the ranks, and by its own requests
//! that fail at several ranks at about the same time, which also holds while reports are lost.

use std::collections::HashMap;

use celerycrank_types::{BackendId, GroupId, ServiceId, TimePoint, TimeSpan};

/// Maximum time between the end of a closure and the next one for the group to be unstable.
const REPEAT_SPAN: TimeSpan = TimeSpan::from_secs(8);

/// Time for which a group must stay open after its second closure to be stable again.
const INITIAL_OPEN_SPAN: TimeSpan = TimeSpan::from_millis(1_500);

/// Maximum time for which an unstable group must stay open to be stable again.
const MAX_OPEN_SPAN: TimeSpan = TimeSpan::from_millis(6_000);

/// Minimum time between the beginnings of two closures.
///
/// Ranks report one closure at slightly different times.
const MIN_CLOSURE_INTERVAL: TimeSpan = TimeSpan::from_millis(700);

/// Time without evidence of a closure after which a report of a rank that has not taken part in it
/// shows another one.
///
/// A rank reports a change after up to 300 ms; if the datagram is lost, after 600 ms more.
const REPORT_GAP: TimeSpan = TimeSpan::from_millis(300);

/// Time between the first and a further report of a closed group from which it has closed.
///
/// While its ranks switch their expert map, a group may be in another state for a moment. Ranks report a
/// closure of 600 ms over 200 to 300 ms, and again if their load changes.
const MIN_CLOSED_SPAN: TimeSpan = TimeSpan::from_millis(200);

/// Time without evidence of a closure after which failed requests show another one.
const FAILURE_GAP: TimeSpan = TimeSpan::from_millis(700);

/// Maximum time between failures at two ranks that have the closure of their group as a cause.
const FAILURE_SPAN: TimeSpan = TimeSpan::from_millis(500);

/// Time after which a group is forgotten of which no rank reports.
const RETENTION: TimeSpan = TimeSpan::from_secs(30);

/// Maximum number of groups that are tracked for one service.
const MAX_GROUPS: usize = 1_024;

/// A group that has become unstable, or stable again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StabilityChange {
    /// The service of the group.
    pub service: ServiceId,
    /// The group.
    pub group: GroupId,
    /// Whether it is unstable now.
    pub is_unstable: bool,
    /// Number of closures since it was last open for long.
    pub closures: u32,
}

/// The report of one rank about its group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RankNotice {
    /// Whether the group accepts requests.
    pub(crate) is_open: bool,
    /// Whether the group accepted requests by the previous report of the rank.
    pub(crate) was_open: bool,
    /// When the rank last reported that the group, which had been open, was closed.
    pub(crate) closed_before: Option<TimePoint>,
}

/// Records the closures of lock-step groups.
#[derive(Debug, Default)]
pub(crate) struct GroupStability {
    services: HashMap<ServiceId, HashMap<GroupId, GroupRecord>>,
}

impl GroupStability {
    /// Records a load report of a rank; returns whether the group closed just now.
    pub(crate) fn note_report(
        &mut self,
        service: &ServiceId,
        group: &GroupId,
        notice: RankNotice,
        now: TimePoint,
    ) -> bool {
        let record = self.record_mut(service, group, now);
        if notice.is_open {
            if !notice.was_open {
                record.suspected_at = None;
            }
            return false;
        }
        if let Some(began) = record.suspected_at(now) {
            let is_confirmed = now.since(began) >= MIN_CLOSED_SPAN;
            if is_confirmed {
                record.note_closure(began, now);
            }
            return is_confirmed;
        }
        // A group that has not been open is forming.
        let has_just_closed = notice.was_open;
        let is_next = record.closure.as_ref().is_none_or(|closure| {
            let has_rank_reopened = notice.closed_before.is_some_and(|at| at >= closure.began);
            let is_separate = has_rank_reopened || now.since(closure.last_seen) >= REPORT_GAP;
            is_separate && closure.may_repeat(now)
        });
        record.suspected_at = (has_just_closed && is_next).then_some(now);
        if record.suspected_at.is_none()
            && let Some(closure) = &mut record.closure
        {
            closure.last_seen = now;
        }
        false
    }

    /// Records that a request failed at a rank as it does when the group closes; returns whether
    /// the failure shows a closure.
    pub(crate) fn note_failure(
        &mut self,
        service: &ServiceId,
        group: &GroupId,
        rank: &BackendId,
        now: TimePoint,
    ) -> bool {
        let record = self.record_mut(service, group, now);
        // The failure of a single rank does not show that the others are affected.
        let is_shared = record
            .failed
            .as_ref()
            .is_some_and(|(other, at)| other != rank && now.since(*at) <= FAILURE_SPAN);
        record.failed = Some((rank.clone(), now));
        if !is_shared {
            return false;
        }
        let suspected_at = record.suspected_at(now);
        let is_next = record.closure.as_ref().is_none_or(|closure| {
            let is_separate = now.since(closure.last_seen) >= FAILURE_GAP;
            is_separate && closure.may_repeat(now)
        });
        match &mut record.closure {
            Some(closure) if suspected_at.is_none() && !is_next => closure.last_seen = now,
            _ => {
                record.note_closure(suspected_at.unwrap_or(now), now);
            }
        }
        true
    }

    /// Returns when the group will be stable if it stays open, unless it is stable or there is no
    /// other group that could be preferred.
    pub(crate) fn unstable_until(&self, service: &ServiceId, group: &GroupId) -> Option<TimePoint> {
        let groups = self.services.get(service)?;
        if groups.len() < 2 {
            return None;
        }
        groups.get(group)?.unstable_until()
    }

    /// Returns the groups that have become unstable or stable since the last call.
    pub(crate) fn take_changes(&mut self, now: TimePoint) -> Vec<StabilityChange> {
        let mut changes = Vec::new();
        for (service, groups) in &mut self.services {
            for (group, record) in groups {
                let is_unstable = record.is_unstable(now);
                if std::mem::replace(&mut record.was_unstable, is_unstable) != is_unstable {
                    changes.push(StabilityChange {
                        service: service.clone(),
                        group: group.clone(),
                        is_unstable,
                        closures: record.closure.as_ref().map_or(0, |it| it.repeats + 1),
                    });
                }
            }
        }
        changes
    }

    /// Returns the number of unstable groups.
    pub(crate) fn count_unstable(&self, now: TimePoint) -> usize {
        let records = self.services.values().flat_map(HashMap::values);
        records.filter(|record| record.is_unstable(now)).count()
    }

    /// Forgets groups of which no rank has reported for a while.
    pub(crate) fn prune(&mut self, now: TimePoint) {
        self.services.retain(|_, groups| {
            groups.retain(|_, record| now.since(record.heard_at) < RETENTION);
            !groups.is_empty()
        });
    }

    /// Returns the number of groups that are tracked.
    pub(crate) fn len(&self) -> usize {
        self.services.values().map(HashMap::len).sum()
    }

    fn record_mut(
        &mut self,
        service: &ServiceId,
        group: &GroupId,
        now: TimePoint,
    ) -> &mut GroupRecord {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), HashMap::new());
        }
        let groups = self.services.get_mut(service).expect("just inserted");
        if !groups.contains_key(group) {
            if groups.len() >= MAX_GROUPS {
                let oldest = groups.iter().min_by_key(|(_, record)| record.heard_at);
                if let Some(oldest) = oldest.map(|(group, _)| group.clone()) {
                    groups.remove(&oldest);
                }
            }
            groups.insert(group.clone(), GroupRecord::default());
        }
        let record = groups.get_mut(group).expect("just inserted");
        record.heard_at = now;
        record
    }
}

/// What is known of the closures of one group.
#[derive(Debug, Default)]
struct GroupRecord {
    /// The latest closure.
    closure: Option<Closure>,
    /// When a rank first reported that the group is closed, if it may have been so for a moment only.
    suspected_at: Option<TimePoint>,
    /// The latest failed request: its rank and when it failed.
    failed: Option<(BackendId, TimePoint)>,
    /// When the group was last named in a report or by a failure.
    heard_at: TimePoint,
    /// Whether it was unstable when changes were last returned.
    was_unstable: bool,
}

impl GroupRecord {
    /// When the closure that is suspected began.
    ///
    /// A report of long ago belongs to another one, which nothing has confirmed.
    fn suspected_at(&self, now: TimePoint) -> Option<TimePoint> {
        let suspected_at = self.suspected_at;
        suspected_at.filter(|at| now.since(*at) < MIN_CLOSURE_INTERVAL)
    }

    /// Records that the group has closed once more.
    fn note_closure(&mut self, began: TimePoint, now: TimePoint) {
        let previous = self.closure.as_ref();
        let previous = previous.filter(|it| began.since(it.last_seen) < REPEAT_SPAN);
        self.suspected_at = None;
        self.closure = Some(Closure {
            began,
            last_seen: now,
            repeats: previous.map_or(0, |it| (it.repeats + 1).min(MAX_REPEATS)),
        });
    }

    fn unstable_until(&self) -> Option<TimePoint> {
        let closure = self.closure.as_ref()?;
        let doublings = closure.repeats.checked_sub(1)?;
        let span = INITIAL_OPEN_SPAN.0 << doublings;
        Some(closure.last_seen + TimeSpan(span.min(MAX_OPEN_SPAN.0)))
    }

    fn is_unstable(&self, now: TimePoint) -> bool {
        self.unstable_until().is_some_and(|until| now < until)
    }
}

/// One closure of a group.
#[derive(Debug)]
struct Closure {
    began: TimePoint,
    /// When a rank or a failed request last showed that the group is closed.
    last_seen: TimePoint,
    /// Number of closures before it, each within [`REPEAT_SPAN`] of the next.
    ///
    /// Invariant: at most [`MAX_REPEATS`].
    repeats: u32,
}

/// Number of repeated closures beyond which the time to stay open does not grow.
const MAX_REPEATS: u32 = 3;

impl Closure {
    /// Whether another closure may have begun.
    fn may_repeat(&self, now: TimePoint) -> bool {
        now.since(self.began) >= MIN_CLOSURE_INTERVAL
    }
}
