//! HTTP endpoints for operators and for the platform's balancer.

use std::{rc::Rc, time::Duration};

use actix_http::{
    Error, Request, Response, StatusCode,
    body::{BoxBody, MessageBody},
    header::{CONTENT_TYPE, HeaderValue},
};
use bytes::Bytes;

use crate::{HttpListener, ListenerLimits};

impl ListenerLimits {
    /// Limits of the admin listener.
    pub const ADMIN: Self = Self {
        connections: 64,
        closes_idle: true,
        header_timeout: Duration::from_secs(5),
        write_timeout: Duration::from_secs(5),
    };
}

/// Provides the contents of the admin endpoints.
pub trait AdminHandler {
    /// The metrics in the Prometheus text format.
    fn metrics(&self) -> Vec<u8>;
    /// Whether the process is ready for requests from the balancer.
    fn is_ready(&self) -> bool;
    /// The status as JSON.
    fn status(&self) -> Vec<u8>;
}

/// Serves `/metrics`, `/healthz`, `/readyz` and `/status` until the future is dropped.
pub async fn serve_admin<P: AdminHandler + 'static>(listener: Rc<HttpListener>, admin: Rc<P>) {
    let handler = move |request: Request| {
        let response = answer_request(&request, admin.as_ref());
        async move { Ok::<_, Error>(response) }
    };
    // Connection errors of scrapers affect no caller and are not counted.
    listener.serve(handler, |_| {}).await;
}

fn answer_request<P: AdminHandler>(request: &Request, admin: &P) -> Response<BoxBody> {
    const TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";
    match request.path() {
        "/metrics" => build_response(StatusCode::OK, TEXT, admin.metrics()),
        "/healthz" => build_response(StatusCode::OK, TEXT, "ok\n"),
        "/readyz" if admin.is_ready() => build_response(StatusCode::OK, TEXT, "ready\n"),
        "/readyz" => build_response(StatusCode::SERVICE_UNAVAILABLE, TEXT, "not ready\n"),
        "/status" => build_response(StatusCode::OK, "application/json", admin.status()),
        _ => build_response(StatusCode::NOT_FOUND, TEXT, "no such page\n"),
    }
}

fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<BoxBody> {
    let mut response = Response::with_body(status, body.into().boxed());
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
