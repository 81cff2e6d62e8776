//! A caller's connection, which carries one request after another.

use std::{rc::Rc, time::Duration};

use actix_rt::time::timeout;
use celerycrank_http::{BodyFraming, HeadError, HttpStream, RequestHead, parse_request};
use celerycrank_process::ShutdownFlag;
use celerycrank_serving::CallerBounds;
use celerycrank_types::{RefusalReason, TimePoint};
use prometheus::IntCounter;
use tokio::{
    net::TcpStream,
    select,
    time::{Instant, timeout_at},
};

use super::{
    answer::answer_request,
    body::read_body,
    refusal::{bad_request, refusal_answer},
    request::RequestDraft,
    space::CallerSpace,
    state::{CountGuard, EntryState},
};

/// Number of buffered bytes of further requests above which no more are read while a request is
/// being answered.
const MAX_PIPELINED_BYTES: usize = 64 << 10;

/// The same while the memory for callers is used up.
const MAX_PIPELINED_BYTES_UNDER_PRESSURE: usize = 4 << 10;

/// The memory of the parsed fields of a head, in bytes.
const HEAD_FIELD_BYTES: usize = 6 << 10;

/// Maximum time for which a caller may read nothing of an answer that is being written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of bytes of an answer that the kernel holds before it sends them.
///
/// Without it, the kernel reports no progress until a large part of its buffer is free, although a
/// slow caller reads all the time.
const MAX_UNSENT_BYTES: u32 = 128 << 10;

/// How long the rest of a refused request is read, so that its answer is not lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// What happens to a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionStep {
    /// It stays open for another request.
    Keep,
    /// It is closed.
    Close,
}

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    pub(crate) stream: HttpStream,
    /// The deadline of the current request, until which a slow caller may read its answer.
    pub(crate) deadline: Option<Instant>,
    /// Counts the answers that were given up since the caller did not read them.
    answers_unread: IntCounter,
    /// The memory that the connection holds.
    space: Rc<CallerSpace>,
    /// The bytes held by the head and the body of the current request.
    pub(crate) request_bytes: usize,
    /// Raised when the entry stops.
    shutdown: ShutdownFlag,
    /// Whether the kernel holds as much of an answer as it can.
    is_unlimited: bool,
}

impl CallerConnection {
    fn new(state: &EntryState, socket: TcpStream, space: Rc<CallerSpace>) -> Self {
        let stream = HttpStream::new(socket);
        if let Err(error) = stream.limit_unsent(MAX_UNSENT_BYTES) {
            tracing::info!(fault = %error, "cannot limit the unsent bytes of a connection");
        }
        Self {
            stream,
            deadline: None,
            answers_unread: state.metrics.answers_unread.clone(),
            space,
            request_bytes: 0,
            shutdown: state.shutdown.clone(),
            is_unlimited: false,
        }
    }

    /// Lets the kernel hold as much of an answer as it can.
    ///
    /// It delivers what it holds also after the process has ended.
    fn lift_limit(&mut self) {
        self.is_unlimited = true;
        if let Err(error) = self.stream.limit_unsent(u32::MAX) {
            tracing::info!(fault = %error, "cannot lift the limit of unsent bytes");
        }
    }

    /// Accounts for what the head, the body and the read buffer hold, after `arrived` more bytes.
    pub(crate) fn hold_body(
        &mut self,
        body_bytes: usize,
        arrived: usize,
    ) -> Result<(), RefusalReason> {
        let held = self.request_bytes + body_bytes + self.stream.buffer.capacity();
        self.space.hold(held, arrived)
    }

    /// Waits until the caller has closed its connection.
    ///
    /// Data that arrives meanwhile stays in the buffer for later requests.
    pub(crate) async fn disconnected(&mut self) {
        loop {
            let limit = if self.space.is_used_up() {
                MAX_PIPELINED_BYTES_UNDER_PRESSURE
            } else {
                MAX_PIPELINED_BYTES
            };
            if self.stream.buffer.len() > limit {
                std::future::pending::<()>().await;
            }
            match self.stream.fill().await {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    // A request that is being answered gets its space.
                    if self.hold_body(0, count).is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Writes to the caller; returns whether everything was written.
    ///
    /// A caller that reads slowly has time until its deadline; one that reads nothing is given up
    /// sooner.
    pub(crate) async fn send(&mut self, bytes: &[u8]) -> bool {
        let started_at = Instant::now();
        let last_end = (started_at + WRITE_TIMEOUT).max(self.deadline.unwrap_or(started_at));
        let mut unsent = bytes;
        while !unsent.is_empty() {
            let end = last_end.min(Instant::now() + WRITE_TIMEOUT);
            let written = select! {
                biased;
                written = timeout_at(end, self.stream.send_some(unsent)) => written,
                () = self.shutdown.raised(), if !self.is_unlimited => {
                    self.lift_limit();
                    continue;
                }
            };
            let error = match written {
                Ok(Ok(count)) if count > 0 => {
                    unsent = &unsent[count..];
                    continue;
                }
                Ok(Ok(_)) => "the connection takes no bytes".to_owned(),
                Ok(Err(error)) => error.to_string(),
                Err(_) => {
                    self.answers_unread.inc();
                    "the caller does not read".to_owned()
                }
            };
            let unsent = unsent.len();
            tracing::info!(fault = error, unsent, "answer not written to its caller");
            return false;
        }
        true
    }

    /// Closes the connection in such a way that the caller can read everything that was written.
    ///
    /// Other connections may need its descriptor meanwhile, which ends the wait for the caller.
    async fn finish(mut self) {
        self.stream.shutdown().await;
        self.stream.buffer.clear();
        self.stream.release_buffer();
        self.space.rest();
        let end = self.space.end_flag();
        // The flag is raised already for a request that gave way, whose caller must read so.
        let is_refused = end.is_raised();
        let draining = async {
            while matches!(self.stream.fill().await, Ok(count) if count > 0) {
                self.stream.buffer.clear();
            }
        };
        // A caller that keeps sending after the timeout loses nothing that it was promised.
        let _ = timeout(LINGER_TIMEOUT, async {
            select! {
                () = draining => {}
                () = end.raised(), if !is_refused => {}
            }
        })
        .await;
    }
}

/// Why no request head was read.
enum HeadReadError {
    /// The caller or the entry has finished with the connection.
    Closed,
    /// The connection was idle and is closed for another one.
    Ended,
    /// The request is refused, and the caller is told why.
    Refused(RefusalReason),
}

/// Serves one connection until either side closes it.
pub(crate) async fn serve_caller(state: Rc<EntryState>, socket: TcpStream, space: Rc<CallerSpace>) {
    let _guard = CountGuard::new(&state.caller_connections);
    let mut caller = CallerConnection::new(&state, socket, space);
    loop {
        let (head, arrival) = match read_head(&state, &mut caller).await {
            Ok(read) => read,
            Err(HeadReadError::Closed) => break,
            // Nothing was written that the caller has not read.
            Err(HeadReadError::Ended) => return,
            Err(HeadReadError::Refused(reason)) => {
                let answer = refusal_answer(&state, None, reason, true);
                caller.send(&answer).await;
                break;
            }
        };
        let serving = serve_request(&state, &mut caller, head, arrival);
        // Boxed so that an idle connection does not hold the memory of a request.
        let step = Box::pin(serving).await;
        if step == ConnectionStep::Close {
            break;
        }
    }
    caller.finish().await;
}

async fn serve_request(
    state: &EntryState,
    caller: &mut CallerConnection,
    head: RequestHead,
    arrival: TimePoint,
) -> ConnectionStep {
    let _guard = CountGuard::new(&state.requests_in_flight);
    let limits = limits_in_force(state);
    state.metrics.requests.inc();
    let framing = BodyFraming::of_request(&head);
    let end = caller.space.end_flag();
    let read = match framing {
        Ok(framing) => select! {
            read = read_body(caller, &head, framing, &limits) => read,
            () = end.raised() => Err(RefusalReason::Overloaded),
            () = state.ending.raised() => Err(RefusalReason::ShuttingDown),
        },
        Err(error) => Err(bad_request(error)),
    };
    let completed = read.and_then(|body| {
        caller.space.complete()?;
        Ok(body)
    });
    let body = match completed {
        Ok(Some(body)) => body,
        Ok(None) => return ConnectionStep::Close,
        Err(reason) => {
            let answer = refusal_answer(state, None, reason, true);
            caller.send(&answer).await;
            return ConnectionStep::Close;
        }
    };
    let draft = RequestDraft {
        head,
        body,
        arrival,
        space: Rc::clone(&caller.space),
    };
    Box::pin(answer_request(state, caller, draft)).await
}

/// The limits of callers under the configuration in force.
fn limits_in_force(state: &EntryState) -> CallerBounds {
    let in_force = state.in_force();
    in_force.map_or_else(CallerBounds::default, |it| it.limits)
}

/// Reads the head of the next request; also returns when it began to arrive.
async fn read_head(
    state: &EntryState,
    caller: &mut CallerConnection,
) -> Result<(RequestHead, TimePoint), HeadReadError> {
    caller.request_bytes = 0;
    caller.stream.release_buffer();
    caller.space.rest();
    let end = caller.space.end_flag();
    if caller.stream.buffer.is_empty() {
        let idle_timeout = limits_in_force(state).idle_timeout;
        let idle = timeout(
            idle_timeout.as_duration(),
            caller.stream.fill_when_readable(),
        );
        select! {
            // A request that has arrived is answered before the connection is closed.
            biased;
            read = idle => match read {
                Ok(Ok(count)) if count > 0 => {}
                _ => return Err(HeadReadError::Closed),
            },
            () = state.shutdown.raised() => return Err(HeadReadError::Closed),
            () = end.raised() => return Err(HeadReadError::Ended),
        }
    }
    let arrival = state.clock.now();
    caller.space.begin();
    // A newer configuration may have been put in force while the connection was idle.
    let limits = limits_in_force(state);
    let limit = usize::try_from(limits.head.0).unwrap_or(usize::MAX);
    let reading = async {
        let mut arrived = caller.stream.buffer.len();
        loop {
            let capacity = caller.stream.buffer.capacity();
            caller
                .space
                .hold(capacity, arrived)
                .map_err(HeadReadError::Refused)?;
            match parse_request(&mut caller.stream.buffer, limit) {
                Ok(Some(head)) => {
                    caller.request_bytes = capacity + HEAD_FIELD_BYTES;
                    return Ok(head);
                }
                Ok(None) => {}
                Err(HeadError::TooLarge | HeadError::TooManyFields) => {
                    return Err(HeadReadError::Refused(RefusalReason::HeaderTooLarge));
                }
                Err(error) => return Err(HeadReadError::Refused(bad_request(error))),
            }
            match caller.stream.fill().await {
                Ok(count) if count > 0 => arrived = count,
                _ => return Err(HeadReadError::Closed),
            }
        }
    };
    let reading = async {
        select! {
            read = reading => read,
            () = end.raised() => Err(HeadReadError::Refused(RefusalReason::Overloaded)),
        }
    };
    match timeout(limits.head_timeout.as_duration(), reading).await {
        Ok(Ok(head)) => Ok((head, arrival)),
        Ok(Err(end)) => Err(end),
        Err(_) => Err(HeadReadError::Refused(RefusalReason::CallerTooSlow)),
    }
}
