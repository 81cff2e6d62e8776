//! The HTTP client of the backend server.

use std::{net::SocketAddr, time::Duration};

use actix_http::{
    Method,
    header::{HeaderName, HeaderValue},
};
use actix_rt::net::TcpStream;
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::{Client, ClientResponse, Connector, error::SendRequestError, http::Uri};
use bytes::Bytes;
use celerycrank_types::{RefusalReason, RequestId, UnknownReason};
use celerycrank_wire::{HttpField, RunOrder};
use futures_util::StreamExt;

use crate::eof_error::EofErrorStream;

/// Timeout of connecting to the backend server, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a connection to the backend server is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// The header that carries the request id to the backend server, which may echo it.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 5] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "trailer",
];

/// Why the backend server gave no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BackendError {
    /// The backend server did not receive the request.
    NotRun(RefusalReason),
    /// The backend server may have run the request.
    Unknown(UnknownReason),
}

/// Sends requests to the backend server.
pub(crate) struct BackendClient {
    client: Client,
    address: SocketAddr,
}

/// The head of an answer and its unread body.
pub(crate) struct BackendAnswer {
    pub(crate) status: u16,
    pub(crate) fields: Vec<HttpField>,
    body: ClientResponse,
}

impl BackendClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let connect = fn_service(|info: ConnectInfo<Uri>| async move {
            let address = info.addrs().next().ok_or(ConnectError::Unresolved)?;
            let stream = TcpStream::connect(address)
                .await
                .map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(Connection::new(
                info.request().clone(),
                EofErrorStream::new(stream),
            ))
        });
        let connector = Connector::new()
            .connector(connect)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_ALIVE)
            .limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, address }
    }

    /// Sends a request to the backend server and waits for the head of its answer.
    ///
    /// Dropping the future or the answer closes the connection, which cancels the request.
    pub(crate) async fn send(&self, order: &RunOrder) -> Result<BackendAnswer, BackendError> {
        let method = Method::from_bytes(order.head.method.as_bytes())
            .ok()
            .ok_or(BackendError::NotRun(RefusalReason::BadRequest))?;
        let uri = format!("http://{}{}", self.address, order.head.path);
        let mut request = self
            .client
            .request(method, uri)
            .address(self.address)
            .no_decompress();
        for field in &order.head.fields {
            let (name, value) = parse_field(field)?;
            request.headers_mut().append(name, value);
        }
        let id =
            HeaderValue::from_str(&order.id.to_string()).expect("an id is a valid header value");
        request
            .headers_mut()
            .insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
        let response = request.send_body(order.body.clone()).await;
        read_head(response.map_err(|error| classify_error(&error))?, order.id)
    }
}

impl BackendAnswer {
    /// Returns the next chunk of the body, or `None` once it is complete.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, BackendError> {
        match self.body.next().await {
            Some(Ok(chunk)) => Ok(Some(chunk)),
            Some(Err(_)) => Err(BackendError::Unknown(UnknownReason::BackendBroke)),
            None => Ok(None),
        }
    }
}

fn parse_field(field: &HttpField) -> Result<(HeaderName, HeaderValue), BackendError> {
    let error = BackendError::NotRun(RefusalReason::BadRequest);
    let name = HeaderName::from_bytes(field.name.as_bytes())
        .ok()
        .ok_or(error)?;
    let value = HeaderValue::from_bytes(&field.value).ok().ok_or(error)?;
    Ok((name, value))
}

/// Distinguishes a request that was not sent from one that may have run.
fn classify_error(error: &SendRequestError) -> BackendError {
    match error {
        // Nothing is sent before a connection is established.
        SendRequestError::Connect(_) => BackendError::NotRun(RefusalReason::BackendUnreachable),
        SendRequestError::Url(_) | SendRequestError::Http(_) => {
            BackendError::NotRun(RefusalReason::BadRequest)
        }
        SendRequestError::Response(error) if is_malformed_answer(error) => {
            BackendError::Unknown(UnknownReason::BadAnswer)
        }
        _ => BackendError::Unknown(UnknownReason::BackendBroke),
    }
}

fn is_malformed_answer(error: &actix_http::error::ParseError) -> bool {
    !matches!(
        error,
        actix_http::error::ParseError::Io(_) | actix_http::error::ParseError::Incomplete
    )
}

fn read_head(response: ClientResponse, id: RequestId) -> Result<BackendAnswer, BackendError> {
    let echoed_id = response.headers().get(REQUEST_ID_HEADER);
    if echoed_id.is_some_and(|echoed| echoed.as_bytes() != id.to_string().as_bytes()) {
        return Err(BackendError::Unknown(UnknownReason::BadAnswer));
    }
    let fields = response
        .headers()
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| HttpField {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    Ok(BackendAnswer {
        status: response.status().as_u16(),
        fields,
        body: response,
    })
}
