//! The fake backend server of an agent, and the delivery of its answers to the entries.

use celerycrank_types::{Incarnation, RefusalReason, RequestId, TimeSpan, UnknownReason};
use rand::Rng;

use super::{
    agent::AgentJob,
    fault::{AgentIndex, EntryIndex},
    invariants::answer_byte,
    message::{BackendStep, Frame, Message, ModelEvent},
    run::ModelRun,
};
use crate::{AttemptEvent, AttemptId, CallStatus, LinkNumber, RequestEvent};

/// Size of one chunk of an answer, in bytes.
const CHUNK_BYTES: u64 = 16;

/// Probability that a backend server breaks off its answer at one step.
const BROKEN_ANSWER_RATE: f64 = 0.02;

/// Probability that a backend server refuses a connection.
const CONNECTION_REFUSAL_RATE: f64 = 0.03;

/// Range of the duration of one step of a backend server, in microseconds.
const STEP_MICROS: std::ops::RangeInclusive<u64> = 1_000..=60_000;

/// Status of all answers of backend servers.
const STATUS: CallStatus = CallStatus(201);

impl ModelRun<'_> {
    /// Starts an attempt on the backend server.
    pub(super) fn start_backend(&mut self, agent: AgentIndex, attempt: AttemptId, job: AgentJob) {
        if !self.faults_ended() && self.random.random_bool(CONNECTION_REFUSAL_RATE) {
            self.agents[agent.0]
                .unstarted_claimants
                .insert(job.claimant);
            let event = AttemptEvent::NotBegun(RefusalReason::BackendUnreachable);
            self.handle_attempt_event(agent, attempt, event, None);
            return;
        }
        self.trace_line(&format!("b{} starts {attempt}", agent.0));
        self.report.starts += 1;
        self.checker.start(job.request);
        let node = &mut self.agents[agent.0];
        node.running += 1;
        let incarnation = node.ledger.incarnation();
        let mut at = self.now;
        let mut steps = vec![BackendStep::Head];
        let chunks = job.plan.length.div_ceil(CHUNK_BYTES);
        steps.extend((0..chunks).map(|chunk| {
            BackendStep::Chunk(CHUNK_BYTES.min(job.plan.length - chunk * CHUNK_BYTES))
        }));
        steps.push(BackendStep::End);
        for step in steps {
            at = at + TimeSpan(self.random.random_range(STEP_MICROS));
            let is_broken = !self.faults_ended() && self.random.random_bool(BROKEN_ANSWER_RATE);
            let step = if is_broken { BackendStep::Broken } else { step };
            let message = Message::FromBackend(agent, incarnation, attempt, step);
            self.schedule(at, ModelEvent::Arrival(message));
            if is_broken {
                return;
            }
        }
    }

    /// Handles a step of the backend server's answer to an attempt.
    pub(super) fn handle_backend_step(
        &mut self,
        agent: AgentIndex,
        incarnation: Incarnation,
        attempt: AttemptId,
        step: BackendStep,
    ) {
        let node = &self.agents[agent.0];
        if matches!(step, BackendStep::End) {
            self.checker.finish(attempt.request, STATUS);
        }
        if !node.is_alive || node.ledger.incarnation() != incarnation {
            return;
        }
        if node.frozen_until > self.now {
            let message = Message::FromBackend(agent, incarnation, attempt, step);
            self.agents[agent.0].inbox.push(message);
            return;
        }
        self.forward_backend_step(agent, attempt, step);
    }

    fn forward_backend_step(&mut self, agent: AgentIndex, attempt: AttemptId, step: BackendStep) {
        let node = &mut self.agents[agent.0];
        let Some(job) = node.jobs.get_mut(&attempt) else {
            return;
        };
        let offset = job.produced;
        match step {
            BackendStep::Head => job.has_head = true,
            BackendStep::Chunk(length) => job.produced += length,
            BackendStep::End => job.has_end = true,
            BackendStep::Broken => job.is_broken = true,
        }
        let job = *job;
        let to = (job.entry, job.request, job.link);
        match step {
            BackendStep::Head => self.send_frame(to, RequestEvent::Head(attempt), Vec::new(), None),
            BackendStep::Chunk(_) => self.send_chunk(to, attempt, offset, job.produced),
            BackendStep::End => {
                let length = job.produced;
                self.send_frame(to, RequestEvent::End { attempt, length }, Vec::new(), None);
                self.finish(agent, attempt, Some(STATUS));
            }
            BackendStep::Broken => {
                let event = RequestEvent::Unproved(attempt, UnknownReason::BackendBroke);
                self.send_frame(to, event, Vec::new(), None);
                self.finish(agent, attempt, None);
            }
        }
    }

    fn finish(&mut self, agent: AgentIndex, attempt: AttemptId, status: Option<CallStatus>) {
        self.agents[agent.0].running -= 1;
        self.handle_attempt_event(agent, attempt, AttemptEvent::Finished(status), None);
        self.start_queued(agent);
    }

    /// Answers an attempt with the status recorded under the call's key.
    pub(super) fn replay(
        &mut self,
        agent: AgentIndex,
        attempt: AttemptId,
        job: AgentJob,
        status: CallStatus,
    ) {
        if let Some(held) = self.agents[agent.0].jobs.get_mut(&attempt) {
            held.has_head = true;
            held.has_end = true;
            held.replayed = Some(status);
        }
        let to = (job.entry, job.request, job.link);
        self.send_frame(to, RequestEvent::Head(attempt), Vec::new(), Some(status));
        let event = RequestEvent::End { attempt, length: 0 };
        self.send_frame(to, event, Vec::new(), None);
    }

    /// Sends an entry the rest of an answer over a new link.
    pub(super) fn resume(
        &mut self,
        agent: AgentIndex,
        to: (EntryIndex, RequestId, LinkNumber),
        attempt: AttemptId,
        incarnation: Incarnation,
        offset: u64,
    ) {
        let node = &mut self.agents[agent.0];
        let is_other = node.ledger.incarnation() != incarnation;
        let held = node.jobs.get_mut(&attempt).filter(|_| !is_other);
        let Some(job) = held else {
            let reason = if is_other {
                UnknownReason::AgentRestarted
            } else {
                UnknownReason::LinkLost
            };
            self.send_frame(
                to,
                RequestEvent::Unproved(attempt, reason),
                Vec::new(),
                None,
            );
            return;
        };
        job.link = to.2;
        let job = *job;
        if job.is_broken {
            let event = RequestEvent::Unproved(attempt, UnknownReason::BackendBroke);
            self.send_frame(to, event, Vec::new(), None);
            return;
        }
        if job.has_head {
            self.send_frame(to, RequestEvent::Head(attempt), Vec::new(), job.replayed);
        }
        if job.produced > offset {
            self.send_chunk(to, attempt, offset, job.produced);
        }
        if job.has_end {
            let length = job.produced;
            self.send_frame(to, RequestEvent::End { attempt, length }, Vec::new(), None);
        }
    }

    fn send_chunk(
        &mut self,
        to: (EntryIndex, RequestId, LinkNumber),
        attempt: AttemptId,
        from: u64,
        until: u64,
    ) {
        let bytes = (from..until)
            .map(|offset| answer_byte(attempt.request, offset))
            .collect();
        let event = RequestEvent::Chunk {
            attempt,
            offset: from,
            length: until - from,
        };
        self.send_frame(to, event, bytes, None);
    }

    /// Sends a frame from an agent to a request.
    pub(super) fn send_frame(
        &mut self,
        (entry, request, link): (EntryIndex, RequestId, LinkNumber),
        event: RequestEvent,
        bytes: Vec<u8>,
        replayed: Option<CallStatus>,
    ) {
        let frame = Frame {
            entry,
            request,
            link,
            event,
            bytes,
            replayed,
        };
        self.send(Message::ToEntry(frame));
    }
}
