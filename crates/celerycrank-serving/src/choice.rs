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

use celerycrank_routing::MAX_PROMPT_HOLDERS;
use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, seq::index::sample as sample_indices};
use smallvec::SmallVec;

use crate::{BackendState, BackendTable, PromptWeighing};

/// Number of randomly drawn backend servers from which the least loaded one is chosen.
const SAMPLE_SIZE: usize = 4;

/// Number of backend servers that are drawn by their free places.
const ROOM_DRAWS: usize = 2;

/// Maximum number of requests of all entries that one of this entry counts for, for each entry.
///
/// An entry whose callers have just come has few requests, and could send next to none otherwise.
const MAX_SCALE: f64 = 2.0;

/// The smallest factor by which failures reduce the weight of a backend server.
const MIN_RELIABILITY: f64 = 0.05;

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
    /// The limit on what a backend server may hold, if there is one.
    pub load_limit: Option<LoadLimit>,
    /// The current time.
    pub now: TimePoint,
    /// The probable holders of the prompt, if there are any.
    pub prompt: Option<&'query PromptWeighing<'query>>,
}

/// A limit on the requests that a backend server may hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLimit {
    /// The number of requests with the one to be sent.
    pub requests: u32,
    /// The number of entries that send requests to the backend servers.
    ///
    /// Invariant: at least one.
    pub entries: u32,
    /// The part of all places of the service that may be in use, from 0 to 1.
    pub part: f64,
    /// The places that stay free for more urgent requests of this entry.
    ///
    /// Others leave places in proportion to their part of the load.
    pub reserve: f64,
    /// Maximum part of all places that stays free for more urgent requests, from 0 to 1.
    pub max_reserve: f64,
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
    /// The backend servers that could be chosen hold as many requests as the load limit allows.
    Full,
    /// There is no backend server that could be chosen.
    Unavailable,
}

impl<'table> BackendChoice<'table> {
    /// The chosen backend server, if there is one.
    #[must_use]
    pub const fn chosen(self) -> Option<&'table BackendState> {
        match self {
            Self::Chosen(state) => Some(state),
            Self::Limited { .. } | Self::Full | Self::Unavailable => None,
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
    let candidates = candidates(table, query);
    let within_limits = candidates.clone();
    let mut within_limits = within_limits.filter(|state| state.is_within_limit(query.now));
    let chosen = match query.load_limit {
        None => least_loaded(within_limits.clone(), query, random),
        Some(limit) => {
            let stable = within_limits.clone();
            let stable = stable.filter(|state| !state.is_in_unstable_group(query.now));
            draw_by_room(&stable, limit, query, random)
                .or_else(|| draw_by_room(&within_limits, limit, query, random))
        }
    };
    if let Some(state) = chosen {
        return BackendChoice::Chosen(state);
    }
    if within_limits.next().is_some() {
        return BackendChoice::Full;
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

/// Whether [`choose_backend`] would return [`BackendChoice::Full`].
///
/// A request that waits for a place is woken if not: also if it is to be refused because no backend
/// server can be chosen any more.
#[must_use]
pub fn is_full(table: &BackendTable, query: &ChoiceQuery<'_>) -> bool {
    let Some(limit) = query.load_limit else {
        return false;
    };
    let within_limits = candidates(table, query).filter(|it| it.is_within_limit(query.now));
    let stable = within_limits.clone();
    let stable = stable.filter(|state| !state.is_in_unstable_group(query.now));
    // The stable groups may have room while those that are used last hold too much.
    within_limits.clone().next().is_some()
        && !has_room(stable, limit, query.now)
        && !has_room(within_limits, limit, query.now)
}

/// The backend servers that a request has not tried and that may receive it: the usable ones, or
/// those of last resort if none is usable.
fn candidates<'table, 'query>(
    table: &'table BackendTable,
    query: &ChoiceQuery<'query>,
) -> impl Iterator<Item = &'table BackendState> + Clone + use<'table, 'query> {
    let (tried, now) = (query.tried, query.now);
    let states = table.of_service(query.service).iter();
    let untried = states.filter(move |state| !tried.contains(&state.registration.backend));
    let has_usable = untried.clone().any(|state| state.is_usable(now));
    untried.filter(move |state| match state.obstacle(now) {
        None => true,
        Some(obstacle) => !has_usable && obstacle.allows_last_resort(),
    })
}

fn least_loaded<'table, R: Rng>(
    states: impl Iterator<Item = &'table BackendState> + Clone,
    query: &ChoiceQuery<'_>,
    random: &mut R,
) -> Option<&'table BackendState> {
    let sample = sample_states(states.clone(), query.prompt, random);
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
    let sample = sample_states(states.filter(has_room), query.prompt, random);
    let stable = cheapest(sample, query, random);
    let both = best.into_iter().chain(stable);
    let best = both.min_by(|(cost, _), (other, _)| cost.total_cmp(other));
    best.map(|(_, state)| state)
}

/// Returns the backend server of least cost, and its cost.
fn cheapest<'table, R: Rng>(
    sample: [Option<&'table BackendState>; SAMPLE_SIZE + MAX_PROMPT_HOLDERS],
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

/// Draws a random sample without a list of all states, of which there may be many, and adds the
/// probable holders of the prompt.
fn sample_states<'table, R: Rng>(
    mut states: impl Iterator<Item = &'table BackendState> + Clone,
    prompt: Option<&PromptWeighing<'_>>,
    random: &mut R,
) -> [Option<&'table BackendState>; SAMPLE_SIZE + MAX_PROMPT_HOLDERS] {
    let mut sample = [None; SAMPLE_SIZE + MAX_PROMPT_HOLDERS];
    let (drawn_states, holders) = sample.split_at_mut(SAMPLE_SIZE);
    let mut holders = holders.iter_mut();
    let counted = states.clone().inspect(|state| {
        if prompt.is_some_and(|prompt| prompt.is_holder(state))
            && let Some(place) = holders.next()
        {
            *place = Some(*state);
        }
    });
    let count = counted.count();
    let drawn = sample_indices(random, count, SAMPLE_SIZE.min(count));
    let drawn = drawn.iter().zip(drawn_states);
    let mut drawn = drawn.collect::<SmallVec<[_; SAMPLE_SIZE]>>();
    drawn.sort_unstable_by_key(|(index, _)| *index);
    let mut passed = 0;
    for (index, place) in drawn {
        *place = states.nth(index - passed);
        passed = index + 1;
    }
    sample
}

/// Draws two backend servers at random, by the places that are free at each, and returns the less
/// loaded one.
///
/// Reports are older than the requests that other entries have sent since. If all entries chose the
/// least loaded backend server, they would overload it before the next report; drawn by free places, the
/// requests of all entries together fill the places evenly.
fn draw_by_room<'table, R: Rng>(
    states: &(impl Iterator<Item = &'table BackendState> + Clone),
    limit: LoadLimit,
    query: &ChoiceQuery<'_>,
    random: &mut R,
) -> Option<&'table BackendState> {
    let scale = room_scale(states.clone(), limit, query.now)?;
    let mut best: Option<(f64, &BackendState)> = None;
    let mut add = |state| {
        let cost = estimate_cost(state, query);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, state));
        }
    };
    // Each draw is replaced by the state at which the sum of the weights passes a threshold. Of all
    // states passed so far, it is then each with a probability in proportion to its weight, without a
    // random number for every state.
    let mut draws = [(None, 0.0); ROOM_DRAWS];
    let mut sum = 0.0;
    for state in states.clone() {
        let weight = room_weight(state, limit, scale, query.now);
        if weight <= 0.0 {
            continue;
        }
        sum += weight;
        for (drawn, threshold) in &mut draws {
            if sum > *threshold {
                *drawn = Some(state);
                *threshold = sum / random.random_range(f64::MIN_POSITIVE..1.0);
            }
        }
        if query.prompt.is_some_and(|prompt| prompt.is_holder(state)) {
            add(state);
        }
    }
    draws.into_iter().filter_map(|it| it.0).for_each(add);
    best.map(|(_, state)| state)
}

/// Whether a load limit leaves a place at one of these backend servers.
fn has_room<'table>(
    mut states: impl Iterator<Item = &'table BackendState> + Clone,
    limit: LoadLimit,
    now: TimePoint,
) -> bool {
    let scale = room_scale(states.clone(), limit, now);
    scale.is_some_and(|scale| states.any(|state| room_weight(state, limit, scale, now) > 0.0))
}

/// The requests of all entries for each one of this entry; `None` if the service has no free places.
///
/// Every entry sees the same places and may send to them before the next report. Each counts
/// its own requests since the reports for the other entries too, in proportion to their part of the
/// load, so that all of them together send about as many as there are places.
fn room_scale<'table>(
    states: impl Iterator<Item = &'table BackendState>,
    limit: LoadLimit,
    now: TimePoint,
) -> Option<f64> {
    let (mut places, mut sent, mut ended) = (0.0, 0.0, 0.0);
    let mut capacity = 0.0;
    let (mut reported, mut own) = (0.0, 0.0);
    for state in states {
        let load = state.load.recent(now);
        reported += f64::from(load.requests);
        own += f64::from(state.load.own());
        if load.is_open {
            capacity += f64::from(limit.requests);
            // Requests that wait at an engine count against the places that are free elsewhere:
            // while there are any, reports are too old to fill every place.
            places += f64::from(limit.requests) - f64::from(load.requests);
            sent += f64::from(load.unreported.sent);
            ended += f64::from(load.unreported.ended);
        }
    }
    let most = MAX_SCALE * f64::from(limit.entries);
    let scale = ((reported + 1.0) / (own + 1.0)).clamp(1.0, most.max(1.0));
    let reserve = (scale * limit.reserve).min(capacity * limit.max_reserve);
    let kept_free = reserve.max(capacity * (1.0 - limit.part));
    let free = places + scale * (ended - sent) - kept_free;
    (free > 0.0).then_some(scale)
}

/// The weight by which a backend server is drawn: its free places, less those that all entries
/// have probably used, reduced if it fails requests.
///
/// One that fails requests quickly always has free places; what remains of its weight shows when it
/// has recovered.
fn room_weight(state: &BackendState, limit: LoadLimit, scale: f64, now: TimePoint) -> f64 {
    let load = state.load.recent(now);
    // The lock-step group of one that is not open is forming or broken.
    if !load.is_open {
        return 0.0;
    }
    let places = f64::from(limit.requests) - f64::from(load.requests);
    let flow = load.unreported;
    let places = places + f64::from(flow.ended) - scale * f64::from(flow.sent);
    let reliability = 1.0 - state.failure_rate();
    places.max(0.0) * (reliability * reliability).max(MIN_RELIABILITY)
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
    cost + query
        .prompt
        .map_or(0.0, |prompt| prompt.cost(state, query.now))
}

/// Returns a slowdown factor that is finite and at least 1.
fn bounded_pace(pace: f64) -> f64 {
    // The comparison is false for a value that is no number.
    if pace > 1.0 { pace.min(MAX_PACE) } else { 1.0 }
}
