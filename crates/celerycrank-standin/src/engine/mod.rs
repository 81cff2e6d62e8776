//! A stand-in for a model engine with the common chat-completions interface.

mod batch;
mod cache;
mod completion;
mod control;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use actix_http::{Response, StatusCode, body::BodyStream};
use actix_rt::time::sleep;
use bytes::Bytes;
use celerycrank_types::{ModelId, TimePoint, TimeSpan};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use serde::{Deserialize, Serialize};

use crate::{
    HttpAnswer, HttpCall, HttpHandler, REQUEST_ID_HEADER, StandinServer,
    engine::{
        batch::BatchSlots,
        cache::PrefixCache,
        completion::{Completion, CompletionRequest},
        control::OrderHandler,
    },
};

/// Options of the engine.
#[derive(Debug, Clone, bon::Builder)]
pub struct EngineOptions {
    /// The model to serve.
    pub model: ModelId,
    /// Maximum number of requests in a batch.
    #[builder(default = 16)]
    pub batch: usize,
    /// Time per token with a single request in the batch.
    #[builder(default = TimeSpan::from_millis(5))]
    pub token_time: TimeSpan,
    /// Time that each additional request in the batch adds per token.
    #[builder(default = TimeSpan(250))]
    pub extra_request_time: TimeSpan,
    /// Prefill time per token that is not cached.
    #[builder(default = TimeSpan(100))]
    pub prefill: TimeSpan,
    /// Capacity of the prefix cache in blocks.
    #[builder(default = 1_024)]
    pub cache_blocks: usize,
    /// Delay until cache events become visible.
    #[builder(default)]
    pub event_lag: TimeSpan,
    /// Every n-th cache event is lost; zero loses none.
    #[builder(default)]
    pub event_loss_interval: u64,
    /// Maximum age of the reported load.
    #[builder(default)]
    pub load_lag: TimeSpan,
    /// How long a stream without a reader can be resumed before it is cancelled.
    #[builder(default)]
    pub resume_window: TimeSpan,
    /// Whether orders with a stale fencing number are refused.
    #[builder(default)]
    pub fencing: bool,
}

/// The faults that the engine injects into answers until they are replaced.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Closes the connection after this many tokens.
    pub close_after: Option<usize>,
    /// Stalls the stream after this many tokens.
    pub stall_after: Option<usize>,
    /// Sends bytes that are not an event stream as a streamed answer.
    pub garbage: bool,
    /// Answers with the id of another request.
    pub other_id: bool,
}

/// Counts of the engine's completions and tokens.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Completions started.
    pub started: u64,
    /// Completions that finished.
    pub finished: u64,
    /// Completions cancelled because they had no reader for too long.
    pub cancelled: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens that were prefilled.
    pub prefilled_tokens: u64,
}

/// A running engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    server: StandinServer,
    service: Rc<EngineService>,
}

#[derive(Debug)]
struct EngineService {
    options: EngineOptions,
    origin: Instant,
    slots: Rc<BatchSlots>,
    cache: RefCell<PrefixCache>,
    completions: RefCell<HashMap<String, Rc<Completion>>>,
    faults: Cell<EngineFaults>,
    counts: Cell<EngineCounts>,
    order_handler: OrderHandler,
}

impl EngineStandin {
    /// Starts an idle engine on this address; with port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, options: EngineOptions) -> io::Result<Self> {
        let cache = PrefixCache::new(
            options.cache_blocks,
            options.event_lag,
            options.event_loss_interval,
        );
        let service = Rc::new(EngineService {
            origin: Instant::now(),
            slots: Rc::new(BatchSlots::new(options.batch)),
            cache: RefCell::new(cache),
            completions: RefCell::default(),
            faults: Cell::default(),
            counts: Cell::default(),
            order_handler: OrderHandler::new(options.fencing),
            options,
        });
        let handler: Rc<dyn HttpHandler> = Rc::<EngineService>::clone(&service);
        let server = StandinServer::start(address, handler).await?;
        Ok(Self { server, service })
    }

    /// The address on which the engine listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.service.faults.set(faults);
    }

    /// The counts so far.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.service.counts.get()
    }
}

impl HttpHandler for EngineService {
    fn answer(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpAnswer> {
        async move {
            match call.path.as_str() {
                "/v1/chat/completions" => self.complete(&call).await,
                _ => self.answer_control(&call),
            }
        }
        .boxed_local()
    }
}

impl EngineService {
    fn now(&self) -> TimePoint {
        TimePoint::default() + self.origin.elapsed().into()
    }

    fn count(&self, increment: impl FnOnce(&mut EngineCounts)) {
        let mut counts = self.counts.get();
        increment(&mut counts);
        self.counts.set(counts);
    }

    async fn complete(self: &Rc<Self>, call: &HttpCall) -> HttpAnswer {
        if let Some(event_id) = call.header("last-event-id") {
            return self.resume(event_id, call);
        }
        let request = match serde_json::from_slice::<CompletionRequest>(&call.body) {
            Ok(request) => request,
            Err(e) => return HttpAnswer::text(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        if request.model != self.options.model.as_str() {
            return HttpAnswer::text(StatusCode::NOT_FOUND, "the model is not served here");
        }
        let completion = self.start_completion(&request, call);
        if request.stream {
            return self.stream(completion, 0, call);
        }
        let reader = CompletionReader::new(completion);
        reader.wait_for_tokens(usize::MAX).await;
        let value = reader.completion.full_answer(request.prompt().len());
        self.respond(call, value.to_string().into())
    }

    /// Starts a completion; its task runs whether or not it has a reader yet.
    fn start_completion(
        self: &Rc<Self>,
        request: &CompletionRequest,
        call: &HttpCall,
    ) -> Rc<Completion> {
        self.count(|counts| counts.started += 1);
        let number = self.counts.get().started;
        let id = match call.header(REQUEST_ID_HEADER) {
            Some(id) => id.to_owned(),
            None => format!("cmpl-{number}"),
        };
        let completion = Rc::new(Completion::new(
            id.clone(),
            request.model.clone(),
            prompt_tag(&request.prompt()),
        ));
        let mut completions = self.completions.borrow_mut();
        completions.insert(id, Rc::clone(&completion));
        let prompt = request.prompt();
        let cached = self.cache.borrow_mut().insert_prompt(&prompt, self.now());
        let prefilled = prompt.len() - cached;
        self.count(|counts| {
            counts.cached_tokens += cached as u64;
            counts.prefilled_tokens += prefilled as u64;
        });
        let prefill = TimeSpan(self.options.prefill.0 * prefilled as u64);
        let task_completion = Rc::clone(&completion);
        let generation = Rc::clone(self).generate(
            task_completion,
            request.priority,
            prefill,
            request.token_count(),
        );
        actix_rt::spawn(generation);
        completion
    }

    async fn generate(
        self: Rc<Self>,
        completion: Rc<Completion>,
        priority: i64,
        prefill: TimeSpan,
        tokens: usize,
    ) {
        let slot = self.slots.acquire(priority).await;
        sleep(prefill.as_duration()).await;
        let mut unread_time = TimeSpan::ZERO;
        while completion.len() < tokens {
            let step = self
                .slots
                .step_time(self.options.token_time, self.options.extra_request_time);
            sleep(step.as_duration()).await;
            unread_time = match completion.readers.get() {
                0 => unread_time + step,
                _ => TimeSpan::ZERO,
            };
            if unread_time > self.options.resume_window {
                self.count(|counts| counts.cancelled += 1);
                self.completions.borrow_mut().remove(&completion.id);
                return;
            }
            completion.push_token();
        }
        drop(slot);
        self.count(|counts| counts.finished += 1);
        completion.finish();
    }

    fn resume(self: &Rc<Self>, event_id: &str, call: &HttpCall) -> HttpAnswer {
        let parsed = event_id.rsplit_once(':');
        let index = parsed.and_then(|(_, index)| index.parse::<usize>().ok());
        let id = parsed.map_or("", |(id, _)| id);
        let found = self.completions.borrow().get(id).cloned();
        match (found, index) {
            (Some(completion), Some(index)) => {
                self.count(|counts| counts.resumed += 1);
                self.stream(completion, index + 1, call)
            }
            _ => HttpAnswer::text(StatusCode::NOT_FOUND, "the stream cannot be resumed"),
        }
    }

    fn stream(
        self: &Rc<Self>,
        completion: Rc<Completion>,
        first_index: usize,
        call: &HttpCall,
    ) -> HttpAnswer {
        let faults = self.faults.get();
        if faults.garbage {
            return self.respond(call, Bytes::from_static(b"\0\xff not an event"));
        }
        let reader = CompletionReader::new(completion);
        let events = stream::unfold(Some((reader, first_index)), move |state| async move {
            let (reader, index) = state?;
            reader.next_event(index, faults).await
        });
        let mut builder = Response::build(StatusCode::OK);
        builder.insert_header(("content-type", "text/event-stream"));
        builder.insert_header((REQUEST_ID_HEADER, self.echoed_request_id(call)));
        let body = BodyStream::new(events.boxed_local());
        HttpAnswer::Respond(builder.body(body).map_into_boxed_body())
    }

    fn respond(&self, call: &HttpCall, body: Bytes) -> HttpAnswer {
        let mut builder = Response::build(StatusCode::OK);
        builder.insert_header(("content-type", "application/json"));
        builder.insert_header((REQUEST_ID_HEADER, self.echoed_request_id(call)));
        HttpAnswer::Respond(builder.body(body).map_into_boxed_body())
    }

    fn echoed_request_id<'call>(&self, call: &'call HttpCall) -> &'call str {
        if self.faults.get().other_id {
            return "00000000000000000000000000000bad";
        }
        call.header(REQUEST_ID_HEADER).unwrap_or_default()
    }
}

/// A reader of a completion; one that has no reader beyond the resume window is cancelled.
struct CompletionReader {
    completion: Rc<Completion>,
}

type NextEvent = Option<(io::Result<Bytes>, Option<(CompletionReader, usize)>)>;

impl CompletionReader {
    fn new(completion: Rc<Completion>) -> Self {
        completion.readers.set(completion.readers.get() + 1);
        Self { completion }
    }

    /// Waits until this many tokens exist or the completion has finished.
    async fn wait_for_tokens(&self, count: usize) {
        while self.completion.len() < count && !self.completion.finished.get() {
            self.completion.changed.notified().await;
        }
    }

    async fn next_event(self, index: usize, faults: EngineFaults) -> NextEvent {
        if faults.close_after.is_some_and(|after| index >= after) {
            return Some((
                Err(io::Error::other("injected fault: connection closed")),
                None,
            ));
        }
        if faults.stall_after.is_some_and(|after| index >= after) {
            std::future::pending::<()>().await;
        }
        self.wait_for_tokens(index + 1).await;
        if index < self.completion.len() {
            return Some((
                Ok(self.completion.token_event(index)),
                Some((self, index + 1)),
            ));
        }
        Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None))
    }
}

impl Drop for CompletionReader {
    fn drop(&mut self) {
        let readers = &self.completion.readers;
        readers.set(readers.get() - 1);
    }
}

fn prompt_tag(prompt: &[&str]) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    format!("{:08x}", hasher.finish() & 0xffff_ffff)
}
