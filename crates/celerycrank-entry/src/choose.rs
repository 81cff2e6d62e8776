//! Chooses the agent for one request.

use std::rc::Rc;

use celerycrank_requests::{CallKey, ClaimLayout};
use celerycrank_routing::RouteQuery;
use celerycrank_types::{BackendId, RefusalReason};
use celerycrank_wire::OfferKind;

use crate::{agents::AgentRecord, dispatch::AdmittedRequest, state::EntryState};

/// Chooses an agent that is not in `tried`; for a call with an idempotency key, preferably the
/// owner of the key's shard.
pub(crate) fn choose_agent(
    state: &EntryState,
    request: &AdmittedRequest,
    tried: &[BackendId],
) -> Result<Rc<AgentRecord>, RefusalReason> {
    let key = read_key(request)?;
    let timer = state.metrics.decision.start_timer();
    let agents = state.agents.borrow();
    let query = RouteQuery {
        prefix: &request.prefix,
        tried,
    };
    let now = state.clock.now();
    let owner = key.and_then(|key| {
        let layout = ClaimLayout::builder().build();
        agents.choose_owner(&request.kind, tried, &layout, &key)
    });
    let chosen = owner.or_else(|| {
        let mut random = state.random.borrow_mut();
        agents.choose(&request.kind, &query, now, &mut *random)
    });
    timer.observe_duration();
    chosen.ok_or(RefusalReason::NoBackend)
}

fn read_key(request: &AdmittedRequest) -> Result<Option<CallKey>, RefusalReason> {
    let (Some(text), OfferKind::Service(service)) = (&request.order.key, &request.kind) else {
        return Ok(None);
    };
    match CallKey::parse(&request.order.account, service, text) {
        Ok(key) => Ok(Some(key)),
        Err(_) => Err(RefusalReason::BadRequest),
    }
}
