//! The pages for operators and for the platform's balancer.

use std::{rc::Rc, time::Duration};

use actix_http::{
    Error, Request, Response, StatusCode,
    body::{BoxBody, MessageBody},
    header::{CONTENT_TYPE, HeaderValue},
};
use bytes::Bytes;

use crate::{HttpListener, ListenerLimits};

impl ListenerLimits {
    /// Limits of the admin pages.
    pub const ADMIN: Self = Self {
        connections: 64,
        header_timeout: Duration::from_secs(5),
        write_timeout: Duration::from_secs(5),
    };
}

/// What the admin pages show.
pub trait AdminHandler {
    /// The metrics in the text format of prometheus.
    fn metrics(&self) -> Vec<u8>;
    /// Whether the balancer may send requests here.
    fn is_ready(&self) -> bool;
    /// The status as JSON.
    fn status(&self) -> Vec<u8>;
}

/// Serves `/metrics`, `/healthz`, `/readyz` and `/status` until the future is dropped.
pub async fn serve_admin<P: AdminHandler + 'static>(listener: HttpListener, pages: Rc<P>) {
    let handler = move |request: Request| {
        let response = answer_page(&request, pages.as_ref());
        async move { Ok::<_, Error>(response) }
    };
    // Faults of scrapers concern nobody's requests, and are not counted.
    listener.serve(handler, |_| {}).await;
}

fn answer_page<P: AdminHandler>(request: &Request, pages: &P) -> Response<BoxBody> {
    const TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";
    match request.path() {
        "/metrics" => page(StatusCode::OK, TEXT, pages.metrics()),
        "/healthz" => page(StatusCode::OK, TEXT, "ok\n"),
        "/readyz" if pages.is_ready() => page(StatusCode::OK, TEXT, "ready\n"),
        "/readyz" => page(StatusCode::SERVICE_UNAVAILABLE, TEXT, "not ready\n"),
        "/status" => page(StatusCode::OK, "application/json", pages.status()),
        _ => page(StatusCode::NOT_FOUND, TEXT, "no such page\n"),
    }
}

fn page(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<BoxBody> {
    let mut response = Response::with_body(status, body.into().boxed());
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
