//! One attempt to send a request to a backend server, up to the head of its answer.

use std::{net::SocketAddr, time::Duration};

use actix_rt::time::timeout;
use bytes::Bytes;
use celerycrank_http::{BodyDecoder, BodyFraming, BodyStep, HttpStream, ResponseHead, TcpTimeouts};
use celerycrank_platform::{AnswerMetadata, ForwardMetadata, write_forwarded};
use celerycrank_serving::{BackendRegistration, LimitNotice, SendObstacle};
use celerycrank_types::{TimePoint, TimeSpan, UnknownReason};

use super::{
    departure::{read_leaving, read_pause},
    limits::note_limit,
    own_head::{OwnHead, read_own_head},
    progress::SendGuard,
    request::AdmittedRequest,
    sending::SendingStream,
    state::EntryState,
};

/// Timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeouts that detect a backend server that has stopped responding.
const DEAD_PEER_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    user_timeout: Duration::from_millis(1_500),
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    probes: 2,
};

/// Maximum length of a message that a backend server's kernel buffers even if its process does not
/// read, in bytes.
///
/// Of a longer message, bytes may stay unacknowledged because the process reads them late; the
/// kernel's timeout cannot tell that from an unreachable peer.
const MAX_BUFFERED_MESSAGE: usize = 32 << 10;

/// Minimum time left to forward a request; with less, a backend server would drop it immediately.
const MIN_TIME_LEFT: TimeSpan = TimeSpan::from_millis(5);

/// Why an attempt produced no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// Nothing was sent: the backend server could not be reached.
    NotSent,
    /// Nothing was sent: too little time was left until the request's deadline.
    TooLate,
    /// The backend server reports that it did not run the request.
    NotRun,
    /// The address belongs to another backend server, which did not run the request.
    Misdirected,
    /// The backend server does not have what the request asks for and did not run it.
    Unsuitable,
    /// The request may have run.
    Broken(UnknownReason),
    /// Nothing was sent: the configuration is too old to tell whether the caller's key is still
    /// valid.
    Stale,
    /// Nothing was sent: since the choice of the backend server, an obstacle has arisen.
    Withheld(SendObstacle),
}

impl AttemptError {
    /// Whether a backend server reported that it did not run the request.
    pub(crate) const fn proves_not_run(self) -> bool {
        matches!(self, Self::NotRun | Self::Misdirected | Self::Unsuitable)
    }
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct OpenAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) body: AnswerBody,
}

/// The unread body of an answer, together with its connection.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    pub(crate) stream: SendingStream,
    decoder: BodyDecoder,
    /// Whether nothing but the end of the connection marks the end of the body.
    pub(crate) ends_with_connection: bool,
    is_persistent: bool,
    idle_timeout: Option<TimeSpan>,
    registration: BackendRegistration,
}

impl AnswerBody {
    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// Cancel-safe: no data is lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, UnknownReason> {
        loop {
            let step = self.decoder.decode(&mut self.stream.stream.buffer);
            match step.map_err(bad_answer)? {
                BodyStep::Data(data) => return Ok(Some(data)),
                BodyStep::Complete => return Ok(None),
                BodyStep::Incomplete => {}
            }
            match self.stream.fill().await {
                Ok(0) => {
                    self.is_persistent = false;
                    self.decoder.finish().map_err(incomplete_answer)?;
                }
                Ok(_) => {}
                Err(error) => return Err(connection_lost(error)),
            }
        }
    }

    /// Returns the connection to the pool if the answer was read to its end.
    pub(crate) fn release(mut self, state: &EntryState) {
        let is_clean = self.decoder.is_complete()
            && self.is_persistent
            && self.stream.is_fully_sent()
            && self.stream.stream.is_reusable()
            && !state.backends.borrow().has_left(&self.registration);
        if is_clean {
            let (backend, address) = (&self.registration.backend, self.registration.address);
            let now = state.clock.now();
            state
                .pool
                .put(backend, address, self.stream.stream, self.idle_timeout, now);
        }
    }
}

/// Sends a request to a backend server and reads the head of its answer.
///
/// `sending` records the send as soon as it begins, so that it holds even if the future is dropped.
pub(crate) async fn open_attempt(
    state: &EntryState,
    request: &AdmittedRequest,
    registration: &BackendRegistration,
    last_event: Option<u64>,
    sending: &SendGuard<'_>,
) -> Result<OpenAnswer, AttemptError> {
    let (stream, is_reused) = connect(state, registration).await?;
    // A key must not be used once it may have been revoked.
    if request.account.is_some() && !state.is_fresh() {
        return Err(AttemptError::Stale);
    }
    let now = state.clock.now();
    let time_left = request.deadline.since(now);
    if time_left < MIN_TIME_LEFT {
        return Err(AttemptError::TooLate);
    }
    // Checked last, since this records a send.
    let admitted = state.backends.borrow_mut().admit_send(registration, now);
    admitted.map_err(AttemptError::Withheld)?;
    let metadata = ForwardMetadata {
        account: request.account.as_ref(),
        time_left: Some(time_left),
        backend: &registration.backend,
        last_event,
        priority: request.urgency(),
        length: request.body.length,
    };
    let mut message = write_forwarded(&request.head, &metadata);
    let is_long = message.len() + request.body.length > MAX_BUFFERED_MESSAGE;
    // A short body is sent with its head in one segment; a long one is not copied.
    let mut blocks = request.body.blocks.as_slice();
    if !is_long {
        for block in blocks {
            message.extend_from_slice(block);
        }
        blocks = &[];
    }
    if is_long {
        await_late_reads(&stream, time_left);
    }
    sending.note_sent();
    let mut stream = SendingStream::new(stream, message.freeze(), blocks);
    let mut answer = read_own_head(state, &mut stream, request, is_reused).await?;
    // The next request would wait until this one is read.
    answer.is_reusable &= !is_long;
    read_limit(state, registration, &answer.metadata, now);
    read_cold_remaining(state, registration, &answer.metadata);
    read_leaving(state, registration, &answer.metadata);
    read_pause(state, registration, &answer.metadata);
    check_answer(request, stream, answer, registration)
}

/// Lets a connection wait until the deadline for a backend server that reads a long message late.
fn await_late_reads(stream: &HttpStream, time_left: TimeSpan) {
    let wait = DEAD_PEER_TIMEOUTS.user_timeout.max(time_left.as_duration());
    if let Err(error) = stream.set_user_timeout(wait) {
        tracing::info!(fault = %error, "cannot set the timeout of a long message");
    }
}

/// Records the limit that a backend server names in an answer, or that it names none.
fn read_limit(
    state: &EntryState,
    registration: &BackendRegistration,
    metadata: &AnswerMetadata,
    sent_at: TimePoint,
) {
    if metadata.is_misdirected {
        return;
    }
    let backend = &registration.backend;
    let rate = match &metadata.request_limit {
        Ok(rate) => *rate,
        Err(error) => {
            tracing::info!(%backend, fault = %error, "limit of a backend server is ignored");
            return;
        }
    };
    let notice = LimitNotice {
        rate,
        sent_at,
        now: state.clock.now(),
    };
    note_limit(state, backend, notice);
}

/// Records how much longer a backend server is cold, if it states that in an answer.
fn read_cold_remaining(
    state: &EntryState,
    registration: &BackendRegistration,
    metadata: &AnswerMetadata,
) {
    if metadata.is_misdirected {
        return;
    }
    let backend = &registration.backend;
    match &metadata.cold_remaining {
        Ok(Some(remaining)) => {
            let now = state.clock.now();
            let mut backends = state.backends.borrow_mut();
            if backends.note_cold(backend, *remaining, now) {
                state.limits.ask_soon();
                tracing::info!(%backend, %remaining, "backend server is cold");
            }
        }
        Ok(None) => {}
        Err(error) => {
            state.metrics.evacuation.cold_errors.inc();
            tracing::info!(%backend, fault = %error, "cold time of a backend server is ignored");
        }
    }
}

/// Returns a connection and whether it has carried requests before.
async fn connect(
    state: &EntryState,
    registration: &BackendRegistration,
) -> Result<(HttpStream, bool), AttemptError> {
    let now = state.clock.now();
    if let Some(stream) = state
        .pool
        .take(&registration.backend, registration.address, now)
    {
        return Ok((stream, true));
    }
    state.metrics.connections_made.inc();
    let stream = open_connection(registration.address).await;
    Ok((stream.ok_or(AttemptError::NotSent)?, false))
}

async fn open_connection(address: SocketAddr) -> Option<HttpStream> {
    let connecting = HttpStream::connect(address, DEAD_PEER_TIMEOUTS);
    match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => return Some(stream),
        Ok(Err(error)) => {
            tracing::info!(%address, fault = %error, "cannot connect to a backend server");
        }
        Err(_) => {
            tracing::info!(%address, fault = "timeout", "cannot connect to a backend server");
        }
    }
    None
}

/// Checks that the answer can be passed on.
fn check_answer(
    request: &AdmittedRequest,
    stream: SendingStream,
    answer: OwnHead,
    registration: &BackendRegistration,
) -> Result<OpenAnswer, AttemptError> {
    let OwnHead {
        head,
        metadata,
        is_reusable,
    } = answer;
    let framing = BodyFraming::of_response(&head, &request.head.method);
    let framing = framing.map_err(|error| AttemptError::Broken(bad_answer(error)))?;
    let body = AnswerBody {
        stream,
        decoder: BodyDecoder::new(framing),
        ends_with_connection: framing == BodyFraming::UntilClose,
        is_persistent: head.is_persistent() && is_reusable,
        idle_timeout: head.keep_alive_timeout(),
        registration: registration.clone(),
    };
    if metadata.is_misdirected {
        let is_other = metadata.proves_other_backend(&registration.backend, &request.head);
        return Err(if is_other {
            AttemptError::Misdirected
        } else {
            AttemptError::Unsuitable
        });
    }
    if metadata.proves_not_run {
        return Err(AttemptError::NotRun);
    }
    if !metadata.has_signature {
        return Err(AttemptError::Broken(UnknownReason::BadAnswer));
    }
    Ok(OpenAnswer { head, body })
}

/// Logs why the answer of a backend server cannot be passed on.
pub(crate) fn bad_answer(error: impl std::fmt::Display) -> UnknownReason {
    tracing::info!(fault = %error, "answer of a backend server cannot be used");
    UnknownReason::BadAnswer
}

/// Logs why the connection to a backend server ended before its answer.
pub(crate) fn connection_lost(error: impl std::fmt::Display) -> UnknownReason {
    tracing::info!(fault = %error, "connection to a backend server lost");
    UnknownReason::BackendBroke
}

/// Logs why the answer of a backend server is incomplete.
pub(crate) fn incomplete_answer(error: impl std::fmt::Display) -> UnknownReason {
    tracing::info!(fault = %error, "answer of a backend server is incomplete");
    UnknownReason::BackendBroke
}
