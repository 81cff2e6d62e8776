//! Sends a request to the backend server and relays its answer to the entry.

use std::{cell::Cell, pin::pin, time::Duration};

use actix_rt::time::{Instant, sleep, sleep_until};
use bytes::Bytes;
use celerycrank_config::BackendKind;
use celerycrank_link::MessageSender;
use celerycrank_requests::CallStatus;
use celerycrank_types::{TimeSpan, TokenCount, UnknownReason};
use celerycrank_wire::{PeerReply, RunOrder};

use crate::{
    backend::{BackendAnswer, BackendError},
    idle::IdleTimer,
    reply::answer_head,
    run::{AttemptOutcome, HEARTBEAT_INTERVAL},
    state::AgentState,
};

/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

/// The result of forwarding a request to the backend server.
#[derive(Debug)]
pub(crate) struct ForwardResult {
    pub(crate) outcome: AttemptOutcome,
    /// The status of the answer, if there was one.
    pub(crate) status: Option<CallStatus>,
    /// Tokens that the request used.
    pub(crate) used_tokens: TokenCount,
}

/// Sends a request to the backend server and relays its answer to the entry.
pub(crate) async fn forward(
    state: &AgentState,
    order: &RunOrder,
    sender: &mut MessageSender,
) -> ForwardResult {
    let mut relay = AnswerRelay {
        state,
        order,
        sender,
        idle_timeout: state.settings.backend.idle_timeout.as_duration(),
        entry_reads: true,
        chunks: 0,
    };
    let mut answer = match relay.await_head().await {
        Ok(answer) => answer,
        Err(outcome) => {
            return ForwardResult {
                outcome,
                status: None,
                used_tokens: order.cost,
            };
        }
    };
    let status = Some(CallStatus(answer.status));
    let outcome = relay.relay_body(&mut answer).await;
    ForwardResult {
        outcome,
        status,
        used_tokens: relay.used_tokens(),
    }
}

/// Relays one answer from the backend server to the entry.
struct AnswerRelay<'task> {
    state: &'task AgentState,
    order: &'task RunOrder,
    sender: &'task mut MessageSender,
    /// Maximum time without data from the backend server.
    idle_timeout: Duration,
    /// Whether the entry still reads the answer.
    entry_reads: bool,
    /// Chunks of the answer, which approximate its tokens if it is streamed.
    chunks: u64,
}

impl AnswerRelay<'_> {
    async fn await_head(&mut self) -> Result<BackendAnswer, AttemptOutcome> {
        let state = self.state;
        let last_progress = Cell::new(Instant::now());
        let on_progress = || last_progress.set(Instant::now());
        let mut send = pin!(state.backend.send(self.order, on_progress));
        let mut closed = pin!(self.sender.closed());
        let mut idle = IdleTimer::new(self.idle_timeout);
        let mut heartbeat = pin!(sleep(HEARTBEAT_INTERVAL));
        loop {
            tokio::select! {
                // After this process was frozen, an answer and a timeout may be due at once.
                biased;
                result = &mut send => return result.map_err(AttemptOutcome::from),
                () = &mut closed, if self.entry_reads => self.handle_closed()?,
                () = idle.wait() => {
                    if last_progress.get().elapsed() >= self.idle_timeout {
                        return Err(AttemptOutcome::Unknown(UnknownReason::BackendTimeout));
                    }
                    idle.restart();
                }
                () = &mut heartbeat => {
                    let next = Instant::now() + HEARTBEAT_INTERVAL;
                    heartbeat.as_mut().reset(next);
                    self.send(&PeerReply::Waiting(state.load())).await?;
                }
            }
        }
    }

    async fn relay_body(&mut self, answer: &mut BackendAnswer) -> AttemptOutcome {
        let head = answer_head(self.state, self.order, answer, TimeSpan::ZERO);
        match self.relay_chunks(answer, PeerReply::Head(head)).await {
            Ok(()) if self.entry_reads => AttemptOutcome::Answered,
            Ok(()) => AttemptOutcome::Cancelled,
            Err(outcome) => outcome,
        }
    }

    async fn relay_chunks(
        &mut self,
        answer: &mut BackendAnswer,
        head: PeerReply,
    ) -> Result<(), AttemptOutcome> {
        self.send(&head).await?;
        let mut closed = pin!(self.sender.closed());
        let mut idle = IdleTimer::new(self.idle_timeout);
        loop {
            idle.restart();
            let mut heartbeat = pin!(sleep_until(Instant::now() + HEARTBEAT_INTERVAL));
            let message = loop {
                tokio::select! {
                    // After this process was frozen or the entry did not read, a chunk and a
                    // timeout may be due at once.
                    biased;
                    result = answer.next_chunk() => match result {
                        Ok(Some(chunk)) => break self.count_chunk(chunk),
                        Ok(None) => return Ok(()),
                        Err(error) => return Err(error.into()),
                    },
                    () = &mut closed, if self.entry_reads => self.handle_closed()?,
                    () = idle.wait() => {
                        return Err(AttemptOutcome::Unknown(UnknownReason::BackendTimeout));
                    }
                    () = &mut heartbeat => {
                        let next = Instant::now() + HEARTBEAT_INTERVAL;
                        heartbeat.as_mut().reset(next);
                        self.send(&PeerReply::Waiting(self.state.load())).await?;
                    }
                }
            };
            self.send(&message).await?;
        }
    }

    fn count_chunk(&mut self, chunk: Bytes) -> PeerReply {
        self.chunks += 1;
        PeerReply::Chunk(chunk)
    }

    /// Sends a message unless the entry has stopped reading.
    async fn send(&mut self, message: &PeerReply) -> Result<(), AttemptOutcome> {
        if self.entry_reads && self.sender.send(message).await.is_err() {
            return self.handle_closed();
        }
        Ok(())
    }

    /// Cancels the request once the entry has stopped reading, unless its outcome must be
    /// recorded under an idempotency key.
    fn handle_closed(&mut self) -> Result<(), AttemptOutcome> {
        self.entry_reads = false;
        if self.order.key.is_some() {
            Ok(())
        } else {
            Err(AttemptOutcome::Cancelled)
        }
    }

    fn used_tokens(&self) -> TokenCount {
        match self.state.settings.backend.kind {
            BackendKind::Engine(_) => {
                let prompt = self.order.body.len() as u64 / BYTES_PER_TOKEN;
                TokenCount(prompt + self.chunks)
            }
            BackendKind::Service(_) => self.order.cost,
        }
    }
}

impl From<BackendError> for AttemptOutcome {
    fn from(error: BackendError) -> Self {
        match error {
            BackendError::NotRun(reason) => Self::Refused(reason, None),
            BackendError::Unknown(reason) => Self::Unknown(reason),
        }
    }
}
