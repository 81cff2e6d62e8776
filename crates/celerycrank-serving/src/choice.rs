//! Chooses the backend server for an attempt.
//!
//! The choice handles two load patterns:
//!
//! - Many short streams over the ranks of lock-step groups. Every rank of a group is as slow as
//!   its fullest one, so the cost grows with the load of the single rank.
//! - Many entries that see the same slightly stale loads. Each entry chooses from a small random
//!   sample, so that they do not all send to the backend server that was least loaded.
//! - A lock-step group that closes again and again (`stability.rs`). Its ranks receive only requests
//!   for which the other groups have no free slot.
//! - Backend servers without agents that are slow or silent (`answer_pace.rs`). They receive as many
//!   requests as they answer in the time of the others.
//!
//! A backend server that names a limit is chosen only as far as this entry's share of it goes.

use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, seq::index::sample as sample_indices};

use crate::{BackendState, BackendTable};

/// Number of randomly drawn backend servers from which the least loaded one is chosen.
const SAMPLE_SIZE: usize = 4;

/// Number of ranks of stable groups with a free slot in a sample that also holds ranks of unstable
/// groups; with fewer, more are drawn.
const MIN_STABLE_SAMPLE: usize = 2;

/// Cost of a failure rate of 1, in requests.
const FAILURE_COST: f64 = 4.0;

/// Cost of a backend server in another failure domain, in requests.
const REMOTE_DOMAIN_COST: f64 = 0.3;

/// Cost of a lock-step group that is forming or broken, in requests.
const CLOSED_GROUP_COST: f64 = 50.0;

/// Maximum slowdown factor in a cost.
///
/// A report is a datagram that may hold any number.
const MAX_PACE: f64 = 1_000.0;

/// The input to a choice.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'query> {
    /// The requested service.
    pub service: &'query ServiceId,
    /// The failure domain of the entry.
    pub domain: &'query DomainId,
    /// Backend servers that this request has already tried.
    pub tried: &'query [BackendId],
    /// The current time.
    pub now: TimePoint,
}

/// The result of a choice.
#[derive(Debug, Clone, Copy)]
pub enum BackendChoice<'table> {
    /// The backend server to which the request may be sent.
    Chosen(&'table BackendState),
    /// The limits of the backend servers that could be chosen do not allow a request.
    Limited {
        /// The time until one of them does, if this entry has a share of a limit.
        retry_after: Option<TimeSpan>,
    },
    /// There is no backend server that could be chosen.
    Unavailable,
}

impl<'table> BackendChoice<'table> {
    /// The chosen backend server, if there is one.
    #[must_use]
    pub const fn chosen(self) -> Option<&'table BackendState> {
        match self {
            Self::Chosen(state) => Some(state),
            Self::Limited { .. } | Self::Unavailable => None,
        }
    }
}

/// Chooses the least loaded backend server of a random sample.
///
/// Only if no usable backend server is left is the sample drawn from those of last resort.
pub fn choose_backend<'table, R: Rng>(
    table: &'table BackendTable,
    query: &ChoiceQuery<'_>,
    random: &mut R,
) -> BackendChoice<'table> {
    let states = table.of_service(query.service).iter();
    let untried = states.filter(|state| !query.tried.contains(&state.registration.backend));
    let has_usable = untried.clone().any(|state| state.is_usable(query.now));
    let candidates = untried.filter(|state| match state.obstacle(query.now) {
        None => true,
        Some(obstacle) => !has_usable && obstacle.allows_last_resort(),
    });
    let within_limits = candidates.clone();
    let within_limits = within_limits.filter(|state| state.is_within_limit(query.now));
    if let Some(state) = least_loaded(within_limits, query, random) {
        return BackendChoice::Chosen(state);
    }
    let mut candidates = candidates.peekable();
    if candidates.peek().is_none() {
        return BackendChoice::Unavailable;
    }
    let waits = candidates.filter_map(|state| state.time_until_room(query.now));
    BackendChoice::Limited {
        retry_after: waits.min(),
    }
}

fn least_loaded<'table, R: Rng>(
    states: impl Iterator<Item = &'table BackendState> + Clone,
    query: &ChoiceQuery<'_>,
    random: &mut R,
) -> Option<&'table BackendState> {
    let sample = sample_states(states.clone(), random);
    let best = cheapest(sample, query, random);
    let mut sampled = sample.iter().flatten();
    let has_unstable = sampled.any(|state| state.is_in_unstable_group(query.now));
    let has_room = |state: &&BackendState| {
        let has_free_slot = state.load.total(query.now) < state.registration.slots;
        has_free_slot && !state.is_in_unstable_group(query.now)
    };
    let with_room = sample.into_iter().flatten().filter(has_room).count();
    if !has_unstable || with_room >= MIN_STABLE_SAMPLE {
        return best.map(|(_, state)| state);
    }
    let sample = sample_states(states.filter(has_room), random);
    let stable = cheapest(sample, query, random);
    let both = best.into_iter().chain(stable);
    let best = both.min_by(|(cost, _), (other, _)| cost.total_cmp(other));
    best.map(|(_, state)| state)
}

/// Returns the backend server of least cost, and its cost.
fn cheapest<'table, R: Rng>(
    sample: [Option<&'table BackendState>; SAMPLE_SIZE],
    query: &ChoiceQuery<'_>,
    random: &mut R,
) -> Option<(f64, &'table BackendState)> {
    let mut best: Option<(f64, &BackendState)> = None;
    for state in sample.into_iter().flatten() {
        // The random term keeps entries that see the same loads from all choosing the same
        // backend server.
        let cost = estimate_cost(state, query) + random.random_range(0.0..0.1);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, state));
        }
    }
    best
}

/// Draws a random sample without a list of all states, of which there may be many.
fn sample_states<'table, R: Rng>(
    states: impl Iterator<Item = &'table BackendState> + Clone,
    random: &mut R,
) -> [Option<&'table BackendState>; SAMPLE_SIZE] {
    let mut sample = [None; SAMPLE_SIZE];
    let count = states.clone().count();
    let drawn = sample_indices(random, count, SAMPLE_SIZE.min(count));
    for (index, state) in states.enumerate() {
        if let Some(position) = drawn.iter().position(|it| it == index) {
            sample[position] = Some(state);
        }
    }
    sample
}

/// Estimated cost of sending one more request to a backend server, in requests.
#[must_use]
pub fn estimate_cost(state: &BackendState, query: &ChoiceQuery<'_>) -> f64 {
    let report = state.load.report(query.now);
    let pace = report.map_or(state.slowdown(query.now), |report| {
        bounded_pace(report.pace)
    });
    let is_closed = report.is_some_and(|report| !report.is_open);
    let mut cost = (f64::from(state.load.total(query.now)) + 1.0) * pace;
    cost += state.failure_rate() * FAILURE_COST;
    if state.registration.domain != *query.domain {
        cost += REMOTE_DOMAIN_COST;
    }
    if is_closed {
        cost += CLOSED_GROUP_COST;
    }
    if state.is_in_unstable_group(query.now) {
        // As much as a rank of a stable group costs whose slots are all in use.
        cost += f64::from(state.registration.slots) * pace;
    }
    cost
}

/// Returns a slowdown factor that is finite and at least 1.
fn bounded_pace(pace: f64) -> f64 {
    // The comparison is false for a value that is no number.
    if pace > 1.0 { pace.min(MAX_PACE) } else { 1.0 }
}
