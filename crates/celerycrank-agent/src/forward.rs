//! Hands a request to the backend server and passes its answer on.

use std::{pin::pin, time::Duration};

use actix_rt::time::{Instant, sleep, sleep_until};
use bytes::Bytes;
use celerycrank_config::BackendKind;
use celerycrank_link::MessageSender;
use celerycrank_requests::CallStatus;
use celerycrank_types::{TimeSpan, TokenCount, UnknownReason};
use celerycrank_wire::{PeerReply, RunOrder};

use crate::{
    backend::{BackendAnswer, BackendError},
    reply::answer_head,
    run::{AttemptOutcome, HEARTBEAT_INTERVAL},
    state::AgentState,
};

/// Bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: u64 = 4;

/// How the work of the backend server ended.
#[derive(Debug)]
pub(crate) struct ForwardResult {
    pub(crate) end: AttemptOutcome,
    /// The status with which it answered, if it did.
    pub(crate) status: Option<CallStatus>,
    /// Work that the request needed.
    pub(crate) used: TokenCount,
}

/// Hands a request to the backend server and passes its answer on.
pub(crate) async fn forward(
    state: &AgentState,
    order: &RunOrder,
    sender: &mut MessageSender,
) -> ForwardResult {
    let mut passing = AnswerRelay {
        state,
        order,
        sender,
        idle: state.settings.backend.idle_timeout.as_duration(),
        wanted: true,
        events: 0,
    };
    let mut answer = match passing.await_head().await {
        Ok(answer) => answer,
        Err(end) => {
            return ForwardResult {
                end,
                status: None,
                used: order.cost,
            };
        }
    };
    let status = Some(CallStatus(answer.status));
    let end = passing.relay_body(&mut answer).await;
    ForwardResult {
        end,
        status,
        used: passing.used(),
    }
}

/// One answer on its way from the backend server to the entry.
struct AnswerRelay<'task> {
    state: &'task AgentState,
    order: &'task RunOrder,
    sender: &'task mut MessageSender,
    /// Longest silence of the backend server.
    idle: Duration,
    /// Whether the entry still reads the answer.
    wanted: bool,
    /// Parts of the answer, which are tokens if it is a stream of them.
    events: u64,
}

impl AnswerRelay<'_> {
    async fn await_head(&mut self) -> Result<BackendAnswer, AttemptOutcome> {
        let state = self.state;
        let mut sending = pin!(state.backend.send(self.order));
        let mut closed = pin!(self.sender.closed());
        let mut silence = pin!(sleep(self.idle));
        loop {
            tokio::select! {
                result = &mut sending => return result.map_err(AttemptOutcome::from),
                () = &mut closed, if self.wanted => self.give_up()?,
                () = &mut silence => return Err(AttemptOutcome::Unknown(UnknownReason::BackendTimeout)),
                () = sleep(HEARTBEAT_INTERVAL) => {
                    self.pass(&PeerReply::Waiting(state.load())).await?;
                }
            }
        }
    }

    async fn relay_body(&mut self, answer: &mut BackendAnswer) -> AttemptOutcome {
        let head = answer_head(self.state, self.order, answer, TimeSpan::ZERO);
        match self.relay_chunks(answer, PeerReply::Head(head)).await {
            Ok(()) if self.wanted => AttemptOutcome::Answered,
            Ok(()) => AttemptOutcome::Cancelled,
            Err(end) => end,
        }
    }

    async fn relay_chunks(
        &mut self,
        answer: &mut BackendAnswer,
        head: PeerReply,
    ) -> Result<(), AttemptOutcome> {
        self.pass(&head).await?;
        let mut closed = pin!(self.sender.closed());
        let mut silence = pin!(sleep(self.idle));
        loop {
            silence.as_mut().reset(Instant::now() + self.idle);
            let mut heartbeat = pin!(sleep_until(Instant::now() + HEARTBEAT_INTERVAL));
            let message = loop {
                tokio::select! {
                    result = answer.next_chunk() => match result {
                        Ok(Some(chunk)) => break self.count(chunk),
                        Ok(None) => return Ok(()),
                        Err(error) => return Err(error.into()),
                    },
                    () = &mut closed, if self.wanted => self.give_up()?,
                    () = &mut silence => {
                        return Err(AttemptOutcome::Unknown(UnknownReason::BackendTimeout));
                    }
                    () = &mut heartbeat => {
                        let next = Instant::now() + HEARTBEAT_INTERVAL;
                        heartbeat.as_mut().reset(next);
                        self.pass(&PeerReply::Waiting(self.state.load())).await?;
                    }
                }
            };
            self.pass(&message).await?;
        }
    }

    fn count(&mut self, chunk: Bytes) -> PeerReply {
        self.events += 1;
        PeerReply::Chunk(chunk)
    }

    /// Sends a message unless nobody wants it any more.
    async fn pass(&mut self, message: &PeerReply) -> Result<(), AttemptOutcome> {
        if self.wanted && self.sender.send(message).await.is_err() {
            return self.give_up();
        }
        Ok(())
    }

    /// Ends the work, unless its outcome must be recorded under an idempotency key.
    fn give_up(&mut self) -> Result<(), AttemptOutcome> {
        self.wanted = false;
        if self.order.key.is_some() {
            Ok(())
        } else {
            Err(AttemptOutcome::Cancelled)
        }
    }

    fn used(&self) -> TokenCount {
        match self.state.settings.backend.kind {
            BackendKind::Engine(_) => {
                let prompt = self.order.body.len() as u64 / BYTES_PER_TOKEN;
                TokenCount(prompt + self.events)
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
