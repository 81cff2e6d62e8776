//! Hands a request to agents until one answers it, or until that is pointless.

use std::rc::Rc;

use actix_http::{Response, body::BoxBody};
use celerycrank_types::{BackendId, RefusalReason, RetryReason, TimePoint, TimeSpan};
use celerycrank_wire::{OfferKind, RunOrder};
use smallvec::SmallVec;

use crate::{
    accept::{RequestDraft, admit},
    answer::pass_answer,
    forward::{AttemptEnd, forward},
    refusal::{refuse, tell_unknown},
    roster::AgentRecord,
    state::EntryState,
};

/// Most agents that are tried for one request.
const MAX_ATTEMPTS: usize = 3;

/// A request that passed every check.
#[derive(Debug)]
pub(crate) struct PreparedRequest {
    pub(crate) order: RunOrder,
    pub(crate) kind: OfferKind,
    pub(crate) arrival: TimePoint,
    pub(crate) deadline: TimePoint,
    /// What the caller sent, to admit it again under a newer configuration.
    pub(crate) draft: RequestDraft,
}

/// Why the last attempt did not run, which is told if there is no other.
struct LastRefusal {
    reason: RefusalReason,
    retry_after: Option<TimeSpan>,
}

/// Answers a request that passed every check.
pub(crate) async fn dispatch(
    state: Rc<EntryState>,
    mut request: PreparedRequest,
) -> Response<BoxBody> {
    let mut guard = CallerGuard::new(&state);
    state.earn_retry(&request.order.account);
    let mut tried = SmallVec::<[BackendId; MAX_ATTEMPTS]>::new();
    let mut last = LastRefusal {
        reason: RefusalReason::NoBackend,
        retry_after: None,
    };
    for _ in 0..MAX_ATTEMPTS {
        let now = state.clock.now();
        if now >= request.deadline {
            last.reason = RefusalReason::DeadlineUnreachable;
            break;
        }
        let Some(record) = choose_agent(&state, &request.kind, &tried) else {
            break;
        };
        request.order.attempt += 1;
        let end = forward(&state, &record, &mut request.order, request.deadline).await;
        let (reason, retry_after, retry) = match end {
            AttemptEnd::Answering(answer) => {
                guard.settled = true;
                return pass_answer(Rc::clone(&state), *answer, request.arrival).await;
            }
            AttemptEnd::Unknown(reason) => {
                guard.settled = true;
                state.metrics.unknowns.count(reason);
                return tell_unknown(reason);
            }
            AttemptEnd::NotRun {
                reason,
                retry_after,
                retry,
            } => (reason, retry_after, retry),
        };
        last = LastRefusal {
            reason,
            retry_after,
        };
        if reason == RefusalReason::OldRevision && state.revision() > request.order.revision {
            // The agent's refusal brought the newer configuration; the request is judged by
            // it as if it had only just arrived.
            request = match admit(&state, request.draft) {
                Ok(request) => request,
                Err(reason) => {
                    last.reason = reason;
                    break;
                }
            };
            state.metrics.retries.count(RetryReason::Refused);
            continue;
        }
        tried.push(record.offer.backend.clone());
        let Some(retry) = retry else {
            break;
        };
        if !may_retry(&state, &request, &tried, reason) {
            break;
        }
        state.metrics.retries.count(retry);
    }
    guard.settled = true;
    state.metrics.refusals.count(last.reason);
    refuse(last.reason, last.retry_after)
}

fn choose_agent(
    state: &EntryState,
    kind: &OfferKind,
    tried: &[BackendId],
) -> Option<Rc<AgentRecord>> {
    let timer = state.metrics.decision.start_timer();
    let mut random = state.random.borrow_mut();
    let chosen = state.roster.borrow().choose(kind, tried, &mut *random);
    timer.observe_duration();
    chosen
}

/// Whether another agent is there to try and the account's budget allows it.
fn may_retry(
    state: &EntryState,
    request: &PreparedRequest,
    tried: &[BackendId],
    refusal: RefusalReason,
) -> bool {
    if tried.len() >= MAX_ATTEMPTS || choose_agent(state, &request.kind, tried).is_none() {
        return false;
    }
    // Where nothing reached a backend server, and the agent gets no further request, a
    // retry adds no load, so that it costs no budget.
    let is_free = matches!(
        refusal,
        RefusalReason::AgentUnreachable
            | RefusalReason::BackendLeaving
            | RefusalReason::BackendUnreachable
    );
    is_free || state.spend_retry(&request.order.account)
}

/// Counts a caller that left while its request was dispatched.
struct CallerGuard {
    state: Rc<EntryState>,
    settled: bool,
}

impl CallerGuard {
    fn new(state: &Rc<EntryState>) -> Self {
        Self {
            state: Rc::clone(state),
            settled: false,
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.settled {
            self.state.metrics.callers_left.inc();
        }
    }
}
