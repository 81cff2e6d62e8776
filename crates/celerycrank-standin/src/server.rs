//! A small HTTP server on the current arbiter, whose handlers can close their connection.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    fmt, io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::{
    HttpMessage, HttpService, Method, Request, Response, StatusCode,
    body::{BodyStream, BoxBody},
    header::{CONTENT_TYPE, HeaderMap},
};
use actix_rt::{net::TcpStream, task::JoinHandle, time::sleep};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, future::LocalBoxFuture};
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc::UnboundedReceiver},
};

/// A request with its complete body.
#[derive(Debug)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query; empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpCall {
    /// The value of a header, if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// How a handler answers a request.
#[derive(Debug)]
pub enum HttpAnswer {
    /// Sends this response.
    Respond(Response<BoxBody>),
    /// Closes the connection without an answer.
    Close,
}

impl HttpAnswer {
    /// Creates a response with this status and JSON body.
    ///
    /// # Panics
    ///
    /// Panics if the value cannot be serialized as JSON.
    #[must_use]
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("the value serializes as JSON");
        let mut builder = Response::build(status);
        builder.insert_header((CONTENT_TYPE, "application/json"));
        Self::Respond(builder.body(body).map_into_boxed_body())
    }

    /// Creates a streaming response that sends each received line after `delay`.
    #[must_use]
    pub fn lines(receiver: UnboundedReceiver<Bytes>, delay: Duration) -> Self {
        let stream = futures_util::stream::unfold(receiver, move |mut receiver| async move {
            let line = receiver.recv().await?;
            sleep(delay).await;
            Some((Ok::<_, io::Error>(line), receiver))
        });
        let body = BodyStream::new(Box::pin(stream));
        Self::Respond(Response::ok().set_body(body).map_into_boxed_body())
    }

    /// Creates a response with this status and text.
    #[must_use]
    pub fn text(status: StatusCode, text: &str) -> Self {
        let body = text.to_owned();
        Self::Respond(Response::build(status).body(body).map_into_boxed_body())
    }
}

/// The request handler of a stand-in.
pub trait HttpHandler: 'static {
    /// Answers one request.
    fn answer(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpAnswer>;
}

/// A running stand-in; dropping it closes every connection.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    connections: Rc<ConnectionSet>,
    acceptor: JoinHandle<()>,
}

/// The tasks of open connections, which are aborted when the server is dropped.
#[derive(Default)]
struct ConnectionSet {
    handles: RefCell<Vec<JoinHandle<()>>>,
    accepted: Cell<u64>,
}

impl fmt::Debug for ConnectionSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ConnectionSet({} accepted)", self.accepted.get())
    }
}

/// Closes the connection on which a request arrived.
#[derive(Clone)]
struct ConnectionCloser(Rc<Notify>);

impl StandinServer {
    /// Listens on this address; with port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, handler: Rc<dyn HttpHandler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let connections = Rc::new(ConnectionSet::default());
        let accept_loop = accept_connections(listener, handler, Rc::clone(&connections));
        Ok(Self {
            address: bound,
            connections,
            acceptor: actix_rt::spawn(accept_loop),
        })
    }

    /// The address on which the stand-in listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The stand-in's base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.connections.accepted.get()
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.acceptor.abort();
        for handle in self.connections.handles.take() {
            handle.abort();
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    connections: Rc<ConnectionSet>,
) {
    while let Ok((stream, peer)) = listener.accept().await {
        // Nagle's algorithm would delay the small chunks of a token stream.
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        connections.accepted.set(connections.accepted.get() + 1);
        let connection_task = serve_connection(stream, peer, Rc::clone(&handler));
        let mut open = connections.handles.borrow_mut();
        open.retain(|connection| !connection.is_finished());
        open.push(actix_rt::spawn(connection_task));
    }
}

async fn serve_connection(stream: TcpStream, peer: SocketAddr, handler: Rc<dyn HttpHandler>) {
    let closer = ConnectionCloser(Rc::new(Notify::new()));
    let notify = Rc::clone(&closer.0);
    let factory = HttpService::build().h1(fn_service(move |request: Request| {
        let handler = Rc::clone(&handler);
        let closer = closer.clone();
        async move { Ok::<_, Infallible>(handle_request(request, handler, closer).await) }
    }));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    tokio::select! {
        // Connection errors are ignored: only the client has to handle them.
        _ = service.call((stream, Some(peer))) => {}
        () = notify.notified() => {}
    }
}

async fn handle_request(
    mut request: Request,
    handler: Rc<dyn HttpHandler>,
    closer: ConnectionCloser,
) -> Response<BoxBody> {
    let Some(body) = read_body(&mut request).await else {
        return Response::build(StatusCode::BAD_REQUEST)
            .finish()
            .map_into_boxed_body();
    };
    let call = HttpCall {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
    };
    match handler.answer(call).await {
        HttpAnswer::Respond(response) => response,
        HttpAnswer::Close => {
            closer.0.notify_one();
            std::future::pending().await
        }
    }
}

async fn read_body(request: &mut Request) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
    }
    Some(body.freeze())
}
