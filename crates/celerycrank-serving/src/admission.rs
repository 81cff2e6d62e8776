//! Decides how many requests a model engine may hold when a request of a certain urgency is sent to
//! it.
//!
//! The load pattern: kinds of streams with different priorities share lock-step groups, and for some
//! seconds about twice what fits arrives, mostly of the least urgent kind. What is sent beyond the
//! slots of an engine waits there, and the first events of all kinds are late. With load limits by
//! urgency, requests that are less urgent leave places free for more urgent ones and wait at the
//! entry instead.

use std::collections::BTreeSet;

use celerycrank_types::{ServiceId, TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::{AccountRule, EngineProfile, LoadCeiling, LoadLimit, RouteRule, ServiceRule};

/// Time for whose expected arrivals of more urgent requests places are left free.
///
/// It covers the age of several reports, within which no entry sees what the others have sent, and the
/// wait for a slot at an engine that is full nevertheless.
const RESERVE_SPAN: TimeSpan = TimeSpan::from_millis(1_500);

/// Maximum part of the places that the least urgent level leaves free.
///
/// More would leave its requests unserved while engines are idle.
const MAX_RESERVE: f64 = 0.2;

/// Time constant of the moving average of arrivals.
const ARRIVAL_SPAN: TimeSpan = TimeSpan::from_secs(3);

/// Passes of a full engine until the first event of a request that has a slot: the one that is
/// running when it arrives and its own.
const FIRST_EVENT_PASSES: u32 = 2;

/// Weight of the newest sample in the moving average of first event times.
const FIRST_EVENT_SMOOTHING: f64 = 0.1;

/// Maximum time for which a stream that broke off waits for a place.
///
/// Callers leave after a gap of two seconds, within which the next event has to arrive.
const RESUMPTION_WAIT: TimeSpan = TimeSpan::from_secs(1);

/// Part of the time that a request has left for which it may wait, as a divisor.
///
/// A caller that is refused needs the rest to come back.
const WAIT_DIVISOR: u64 = 4;

/// How urgent a request is among those of its service; 0 is the most urgent.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UrgencyLevel(pub u32);

/// The priority of a request; the smallest is the most urgent.
///
/// The priority of a client account takes precedence over that of the route, which decides between
/// requests of accounts with the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPriority {
    /// The priority of the account, or that of the route if the account has none.
    account: u8,
    /// The priority of the route.
    route: u8,
}

impl RequestPriority {
    /// The priority of a request on a route of an account, if the request has one.
    #[must_use]
    pub fn new(route: u8, account: Option<u8>) -> Self {
        Self {
            account: account.unwrap_or(route),
            route,
        }
    }
}

/// Admission to a service whose requests differ in urgency.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionPolicy {
    /// The priorities that requests can have, the most urgent first.
    ///
    /// Invariant: without repetition, at least two.
    priorities: SmallVec<[RequestPriority; 8]>,
    engine: EngineProfile,
    /// The shortest target of the routes for first events.
    first_event_target: TimeSpan,
    /// The shortest gap target of the routes; `None` if no route has one.
    gap_target: Option<TimeSpan>,
}

/// Until when a request may wait for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitBounds {
    /// The time until which its answer can still begin within the latency target.
    pub in_time_until: TimePoint,
    /// The time at which it is refused.
    pub end: TimePoint,
}

impl AdmissionPolicy {
    /// The policy for a service, if its backend servers are engines and the priorities of its routes
    /// differ.
    #[must_use]
    pub fn of_service(
        service: &ServiceRule,
        routes: &[RouteRule],
        accounts: &[AccountRule],
    ) -> Option<Self> {
        let engine = service.engine?;
        let routes = routes.iter();
        let routes = routes.filter(|route| is_route_to(route, &service.service));
        let first_event_target = routes.clone().map(|route| route.target).min()?;
        let gap_target = routes.clone().filter_map(|route| route.gap_target).min();
        let routes = routes.map(|it| it.priority).collect::<BTreeSet<_>>();
        if routes.len() < 2 {
            return None;
        }
        let accounts = accounts.iter().map(|it| it.priority);
        // A request without a key has the priority of its route.
        let accounts = accounts.chain([None]).collect::<BTreeSet<_>>();
        let pairs = accounts.iter().flat_map(|account| {
            let routes = routes.iter();
            routes.map(|route| RequestPriority::new(*route, *account))
        });
        let mut priorities = pairs.collect::<SmallVec<[RequestPriority; 8]>>();
        priorities.sort_unstable();
        priorities.dedup();
        Some(Self {
            priorities,
            engine,
            first_event_target,
            gap_target,
        })
    }

    /// The level of a request with this priority.
    #[must_use]
    pub fn level(&self, priority: RequestPriority) -> UrgencyLevel {
        // A priority that was not possible when the policy was made does not add a level.
        let less_urgent = self.priorities.iter().skip(1);
        let reached = less_urgent.filter(|it| **it <= priority);
        UrgencyLevel(reached.fold(0, |level, _| level + 1))
    }

    fn last_level(&self) -> UrgencyLevel {
        self.level(RequestPriority::new(u8::MAX, None))
    }

    /// The shortest target for first events.
    #[must_use]
    pub const fn first_event_target(&self) -> TimeSpan {
        self.first_event_target
    }

    /// The shortest target for gaps between events; `None` if no route has one.
    #[must_use]
    pub const fn gap_target(&self) -> Option<TimeSpan> {
        self.gap_target
    }

    /// The limit on what an engine may hold for a request of this level.
    ///
    /// It leaves `reserve` places of the service free for each entry. The least urgent level uses only
    /// the part of the places that the ceiling allows, the most urgent one all of them.
    #[must_use]
    pub fn load_limit(
        &self,
        level: UrgencyLevel,
        ceiling: &LoadCeiling,
        reserve: f64,
        entries: u32,
    ) -> LoadLimit {
        // Levels in between give up less, so that the less urgent ones do not use all that is left.
        let depth = f64::from(level.0) / f64::from(self.last_level().0);
        LoadLimit {
            requests: self.engine.slots,
            part: 1.0 - (1.0 - ceiling.part()) * depth,
            max_reserve: MAX_RESERVE * depth,
            entries: if entries > 1 { entries } else { 1 },
            reserve,
        }
    }

    /// The expected time from sending a request to its first event, for want of samples.
    #[must_use]
    pub fn nominal_first_event(&self) -> TimeSpan {
        let engine = &self.engine;
        let step = engine.step.0 + engine.step_per_request.0 * u64::from(engine.slots);
        TimeSpan(step * u64::from(engine.steps_per_pass * FIRST_EVENT_PASSES))
    }
}

fn is_route_to(route: &RouteRule, service: &ServiceId) -> bool {
    route.services.iter().any(|it| it.service == *service)
}

impl WaitBounds {
    /// The bounds for a stream that broke off at `now` and is resumed.
    ///
    /// Its caller waits for the next event, which is late already.
    #[must_use]
    pub fn for_resumption(now: TimePoint, deadline: TimePoint) -> Self {
        Self {
            in_time_until: now,
            end: (now + RESUMPTION_WAIT).min(deadline),
        }
    }

    /// The bounds for a request that has just arrived.
    #[must_use]
    pub fn new(
        arrival: TimePoint,
        target: TimeSpan,
        deadline: TimePoint,
        first_event: TimeSpan,
    ) -> Self {
        let latest = arrival + TimeSpan(deadline.since(arrival).0 / WAIT_DIVISOR);
        let in_time = arrival + target.saturating_sub(first_event);
        Self {
            in_time_until: in_time.min(latest),
            end: latest,
        }
    }
}

/// The requests that arrive at one entry, by level.
#[derive(Debug, Default, Clone)]
pub struct ArrivalMeter {
    /// Moving average in requests per second, and when it was last updated.
    levels: SmallVec<[(f64, TimePoint); 4]>,
}

impl ArrivalMeter {
    /// Records the arrival of a request.
    pub fn record(&mut self, level: UrgencyLevel, now: TimePoint) {
        let index = level.0 as usize;
        while self.levels.len() <= index {
            self.levels.push((0.0, now));
        }
        let rate = decayed(self.levels[index], now) + 1.0 / ARRIVAL_SPAN.as_secs_f64();
        self.levels[index] = (rate, now);
    }

    /// The places that a request of this level leaves free for more urgent ones at the same entry.
    #[must_use]
    pub fn reserve(&self, level: UrgencyLevel, now: TimePoint) -> f64 {
        let more_urgent = self.levels.iter().take(level.0 as usize);
        let rate = more_urgent.map(|it| decayed(*it, now)).sum::<f64>();
        rate * RESERVE_SPAN.as_secs_f64()
    }
}

fn decayed((rate, at): (f64, TimePoint), now: TimePoint) -> f64 {
    let age = now.since(at).as_secs_f64() / ARRIVAL_SPAN.as_secs_f64();
    rate * (-age).exp()
}

/// Moving average of the time from sending a request to its first event.
#[derive(Debug, Default, Clone, Copy)]
pub struct FirstEventEstimate {
    seconds: Option<f64>,
}

impl FirstEventEstimate {
    /// Records the time of one stream.
    pub fn observe(&mut self, span: TimeSpan) {
        let sample = span.as_secs_f64();
        let known = self.seconds.get_or_insert(sample);
        *known += (sample - *known) * FIRST_EVENT_SMOOTHING;
    }

    /// The average; `None` before the first sample.
    #[must_use]
    pub fn get(&self) -> Option<TimeSpan> {
        self.seconds.map(TimeSpan::from_secs_f64)
    }
}
