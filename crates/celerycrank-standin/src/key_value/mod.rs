//! A stand-in for the key-value service that implements etcd's v3 JSON protocol.

mod message;
mod store;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use actix_rt::time::sleep;
use bytes::Bytes;
use celerycrank_types::TimeSpan;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::{
    HttpAnswer, HttpCall, HttpHandler, StandinServer,
    key_value::{
        message::{
            LeaseRequest, PutRequest, RangeRequest, TxnOperation, TxnRequest, WatchCreate,
            WatchRequest,
        },
        store::{KeyRange, KeyValueStore, StoreError},
    },
};

/// How often leases are checked for expiry.
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// How the service fails during an outage.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// There is no outage.
    #[default]
    None,
    /// Answers with 503.
    Refuse,
    /// Closes the connection without an answer.
    Close,
    /// Never answers.
    Hang,
}

/// The faults that the stand-in injects until they are replaced.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// The kind of outage, if any.
    pub outage: OutageKind,
    /// How long each answer is delayed.
    pub delay: TimeSpan,
    /// How long each line of a watch, and so each event, is delayed.
    pub watch_delay: TimeSpan,
    /// How many of the next writes take effect but lose their answer.
    pub lost_answers: u32,
}

/// Counts of the calls that the stand-in received.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValueCounts {
    /// Range calls.
    pub reads: u64,
    /// Put, transaction and delete calls, whether or not they changed anything.
    pub writes: u64,
    /// Lease grants, renewals and revocations.
    pub leases: u64,
    /// Watch calls.
    pub watches: u64,
    /// Watches that are open now.
    pub waiting: u64,
}

/// A running stand-in for the key-value service.
#[derive(Debug)]
pub struct KeyValueStandin {
    server: StandinServer,
    service: Rc<KeyValueService>,
}

#[derive(Debug)]
struct KeyValueService {
    origin: Instant,
    store: RefCell<KeyValueStore>,
    faults: Cell<KeyValueFaults>,
    counts: Cell<KeyValueCounts>,
    watchers: RefCell<Vec<Watcher>>,
}

#[derive(Debug)]
struct Watcher {
    range: KeyRange,
    lines: mpsc::UnboundedSender<Bytes>,
}

impl KeyValueStandin {
    /// Starts an empty service on this address; with port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let service = Rc::new(KeyValueService {
            origin: Instant::now(),
            store: RefCell::default(),
            faults: Cell::default(),
            counts: Cell::default(),
            watchers: RefCell::default(),
        });
        let handler: Rc<dyn HttpHandler> = Rc::<KeyValueService>::clone(&service);
        let server = StandinServer::start(address, handler).await?;
        actix_rt::spawn(expire_leases(Rc::downgrade(&service)));
        Ok(Self { server, service })
    }

    /// The address on which the service listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The service's base URL.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: KeyValueFaults) {
        self.service.set_faults(faults);
    }

    /// Counts of the calls received so far.
    #[must_use]
    pub fn counts(&self) -> KeyValueCounts {
        self.service.counts()
    }
}

async fn expire_leases(service: std::rc::Weak<KeyValueService>) {
    loop {
        sleep(LEASE_EXPIRY_INTERVAL).await;
        let Some(service) = service.upgrade() else {
            return;
        };
        let now = service.now();
        service.store.borrow_mut().expire_leases(now);
        service.publish();
    }
}

impl HttpHandler for KeyValueService {
    fn answer(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpAnswer> {
        async move {
            match call.path.as_str() {
                "/standin/faults" => self.update_faults(&call),
                "/standin/counts" => HttpAnswer::json(StatusCode::OK, &self.counts()),
                _ => self.answer_client(&call).await,
            }
        }
        .boxed_local()
    }
}

impl KeyValueService {
    fn now(&self) -> TimeSpan {
        self.origin.elapsed().into()
    }

    fn counts(&self) -> KeyValueCounts {
        let watchers = self.watchers.borrow();
        let waiting = watchers.iter().filter(|w| !w.lines.is_closed()).count();
        KeyValueCounts {
            waiting: waiting as u64,
            ..self.counts.get()
        }
    }

    fn count(&self, increment: impl FnOnce(&mut KeyValueCounts)) {
        let mut counts = self.counts.get();
        increment(&mut counts);
        self.counts.set(counts);
    }

    fn set_faults(&self, faults: KeyValueFaults) {
        self.faults.set(faults);
        if faults.outage != OutageKind::None {
            // An outage also closes open watches.
            self.watchers.borrow_mut().clear();
        }
    }

    fn update_faults(&self, call: &HttpCall) -> HttpAnswer {
        if !call.body.is_empty() {
            match serde_json::from_slice(&call.body) {
                Ok(faults) => self.set_faults(faults),
                Err(e) => return HttpAnswer::text(StatusCode::BAD_REQUEST, &e.to_string()),
            }
        }
        HttpAnswer::json(StatusCode::OK, &self.faults.get())
    }

    async fn answer_client(&self, call: &HttpCall) -> HttpAnswer {
        let faults = self.faults.get();
        sleep(faults.delay.as_duration()).await;
        match faults.outage {
            OutageKind::None => self.dispatch_call(call),
            OutageKind::Refuse => HttpAnswer::text(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            OutageKind::Close => HttpAnswer::Close,
            OutageKind::Hang => std::future::pending().await,
        }
    }

    fn dispatch_call(&self, call: &HttpCall) -> HttpAnswer {
        let result = match call.path.as_str() {
            "/v3/watch" => return self.open_watch(&call.body),
            "/v3/kv/range" => self.range(&call.body),
            "/v3/kv/put" => self.write(&call.body, Self::put),
            "/v3/kv/txn" => self.write(&call.body, Self::txn),
            "/v3/kv/deleterange" => self.write(&call.body, Self::delete),
            "/v3/lease/grant" => self.lease(&call.body, Self::grant),
            "/v3/lease/keepalive" => self.lease(&call.body, |service, request| {
                Ok(service.keep_alive(request))
            }),
            "/v3/lease/revoke" => self.lease(&call.body, Self::revoke),
            _ => return HttpAnswer::text(StatusCode::NOT_FOUND, "no such call"),
        };
        self.publish();
        match result {
            Ok(answer) if self.should_drop_answer(&call.path) => {
                drop(answer);
                HttpAnswer::Close
            }
            Ok(answer) => HttpAnswer::json(StatusCode::OK, &answer),
            Err(error) => error_answer(&error),
        }
    }

    fn should_drop_answer(&self, path: &str) -> bool {
        let mut faults = self.faults.get();
        let write = path.starts_with("/v3/kv/") && path != "/v3/kv/range";
        if !write || faults.lost_answers == 0 {
            return false;
        }
        faults.lost_answers -= 1;
        self.faults.set(faults);
        true
    }

    fn range(&self, body: &[u8]) -> Result<Value, StoreError> {
        self.count(|counts| counts.reads += 1);
        let request = parse::<RangeRequest>(body)?;
        Ok(self.store.borrow().range(&request.range()))
    }

    fn write(
        &self,
        body: &[u8],
        apply: impl FnOnce(&Self, &[u8]) -> Result<Value, StoreError>,
    ) -> Result<Value, StoreError> {
        self.count(|counts| counts.writes += 1);
        apply(self, body)
    }

    fn lease(
        &self,
        body: &[u8],
        apply: impl FnOnce(&Self, &LeaseRequest) -> Result<Value, StoreError>,
    ) -> Result<Value, StoreError> {
        self.count(|counts| counts.leases += 1);
        apply(self, &parse::<LeaseRequest>(body)?)
    }

    fn put(&self, body: &[u8]) -> Result<Value, StoreError> {
        let request = parse::<PutRequest>(body)?;
        let mut store = self.store.borrow_mut();
        store.begin_txn();
        store.put(request.key.0, request.value.0, request.lease.0)?;
        Ok(json!({ "header": store.header() }))
    }

    fn delete(&self, body: &[u8]) -> Result<Value, StoreError> {
        let request = parse::<RangeRequest>(body)?;
        let mut store = self.store.borrow_mut();
        store.begin_txn();
        let deleted = store.delete(&request.range());
        Ok(json!({ "header": store.header(), "deleted": deleted.to_string() }))
    }

    fn txn(&self, body: &[u8]) -> Result<Value, StoreError> {
        let request = parse::<TxnRequest>(body)?;
        let mut store = self.store.borrow_mut();
        let mut succeeded = true;
        for compare in &request.compare {
            succeeded &= store.compare(compare)?;
        }
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        store.begin_txn();
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(apply_operation(&mut store, operation)?);
        }
        let mut answer = json!({ "header": store.header(), "responses": responses });
        if succeeded {
            answer["succeeded"] = json!(true);
        }
        Ok(answer)
    }

    fn grant(&self, request: &LeaseRequest) -> Result<Value, StoreError> {
        let now = self.now();
        let mut store = self.store.borrow_mut();
        let id = store.grant_lease(request.ttl.0, now)?;
        Ok(json!({
            "header": store.header(), "ID": id.to_string(), "TTL": request.ttl.0.to_string(),
        }))
    }

    fn keep_alive(&self, request: &LeaseRequest) -> Value {
        let now = self.now();
        let mut store = self.store.borrow_mut();
        let mut result = json!({ "header": store.header(), "ID": request.id.0.to_string() });
        if let Some(ttl) = store.renew_lease(request.id.0, now) {
            result["TTL"] = json!(ttl.to_string());
        }
        json!({ "result": result })
    }

    fn revoke(&self, request: &LeaseRequest) -> Result<Value, StoreError> {
        let mut store = self.store.borrow_mut();
        store.revoke_lease(request.id.0)?;
        Ok(json!({ "header": store.header() }))
    }

    fn open_watch(&self, body: &[u8]) -> HttpAnswer {
        self.count(|counts| counts.watches += 1);
        let create = match parse::<WatchRequest>(body) {
            Ok(request) => request.create_request,
            Err(error) => return error_answer(&error),
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        self.start_watch(&create, sender);
        let delay = self.faults.get().watch_delay.as_duration();
        HttpAnswer::lines(receiver, delay)
    }

    fn start_watch(&self, create: &WatchCreate, lines: mpsc::UnboundedSender<Bytes>) {
        let store = self.store.borrow();
        let range = create.range();
        let created = json!({ "header": store.header(), "created": true });
        let mut sent = lines.send(watch_line(&created));
        for events in store.history(&range, create.start_revision.0) {
            sent = sent.and_then(|()| lines.send(watch_line(&events)));
        }
        if sent.is_ok() {
            self.watchers.borrow_mut().push(Watcher { range, lines });
        }
    }

    /// Sends unpublished changes to the watches whose range covers them.
    fn publish(&self) {
        let changes = self.store.borrow_mut().take_unpublished();
        let mut watchers = self.watchers.borrow_mut();
        watchers.retain(|watcher| !watcher.lines.is_closed());
        for change in &changes {
            for watcher in watchers.iter().filter(|w| w.range.covers(change.key())) {
                // A failed send means that the watch has closed; the next call removes it.
                drop(watcher.lines.send(watch_line(&change.message())));
            }
        }
    }
}

fn apply_operation(
    store: &mut KeyValueStore,
    operation: TxnOperation,
) -> Result<Value, StoreError> {
    match operation {
        TxnOperation::Put(request) => {
            store.put(request.key.0, request.value.0, request.lease.0)?;
            Ok(json!({ "response_put": { "header": store.header() } }))
        }
        TxnOperation::Range(request) => {
            Ok(json!({ "response_range": store.range(&request.range()) }))
        }
        TxnOperation::Delete(request) => {
            let deleted = store.delete(&request.range()).to_string();
            Ok(json!({ "response_delete_range": { "deleted": deleted } }))
        }
    }
}

fn watch_line(result: &Value) -> Bytes {
    format!("{}\n", json!({ "result": result })).into()
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::Malformed(e.to_string()))
}

fn error_answer(error: &StoreError) -> HttpAnswer {
    let message = error.to_string();
    HttpAnswer::json(
        StatusCode::BAD_REQUEST,
        &json!({ "error": message, "code": 3, "message": message }),
    )
}
