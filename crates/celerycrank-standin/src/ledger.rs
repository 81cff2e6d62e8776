//! A stand-in for a plain service: a ledger that records every call it executes.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
};

use actix_http::{Response, StatusCode, body::BodyStream};
use actix_rt::time::sleep;
use bytes::Bytes;
use celerycrank_types::TimeSpan;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{HttpAnswer, HttpCall, HttpHandler, REQUEST_ID_HEADER, StandinServer};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A fault in an answer, injected after the call was executed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFaultKind {
    /// The answer is correct.
    #[default]
    None,
    /// The connection is closed without an answer.
    Close,
    /// The connection is closed in the middle of the body.
    CloseMidway,
    /// The head is sent, but no body follows.
    Stall,
    /// The body is not valid JSON.
    Garbage,
    /// The answer carries the id of another request.
    OtherId,
}

/// The faults that the ledger injects until they are replaced.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerFaults {
    /// How long the answer to a call is delayed.
    pub delay: TimeSpan,
    /// The fault to inject into answers.
    #[serde(rename = "spoiler")]
    pub answer_fault: AnswerFaultKind,
    /// How many of the next answers are faulty.
    #[serde(rename = "spoilt_answers")]
    pub faulty_answers: u32,
}

/// A call that the ledger executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The request's id, if it carried one.
    pub request: Option<String>,
    /// The idempotency key, if it carried one.
    pub key: Option<String>,
    /// The body, as text.
    pub body: String,
}

/// A running ledger stand-in.
#[derive(Debug)]
pub struct LedgerStandin {
    server: StandinServer,
    service: Rc<LedgerService>,
}

#[derive(Debug, Default)]
struct LedgerService {
    records: RefCell<Vec<LedgerRecord>>,
    faults: Cell<LedgerFaults>,
}

impl LedgerStandin {
    /// Starts an empty ledger on this address; with port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let service = Rc::new(LedgerService::default());
        let handler: Rc<dyn HttpHandler> = Rc::<LedgerService>::clone(&service);
        let server = StandinServer::start(address, handler).await?;
        Ok(Self { server, service })
    }

    /// The address on which the ledger listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: LedgerFaults) {
        self.service.faults.set(faults);
    }

    /// The executed calls, in order.
    #[must_use]
    pub fn records(&self) -> Vec<LedgerRecord> {
        self.service.records.borrow().clone()
    }

    /// How many calls with this idempotency key were executed.
    #[must_use]
    pub fn runs_of_key(&self, key: &str) -> usize {
        let records = self.service.records.borrow();
        let matching = |record: &&LedgerRecord| record.key.as_deref() == Some(key);
        records.iter().filter(matching).count()
    }
}

impl HttpHandler for LedgerService {
    fn answer(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpAnswer> {
        async move {
            match call.path.as_str() {
                "/standin/records" => HttpAnswer::json(StatusCode::OK, &*self.records.borrow()),
                "/standin/faults" => self.update_faults(&call),
                _ => self.run(&call).await,
            }
        }
        .boxed_local()
    }
}

impl LedgerService {
    fn update_faults(&self, call: &HttpCall) -> HttpAnswer {
        match serde_json::from_slice(&call.body) {
            Ok(faults) => self.faults.set(faults),
            Err(e) => return HttpAnswer::text(StatusCode::BAD_REQUEST, &e.to_string()),
        }
        HttpAnswer::json(StatusCode::OK, &self.faults.get())
    }

    /// Records the call before the delay, so that it takes effect even if the caller disconnects.
    async fn run(&self, call: &HttpCall) -> HttpAnswer {
        let number = self.record(call);
        sleep(self.faults.get().delay.as_duration()).await;
        let request = call.header(REQUEST_ID_HEADER).unwrap_or_default();
        let body = json!({ "recorded": number, "path": call.path, "request": request });
        match self.next_answer_fault() {
            AnswerFaultKind::None => respond(request, body.to_string().into()),
            AnswerFaultKind::Close => HttpAnswer::Close,
            AnswerFaultKind::CloseMidway => abort_midway(request, &body.to_string()),
            AnswerFaultKind::Stall => stall(request),
            AnswerFaultKind::Garbage => respond(request, Bytes::from_static(b"\0\xff not JSON {")),
            AnswerFaultKind::OtherId => {
                respond("00000000000000000000000000000bad", body.to_string().into())
            }
        }
    }

    fn record(&self, call: &HttpCall) -> usize {
        let header = |name| call.header(name).map(str::to_owned);
        let mut records = self.records.borrow_mut();
        records.push(LedgerRecord {
            method: call.method.to_string(),
            path: call.path.clone(),
            request: header(REQUEST_ID_HEADER),
            key: header(IDEMPOTENCY_KEY_HEADER),
            body: String::from_utf8_lossy(&call.body).into_owned(),
        });
        records.len()
    }

    fn next_answer_fault(&self) -> AnswerFaultKind {
        let mut faults = self.faults.get();
        if faults.faulty_answers == 0 {
            return AnswerFaultKind::None;
        }
        faults.faulty_answers -= 1;
        self.faults.set(faults);
        faults.answer_fault
    }
}

fn respond(request: &str, body: Bytes) -> HttpAnswer {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((REQUEST_ID_HEADER, request));
    HttpAnswer::Respond(builder.body(body).map_into_boxed_body())
}

fn abort_midway(request: &str, body: &str) -> HttpAnswer {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let aborted = Err(io::Error::other("injected fault: connection closed"));
    let parts = stream::iter([Ok::<_, io::Error>(half), aborted]);
    respond_stream(request, parts)
}

fn stall(request: &str) -> HttpAnswer {
    respond_stream(request, stream::pending::<io::Result<Bytes>>())
}

fn respond_stream(
    request: &str,
    parts: impl futures_util::Stream<Item = io::Result<Bytes>> + 'static,
) -> HttpAnswer {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((REQUEST_ID_HEADER, request));
    let body = BodyStream::new(parts.boxed_local());
    HttpAnswer::Respond(builder.body(body).map_into_boxed_body())
}
