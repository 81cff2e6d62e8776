//! Receives a request from a caller and admits it before it is dispatched.

use std::{
    net::{IpAddr, Ipv4Addr},
    rc::Rc,
    sync::Arc,
};

use actix_http::{
    Request, Response,
    body::BoxBody,
    header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap},
};
use bytes::Bytes;
use celerycrank_config::RepeatRule;
use celerycrank_http::is_hop_by_hop;
use celerycrank_types::{Incarnation, RefusalReason, TimePoint, TimeSpan};
use celerycrank_wire::{HttpField, RequestHead, RunOrder};

use crate::{
    body::read_body,
    dispatch::{AdmittedRequest, dispatch},
    refusal::refusal_response,
    resolve::resolve_request,
    space::BodySpace,
    state::EntryState,
};

/// Header with the idempotency key of a call that must not run twice.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

const BEARER_PREFIX: &str = "Bearer ";

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Header with the request id, which is set by the entry and not forwarded from the caller.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request that was received completely but not yet admitted.
#[derive(Debug, Clone)]
pub(crate) struct RequestDraft {
    arrival: TimePoint,
    api_key: Arc<str>,
    idempotency_key: Option<Arc<str>>,
    head: RequestHead,
    body: Bytes,
    /// The memory that the body holds.
    _space: Rc<BodySpace>,
}

/// Answers one request of a caller.
pub(crate) async fn answer_request(state: Rc<EntryState>, request: Request) -> Response<BoxBody> {
    state.metrics.requests.inc();
    let arrival = state.clock.now();
    let admitted = match read_draft(&state, request, arrival).await {
        Ok(draft) => admit(&state, draft),
        Err(reason) => Err(reason),
    };
    match admitted {
        Ok(request) => match charge(&state, &request).await {
            Ok(()) => {
                state.record_admitted(&request.order.account, request.order.cost);
                dispatch(state, request).await
            }
            Err(retry_after) => {
                state.metrics.refusals.count(RefusalReason::ShareExhausted);
                refusal_response(RefusalReason::ShareExhausted, Some(retry_after))
            }
        },
        Err(reason) => {
            state.metrics.refusals.count(reason);
            refusal_response(reason, None)
        }
    }
}

/// Charges a request to its account's rate cap, if its plan has one.
async fn charge(state: &EntryState, request: &AdmittedRequest) -> Result<(), TimeSpan> {
    if request.rate.is_none() {
        return Ok(());
    }
    let order = &request.order;
    state
        .allowances
        .charge(state, &order.account, order.cost)
        .await
}

/// Admits a request under the configuration in force.
pub(crate) fn admit(
    state: &EntryState,
    draft: RequestDraft,
) -> Result<AdmittedRequest, RefusalReason> {
    let in_force = state.in_force().ok_or(RefusalReason::NoConfiguration)?;
    let table = &in_force.table;
    let account = table
        .authenticate(&draft.api_key)
        .ok_or(RefusalReason::UnknownKey)?;
    let resolved = resolve_request(table, account, &draft.head, &draft.body)?;
    let policy = resolved.policy;
    let key = match policy.repeat {
        RepeatRule::Keyed => Some(
            draft
                .idempotency_key
                .clone()
                .ok_or(RefusalReason::BadRequest)?,
        ),
        RepeatRule::Never | RepeatRule::Repeatable => None,
    };
    let order = RunOrder::builder()
        .id(state.generate_request_id())
        .revision(in_force.revision)
        .account(table.account(account).clone())
        .share(policy.share)
        .priority(policy.priority)
        .cost(resolved.cost)
        .attempt(0)
        .agent(Incarnation(0))
        .start_by(TimePoint(0))
        .repeat(policy.repeat)
        .maybe_key(key)
        .head(draft.head.clone())
        .body(draft.body.clone())
        .build();
    Ok(AdmittedRequest {
        order,
        prefix: resolved.prefix,
        kind: resolved.kind,
        rate: policy.rate_cap,
        arrival: draft.arrival,
        deadline: draft.arrival + policy.deadline,
        draft,
    })
}

/// Authenticates the caller and receives the complete request.
async fn read_draft(
    state: &EntryState,
    request: Request,
    arrival: TimePoint,
) -> Result<RequestDraft, RefusalReason> {
    let in_force = state.in_force().ok_or(RefusalReason::NoConfiguration)?;
    let address = request.peer_addr().map(|address| address.ip());
    let address = address.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
    let (message, payload) = request.into_parts();
    check_head_size(&message.headers, state.settings.limits.header.0)?;
    let api_key = read_api_key(&message.headers).ok_or(RefusalReason::UnknownKey)?;
    // The body is read only for authenticated callers.
    in_force
        .table
        .authenticate(&api_key)
        .ok_or(RefusalReason::UnknownKey)?;
    let idempotency_key = read_idempotency_key(&message.headers)?;
    let space = BodySpace::open(&state.space, address)?;
    let body = read_body(payload, &state.settings.limits, &space).await?;
    let path = message.uri.path_and_query();
    let head = RequestHead {
        method: message.method.as_str().into(),
        path: path.map_or("/", |path| path.as_str()).into(),
        fields: forwarded_fields(&message.headers),
    };
    Ok(RequestDraft {
        arrival,
        api_key,
        idempotency_key,
        head,
        body,
        _space: Rc::new(space),
    })
}

fn read_api_key(headers: &HeaderMap) -> Option<Arc<str>> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    Some(text.strip_prefix(BEARER_PREFIX)?.trim().into())
}

fn check_head_size(headers: &HeaderMap, limit: u64) -> Result<(), RefusalReason> {
    let size = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>();
    if size as u64 > limit {
        return Err(RefusalReason::HeaderTooLarge);
    }
    Ok(())
}

fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, RefusalReason> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.into())),
        _ => Err(RefusalReason::BadRequest),
    }
}

/// The headers to forward; the caller's API key is removed.
fn forwarded_fields(headers: &HeaderMap) -> Vec<HttpField> {
    headers
        .iter()
        .filter(|(name, _)| {
            ![AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST].contains(name)
                && !is_hop_by_hop(name.as_str().as_bytes())
                && name.as_str() != REQUEST_ID_HEADER
        })
        .map(|(name, value)| HttpField {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
