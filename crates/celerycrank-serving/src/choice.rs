//! Chooses the backend server of one attempt.
//!
//! Answers two patterns. Many short streams over the ranks of lock-step groups: every rank of
//! a group is as slow as its fullest one, so requests are kept even over ranks first. Many
//! entries that see the same loads, a little late: each chooses among a few drawn at random,
//! so that they do not all send to the one that had least to do.

use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint};
use rand::{Rng, seq::IndexedRandom};
use smallvec::SmallVec;

use crate::{BackendState, BackendTable};

/// Backend servers among which the one with the least work is chosen.
const SAMPLE_SIZE: usize = 4;

/// Requests that a failure rate of 1 counts for.
const FAILURE_WEIGHT: f64 = 4.0;

/// Parts of a request that a backend server of another failure domain counts for.
const REMOTE_DOMAIN_WEIGHT: f64 = 0.3;

/// Requests that a group which is forming or broken counts for.
const CLOSED_GROUP_WEIGHT: f64 = 50.0;

/// What a backend server is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'query> {
    /// The service that is asked for.
    pub service: &'query ServiceId,
    /// The failure domain of the entry.
    pub domain: &'query DomainId,
    /// Backend servers that were tried already.
    pub tried: &'query [BackendId],
    /// The present time.
    pub now: TimePoint,
}

/// The backend server with the least work, among those that may take any.
pub fn choose_backend<'table, R: Rng>(
    table: &'table BackendTable,
    query: &ChoiceQuery<'_>,
    random: &mut R,
) -> Option<&'table BackendState> {
    let untried = |state: &&BackendState| !query.tried.contains(&state.registration.backend);
    let states = table.of_service(query.service);
    let usable = states.iter().filter(|state| state.is_usable(query.now));
    let found = least_loaded(usable.filter(untried), query, random);
    found.or_else(|| {
        let rest = states.iter().filter(|it| it.is_last_resort(query.now));
        least_loaded(rest.filter(untried), query, random)
    })
}

fn least_loaded<'table, R: Rng>(
    states: impl Iterator<Item = &'table BackendState>,
    query: &ChoiceQuery<'_>,
    random: &mut R,
) -> Option<&'table BackendState> {
    let states = states.collect::<SmallVec<[&BackendState; 32]>>();
    let sample = states.choose_multiple(random, SAMPLE_SIZE).copied();
    let sample = sample.collect::<SmallVec<[&BackendState; SAMPLE_SIZE]>>();
    let mut best: Option<(f64, &BackendState)> = None;
    for state in sample {
        // Entries that see the same loads must not all choose the same backend server.
        let cost = cost_of(state, query) + random.random_range(0.0..0.1);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, state));
        }
    }
    best.map(|(_, state)| state)
}

/// What one more request would cost there, in requests.
fn cost_of(state: &BackendState, query: &ChoiceQuery<'_>) -> f64 {
    let report = state.load.report(query.now);
    let pace = report.map_or(1.0, |report| report.pace.max(1.0));
    let is_closed = report.is_some_and(|report| !report.is_open);
    let mut cost = (f64::from(state.load.total(query.now)) + 1.0) * pace;
    cost += state.failure_rate() * FAILURE_WEIGHT;
    if state.registration.domain != *query.domain {
        cost += REMOTE_DOMAIN_WEIGHT;
    }
    if is_closed {
        cost += CLOSED_GROUP_WEIGHT;
    }
    cost
}
