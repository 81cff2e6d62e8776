//! Admission of requests under the configuration in force.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use celerycrank_http::RequestHead;
use celerycrank_platform::RequestMetadata;
use celerycrank_routing::PromptBeginnings;
use celerycrank_serving::{
    AdmissionPolicy, PromptQuery, RequestPriority, RouteMatch, RouteRule, UrgencyLevel,
};
use celerycrank_types::{AccountId, PromptPartId, RefusalReason, Revision, ServiceId, TimePoint};
use smallvec::SmallVec;

use super::{
    body::RequestBody,
    crash::parts_text,
    space::CallerSpace,
    state::{ConfigurationInForce, EntryState},
};

/// A request that was received in full and is allowed by a route.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    /// The caller's identifier for this attempt.
    pub(crate) attempt: Arc<str>,
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    pub(crate) route: Rc<RouteRule>,
    /// The revision of the configuration under which it was admitted.
    pub(crate) revision: Revision,
    /// The account that owns the caller's key; `None` on routes that require no key.
    pub(crate) account: Option<AccountId>,
    /// The caller's key, if it sent one.
    key: Option<Bytes>,
    pub(crate) service: ServiceId,
    pub(crate) priority: RequestPriority,
    /// The admission policy, if the requests of the service differ in urgency.
    pub(crate) admission: Option<Rc<AdmissionPolicy>>,
    pub(crate) arrival: TimePoint,
    /// The caller's deadline or the end of the route's timeout, whichever comes first.
    pub(crate) deadline: TimePoint,
    /// The last event that the caller has received of a stream that it resumes.
    pub(crate) last_event: Option<u64>,
    /// The parts of the prompt that other prompts may share, in order.
    pub(crate) shared_parts: SmallVec<[PromptPartId; 4]>,
    /// The beginnings of the prompt, if backend servers may hold some of them.
    pub(crate) beginnings: Option<PromptBeginnings>,
    /// The memory that its connection holds.
    pub(crate) space: Rc<CallerSpace>,
}

impl AdmittedRequest {
    /// The urgency among the requests of the service, if they differ in urgency.
    pub(crate) fn urgency(&self) -> Option<UrgencyLevel> {
        let policy = self.admission.as_ref()?;
        Some(policy.level(self.priority))
    }

    /// Whether the configuration in force still gives the caller's key to the same account.
    pub(crate) fn has_valid_key(&self, in_force: &ConfigurationInForce) -> bool {
        let Some(account) = &self.account else {
            return true;
        };
        let key = self.key.as_ref();
        let owner = key.and_then(|key| in_force.accounts.find(key));
        owner.is_some_and(|(owner, _)| owner == account)
    }

    /// The shared parts of the prompt at the requested service.
    pub(crate) fn prompt_query(&self) -> PromptQuery<'_> {
        PromptQuery {
            service: &self.service,
            parts: &self.shared_parts,
        }
    }

    /// The shared parts of the prompt, for log lines; `None` if there are none.
    pub(crate) fn parts_text(&self) -> Option<String> {
        parts_text(&self.shared_parts)
    }
}

/// A request that has been read but not yet admitted.
#[derive(Debug)]
pub(crate) struct RequestDraft {
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    pub(crate) arrival: TimePoint,
    pub(crate) space: Rc<CallerSpace>,
}

/// Admits a request, or returns the reason for its refusal.
pub(crate) fn admit(
    state: &EntryState,
    draft: RequestDraft,
    metadata: RequestMetadata,
) -> Result<AdmittedRequest, RefusalReason> {
    let in_force = state.in_force().ok_or(RefusalReason::NoConfiguration)?;
    if let Some(error) = &metadata.parts_error {
        tracing::info!(request = %metadata.attempt, fault = %error, "prompt parts are ignored");
    }
    let route = find_route(state, &in_force, &metadata, &draft.head)?;
    let (account, priority) = find_account(state, &in_force, &metadata, &route)?;
    let drawn = route.draw_service(&mut *state.random.borrow_mut()).cloned();
    let service = drawn.ok_or(RefusalReason::NoBackend)?;
    let wait = metadata
        .caller_timeout
        .map_or(route.timeout, |span| span.min(route.timeout));
    let deadline = draft.arrival + wait;
    if !state.admits_until(deadline) {
        return Err(RefusalReason::ShuttingDown);
    }
    let beginnings = state.prompt_beginnings(&in_force, &service, &metadata, &draft.head);
    Ok(AdmittedRequest {
        beginnings,
        attempt: metadata.attempt,
        key: metadata.key,
        revision: in_force.revision,
        priority,
        admission: in_force.admissions.get(&service).map(Rc::clone),
        deadline,
        arrival: draft.arrival,
        last_event: metadata.last_event,
        shared_parts: metadata.shared_parts,
        head: draft.head,
        body: draft.body,
        space: draft.space,
        route,
        account,
        service,
    })
}

fn find_route(
    state: &EntryState,
    in_force: &ConfigurationInForce,
    metadata: &RequestMetadata,
    head: &RequestHead,
) -> Result<Rc<RouteRule>, RefusalReason> {
    let path = str::from_utf8(head.path()).ok();
    let path = path.ok_or(RefusalReason::BadRequest)?;
    let found = in_force.routes.find(&metadata.host, path);
    match found {
        Some(RouteMatch::Open(route)) => Ok(Rc::clone(route)),
        Some(RouteMatch::Closed) => Err(RefusalReason::RouteClosed),
        None => Err(unless_stale(state, RefusalReason::NoRoute)),
    }
}

/// Returns the account that owns the caller's key, if a key is needed, and the request's priority.
fn find_account(
    state: &EntryState,
    in_force: &ConfigurationInForce,
    metadata: &RequestMetadata,
    route: &RouteRule,
) -> Result<(Option<AccountId>, RequestPriority), RefusalReason> {
    let keyless = (None, RequestPriority::new(route.priority, None));
    if route.is_anonymous {
        return Ok(keyless);
    }
    let Some(key) = &metadata.key else {
        return if in_force.accounts.requires_key() {
            Err(RefusalReason::UnknownKey)
        } else {
            Ok(keyless)
        };
    };
    // Also if no key is required: a key that was revoked must not pass like the absence of one.
    let Some((account, priority)) = in_force.accounts.find(key) else {
        return Err(unless_stale(state, RefusalReason::UnknownKey));
    };
    if state.is_fresh() {
        let priority = RequestPriority::new(route.priority, priority);
        Ok((Some(account.clone()), priority))
    } else {
        Err(RefusalReason::StaleConfiguration)
    }
}

/// Returns `reason`, or `StaleConfiguration` if a newer configuration might decide otherwise.
fn unless_stale(state: &EntryState, reason: RefusalReason) -> RefusalReason {
    if state.is_fresh() {
        reason
    } else {
        RefusalReason::StaleConfiguration
    }
}
