//! Responses to requests that were not run or whose outcome is unknown.

use actix_http::{
    Response, StatusCode,
    body::{BoxBody, MessageBody},
    header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER},
};
use bytes::Bytes;
use celerycrank_types::{RefusalReason, TimeSpan, UnknownReason};
use serde::Serialize;

const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-celerycrank-outcome");
const REASON_HEADER: HeaderName = HeaderName::from_static("x-celerycrank-reason");

const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";

/// Default of the `Retry-After` header if the refusal does not specify one.
const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Serialize)]
struct ErrorDetail {
    outcome: &'static str,
    reason: &'static str,
    message: &'static str,
}

/// Builds the response to a request that was not run.
pub(crate) fn refusal_response(
    reason: RefusalReason,
    retry_after: Option<TimeSpan>,
) -> Response<BoxBody> {
    let status = StatusCode::from_u16(reason.status()).expect("reasons have valid statuses");
    let detail = ErrorDetail {
        outcome: NOT_RUN,
        reason: reason.label(),
        message: "the request was not run",
    };
    let mut response = error_response(status, detail);
    if let Some(span) = retry_after.or_else(|| default_retry_after(reason)) {
        let seconds = span.0.div_ceil(MICROS_PER_SECOND).max(1);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// Builds the response to a request whose outcome is unknown.
pub(crate) fn unknown_response(reason: UnknownReason) -> Response<BoxBody> {
    error_response(StatusCode::BAD_GATEWAY, unknown_detail(reason))
}

/// Builds the event that ends an incomplete event stream.
pub(crate) fn error_event(reason: UnknownReason) -> Bytes {
    let body = ErrorBody {
        error: unknown_detail(reason),
    };
    let json = serde_json::to_string(&body).expect("an error body encodes as JSON");
    format!("event: error\ndata: {json}\n\n").into()
}

const fn unknown_detail(reason: UnknownReason) -> ErrorDetail {
    ErrorDetail {
        outcome: UNKNOWN,
        reason: reason.label(),
        message: "the request may or may not have run",
    }
}

fn error_response(status: StatusCode, detail: ErrorDetail) -> Response<BoxBody> {
    let outcome = HeaderValue::from_static(detail.outcome);
    let reason = HeaderValue::from_static(detail.reason);
    let json = serde_json::to_vec(&ErrorBody { error: detail });
    let body = Bytes::from(json.expect("an error body encodes as JSON"));
    let mut response = Response::with_body(status, body.boxed());
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(OUTCOME_HEADER, outcome);
    headers.insert(REASON_HEADER, reason);
    let content_type = HeaderValue::from_static("application/json");
    headers.insert(CONTENT_TYPE, content_type);
    response
}

/// The default `Retry-After` for a temporary refusal.
const fn default_retry_after(reason: RefusalReason) -> Option<TimeSpan> {
    match reason.status() {
        429 | 503 => Some(DEFAULT_RETRY_AFTER),
        _ => None,
    }
}
