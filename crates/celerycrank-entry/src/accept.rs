//! Takes one request from a caller and checks it before it is dispatched.

use std::rc::Rc;

use actix_http::{
    Request, Response,
    body::BoxBody,
    header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap},
};
use bytes::Bytes;
use celerycrank_config::RepeatRule;
use celerycrank_types::{RefusalReason, TimePoint};
use celerycrank_wire::{HttpField, RequestHead, RunOrder};

use crate::{
    authenticate::account_of,
    body::read_body,
    dispatch::{PreparedRequest, dispatch},
    refusal::refuse,
    resolve::resolve_use,
    state::EntryState,
};

/// The caller's key of a call that must not be repeated.
const KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Headers that concern the caller's hop only, or that the entry sets itself.
const HOP_HEADERS: [&str; 9] = [
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// Answers one request of a caller.
pub(crate) async fn answer_request(state: Rc<EntryState>, request: Request) -> Response<BoxBody> {
    state.metrics.requests.inc();
    let arrival = state.clock.now();
    match prepare(&state, request, arrival).await {
        Ok(prepared) => dispatch(state, prepared).await,
        Err(reason) => {
            state.metrics.refusals.count(reason);
            refuse(reason, None)
        }
    }
}

/// Checks who calls, what is asked for, and that the whole request is here.
async fn prepare(
    state: &EntryState,
    request: Request,
    arrival: TimePoint,
) -> Result<PreparedRequest, RefusalReason> {
    let in_force = state.in_force().ok_or(RefusalReason::NoConfiguration)?;
    let (message, payload) = request.into_parts();
    check_head_size(&message.headers, state.settings.limits.header.0)?;
    let owner = in_force
        .keys
        .authenticate(&message.headers)
        .ok_or(RefusalReason::UnknownKey)?;
    let body = read_body(payload, &state.settings.limits).await?;
    let plan = &in_force.configuration.plans.plans[owner.plan];
    let resolved = resolve_use(plan, message.uri.path(), &body)?;
    let key = match resolved.repeat {
        RepeatRule::Keyed => Some(read_key(&message.headers)?),
        RepeatRule::Never | RepeatRule::Repeatable => None,
    };
    let head = RequestHead {
        method: message.method.as_str().into(),
        path: message
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .into(),
        fields: end_to_end(&message.headers),
    };
    let order = RunOrder::builder()
        .id(state.draw_request_id())
        .revision(in_force.configuration.revision)
        .account(account_of(&in_force.configuration, owner).clone())
        .share(plan.share)
        .priority(plan.priority)
        .cost(resolved.cost)
        .deadline(plan.deadline)
        .repeat(resolved.repeat)
        .maybe_key(key)
        .head(head)
        .body(body)
        .build();
    Ok(PreparedRequest {
        order,
        kind: resolved.kind,
        arrival,
        deadline: arrival + plan.deadline,
    })
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

fn read_key(headers: &HeaderMap) -> Result<std::sync::Arc<str>, RefusalReason> {
    let value = headers.get(KEY_HEADER).ok_or(RefusalReason::BadRequest)?;
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(key.into()),
        _ => Err(RefusalReason::BadRequest),
    }
}

/// The headers to pass on; the caller's API key is not among them.
fn end_to_end(headers: &HeaderMap) -> Vec<HttpField> {
    headers
        .iter()
        .filter(|(name, _)| {
            ![AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST].contains(name)
                && !HOP_HEADERS.contains(&name.as_str())
        })
        .map(|(name, value)| HttpField {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
