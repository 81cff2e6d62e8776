//! Chooses the backend server for an attempt.
//!
//! The choice handles two load patterns:
//!
//! - Many short streams over the ranks of lock-step groups. Every rank of a group is as slow as
//!   its fullest one, so the cost grows with the load of the single rank.
//! - Many entries that see the same slightly stale loads. Each entry chooses from a small random
//!   sample, so that they do not all send to the backend server that was least loaded.
//!
//! A backend server that names a limit is chosen only as far as this entry's share of it goes.

use celerycrank_routing::MAX_PROMPT_HOLDERS;
use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, seq::index::sample as sample_indices};
use smallvec::SmallVec;

use crate::{BackendState, BackendTable, PromptWeighing};

/// Number of randomly drawn backend servers from which the least loaded one is chosen.
const SAMPLE_SIZE: usize = 4;

/// Cost of a failure rate of 1, in requests.
const FAILURE_COST: f64 = 4.0;

/// Cost of a backend server in another failure domain, in requests.
const REMOTE_DOMAIN_COST: f64 = 0.3;

/// Cost of a lock-step group that is forming or broken, in requests.
const CLOSED_GROUP_COST: f64 = 50.0;

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
    /// The probable holders of the prompt, if there are any.
    pub prompt: Option<&'query PromptWeighing<'query>>,
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
    let mut best: Option<(f64, &BackendState)> = None;
    for state in sample_states(states, query.prompt, random)
        .into_iter()
        .flatten()
    {
        // The random term keeps entries that see the same loads from all choosing the same
        // backend server.
        let cost = estimate_cost(state, query) + random.random_range(0.0..0.1);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, state));
        }
    }
    best.map(|(_, state)| state)
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

/// Estimated cost of sending one more request to a backend server, in requests.
fn estimate_cost(state: &BackendState, query: &ChoiceQuery<'_>) -> f64 {
    let report = state.load.report(query.now);
    let pace = report.map_or(1.0, |report| report.pace.max(1.0));
    let is_closed = report.is_some_and(|report| !report.is_open);
    let mut cost = (f64::from(state.load.total(query.now)) + 1.0) * pace;
    cost += state.failure_rate() * FAILURE_COST;
    if state.registration.domain != *query.domain {
        cost += REMOTE_DOMAIN_COST;
    }
    if is_closed {
        cost += CLOSED_GROUP_COST;
    }
    cost + query
        .prompt
        .map_or(0.0, |prompt| prompt.cost(state, query.now))
}
