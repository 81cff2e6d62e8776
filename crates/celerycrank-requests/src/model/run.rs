//! The scheduler of a run: logical time, messages in flight, and faults.

use std::collections::{BTreeMap, BTreeSet};

use celerycrank_types::{RequestId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    LineSink, ModelPlan, RunReport,
    agent::AgentNode,
    entry::EntryNode,
    fault::{AgentIndex, EntryIndex, Fault, FaultRates},
    invariants::InvariantChecker,
    key_value::FakeKeyValueService,
    message::{Message, ModelEvent, OrderBody},
};
use crate::{LinkNumber, RequestEvent};

/// Number of events after which a run is considered not to terminate.
const MAX_MODEL_EVENTS: u64 = 500_000;

/// Time until the transport reports that a connection cannot be established.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// Time until the transport reports that a link is broken.
const LINK_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Probability that the transport reports a broken link at all.
const LOSS_DETECTION_RATE: f64 = 0.8;

/// Range of the ordinary message delay, in microseconds.
const DELAY_MICROS: std::ops::RangeInclusive<u64> = 300..=2_000;

/// Range of the extra delay of a late message, in microseconds.
const LATE_MICROS: std::ops::RangeInclusive<u64> = 50_000..=5_000_000;

/// The state of a run.
pub(super) struct ModelRun<'trace> {
    pub(super) now: TimePoint,
    queue: BTreeMap<(TimePoint, u64), ModelEvent>,
    sequence: u64,
    pub(super) random: ChaCha8Rng,
    rates: FaultRates,
    /// When the random faults end.
    faults_end_at: TimePoint,
    armed: Vec<Fault>,
    pub(super) entries: Vec<EntryNode>,
    pub(super) agents: Vec<AgentNode>,
    key_value: FakeKeyValueService,
    outage_until: TimePoint,
    pub(super) checker: InvariantChecker,
    pub(super) report: RunReport,
    /// Receives each line of the trace, if enabled.
    trace: Option<LineSink<'trace>>,
    pub(super) next_request: u32,
    /// Timer checks that are already scheduled.
    ticks: BTreeSet<(AgentIndex, TimePoint)>,
}

impl<'trace> ModelRun<'trace> {
    /// Creates a run of the plan at its start.
    pub(super) fn new(seed: u64, plan: &ModelPlan, trace: Option<LineSink<'trace>>) -> Self {
        let mut run = Self {
            now: TimePoint::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            rates: plan.rates,
            faults_end_at: plan.faults_end_at,
            armed: Vec::new(),
            entries: (0..plan.entries)
                .map(|_| EntryNode::new(plan.prior_requests))
                .collect(),
            agents: Vec::new(),
            key_value: FakeKeyValueService::default(),
            outage_until: TimePoint::default(),
            checker: InvariantChecker::default(),
            report: RunReport::default(),
            trace,
            next_request: 0,
            ticks: BTreeSet::new(),
        };
        for index in 0..plan.agents {
            let node = AgentNode::new(index as u64, 1, &mut run.random);
            run.agents.push(node);
        }
        for call in &plan.calls {
            run.schedule(call.at, ModelEvent::Call(*call));
        }
        for planned in &plan.faults {
            run.schedule(planned.at, ModelEvent::Fault(planned.fault));
        }
        run
    }

    /// Runs until no event is left.
    pub(super) fn run(mut self) -> RunReport {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            self.report.events += 1;
            assert!(
                self.report.events < MAX_MODEL_EVENTS,
                "the run does not terminate"
            );
            self.handle(event);
        }
        self.check_quiescent();
        self.report.key_value_writes = self.key_value.writes;
        self.report.key_value_operations = self.key_value.operations;
        self.report
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Call(plan) => self.start_call(plan),
            ModelEvent::Leave(entry, request) => {
                self.notify(entry, request, &RequestEvent::CallerLeft, None);
            }
            ModelEvent::Arrival(message) => self.arrive(message),
            ModelEvent::Local(entry, request, event) => self.notify(entry, request, &event, None),
            ModelEvent::Tick(agent) => {
                self.ticks.remove(&(agent, self.now));
                self.tick_agent(agent);
            }
            ModelEvent::Thaw(agent) => self.thaw(agent),
            ModelEvent::Fault(fault) => self.inject_fault(fault),
            ModelEvent::RestartEntry(entry) => self.restart_entry(entry),
            ModelEvent::RestartAgent(agent) => self.restart_agent(agent),
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::ToAgent(agent, order) => {
                let node = &self.agents[agent.0];
                if !node.is_alive {
                    self.plan_loss_notice(&Message::ToAgent(agent, order));
                } else if node.frozen_until > self.now {
                    self.plan_order_failure(&order.body, order.entry, order.request);
                    self.agents[agent.0]
                        .inbox
                        .push(Message::ToAgent(agent, order));
                } else {
                    self.handle_order(agent, order);
                }
            }
            Message::ToEntry(frame) => {
                if let Some(status) = frame.replayed
                    && matches!(frame.event, RequestEvent::Head(_))
                {
                    self.trace_line(&format!("{} replays status {status}", frame.request));
                }
                let event = frame.event.clone();
                self.notify(frame.entry, frame.request, &event, Some(&frame));
            }
            Message::FromBackend(agent, incarnation, attempt, step) => {
                self.handle_backend_step(agent, incarnation, attempt, step);
            }
            Message::ToKeyValue(agent, incarnation, operation) => {
                let is_out = self.outage_until > self.now;
                if is_out && self.random.random_bool(0.5) {
                    return;
                }
                let (operation, reply) = self.key_value.perform(operation);
                if !is_out {
                    self.send(Message::FromKeyValue(agent, incarnation, operation, reply));
                }
            }
            Message::FromKeyValue(agent, incarnation, operation, reply) => {
                self.handle_key_value_reply(agent, incarnation, operation, reply);
            }
        }
    }

    /// Delivers, in order, the messages that arrived while an agent was frozen.
    fn thaw(&mut self, agent: AgentIndex) {
        let node = &mut self.agents[agent.0];
        if node.frozen_until > self.now {
            return;
        }
        for message in std::mem::take(&mut node.inbox) {
            self.arrive(message);
        }
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: TimePoint, event: ModelEvent) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), event);
    }

    /// Schedules a check of an agent's timers, at most once per point in time.
    pub(super) fn plan_tick(&mut self, agent: AgentIndex, at: TimePoint) {
        if self.ticks.insert((agent, at.max(self.now))) {
            self.schedule(at, ModelEvent::Tick(agent));
        }
    }

    /// Sends a message, subject to faults.
    pub(super) fn send(&mut self, message: Message) {
        self.trace_message(&message);
        let delay = TimeSpan(self.random.random_range(DELAY_MICROS));
        match self.take_armed_fault(&message) {
            Some(Fault::LoseNext(kind)) => {
                self.trace_line(&format!("lost: {kind:?}"));
                self.plan_loss_notice(&message);
                return;
            }
            Some(Fault::DelayNext(kind, span)) => {
                self.trace_line(&format!("late by {span}: {kind:?}"));
                self.plan_loss_notice(&message);
                self.schedule(self.now + delay + span, ModelEvent::Arrival(message));
                return;
            }
            _ => {}
        }
        if self.faults_ended() {
            self.schedule(self.now + delay, ModelEvent::Arrival(message));
            return;
        }
        self.send_under_faults(message, delay);
    }

    fn send_under_faults(&mut self, mut message: Message, delay: TimeSpan) {
        if self.random.random_bool(self.rates.loss) {
            self.plan_loss_notice(&message);
            return;
        }
        if self.random.random_bool(self.rates.double) {
            let again = delay + TimeSpan(self.random.random_range(LATE_MICROS));
            self.schedule(self.now + again, ModelEvent::Arrival(message.clone()));
        }
        let is_late = self.random.random_bool(self.rates.late);
        let extra = if is_late {
            self.plan_loss_notice(&message);
            self.random.random_range(LATE_MICROS)
        } else {
            0
        };
        if self.random.random_bool(self.rates.misroute) {
            self.misroute(&mut message);
        }
        let at = self.now + delay + TimeSpan(extra);
        self.schedule(at, ModelEvent::Arrival(message));
    }

    /// Redirects a frame to a random request of the same entry.
    fn misroute(&mut self, message: &mut Message) {
        if let Message::ToEntry(frame) = message {
            let requests = self.entries[frame.entry.0].request_ids();
            if !requests.is_empty() {
                frame.request = requests[self.random.random_range(0..requests.len())];
            }
        }
    }

    fn take_armed_fault(&mut self, message: &Message) -> Option<Fault> {
        let kind = message.kind()?;
        let index = self.armed.iter().position(|fault| match fault {
            Fault::LoseNext(armed) | Fault::DelayNext(armed, _) => *armed == kind,
            _ => false,
        })?;
        Some(self.armed.remove(index))
    }

    /// Schedules what the transport may report to the entry about a lost message.
    fn plan_loss_notice(&mut self, message: &Message) {
        match message {
            Message::ToAgent(_, order) => {
                self.plan_order_failure(&order.body, order.entry, order.request);
            }
            Message::ToEntry(frame) => self.plan_link_lost(frame.entry, frame.request, frame.link),
            _ => {}
        }
    }

    /// Schedules that the transport reports a broken link to a request, unless it goes unnoticed.
    pub(super) fn plan_link_lost(
        &mut self,
        entry: EntryIndex,
        request: RequestId,
        link: LinkNumber,
    ) {
        if self.random.random_bool(LOSS_DETECTION_RATE) {
            let event = RequestEvent::LinkLost(link);
            let at = self.now + LINK_TIMEOUT;
            self.schedule(at, ModelEvent::Local(entry, request, event));
        }
    }

    fn plan_order_failure(&mut self, body: &OrderBody, entry: EntryIndex, request: RequestId) {
        let (span, event) = match body {
            OrderBody::Connect(link) => (CONNECT_TIMEOUT, RequestEvent::ConnectFailed(*link)),
            OrderBody::Send { link, .. } | OrderBody::Resume { link, .. } => {
                (LINK_TIMEOUT, RequestEvent::LinkLost(*link))
            }
            OrderBody::Revoke { attempt, .. } => {
                (CONNECT_TIMEOUT, RequestEvent::RevokeFailed(*attempt))
            }
            OrderBody::Cancel(_) => return,
        };
        let is_connect = matches!(body, OrderBody::Connect(_));
        if is_connect || self.random.random_bool(LOSS_DETECTION_RATE) {
            self.schedule(self.now + span, ModelEvent::Local(entry, request, event));
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        self.trace_line(&format!("fault: {fault:?}"));
        self.report.faults += 1;
        match fault {
            Fault::KillEntry(entry, span) => self.kill_entry(entry, span),
            Fault::KillAgent(agent, span) => self.kill_agent(agent, span),
            Fault::FreezeAgent(agent, span) => {
                let node = &mut self.agents[agent.0];
                node.frozen_until = node.frozen_until.max(self.now + span);
                let until = node.frozen_until;
                self.schedule(until, ModelEvent::Thaw(agent));
            }
            Fault::Leave(agent) => self.agents[agent.0].is_leaving = true,
            Fault::ClockForward(agent, span) => self.agents[agent.0].shift_clock(span, true),
            Fault::ClockBack(agent, span) => self.agents[agent.0].shift_clock(span, false),
            Fault::KeyValueOutage(span) => self.outage_until = self.now + span,
            Fault::LoseNext(_) | Fault::DelayNext(..) => self.armed.push(fault),
        }
    }

    /// Asserts that no request or claim is unfinished at the end of the run.
    fn check_quiescent(&self) {
        for node in &self.entries {
            node.check_quiescent();
        }
        let open = self.key_value.open_claims();
        for node in self.agents.iter().filter(|node| node.is_alive) {
            node.check_quiescent(&open);
        }
    }

    /// Returns whether the random faults have ended.
    pub(super) fn faults_ended(&self) -> bool {
        self.now >= self.faults_end_at
    }

    /// Writes a line to the trace.
    pub(super) fn trace_line(&mut self, line: &str) {
        let millis = self.now.0 as f64 / 1_000.0;
        if let Some(trace) = &mut self.trace {
            trace(&format!("{millis:10.3} ms  {line}"));
        }
    }

    fn trace_message(&mut self, message: &Message) {
        if self.trace.is_some() {
            let line = super::trace::describe(message);
            self.trace_line(&line);
        }
    }
}
