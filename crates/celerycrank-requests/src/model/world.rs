//! The scheduler: logical time, messages on their way, and faults.

use std::collections::{BTreeMap, BTreeSet};

use celerycrank_types::{RequestId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    LineSink, ModelPlan, RunReport,
    agent::AgentNode,
    entry::EntryNode,
    fault::{AgentIndex, EntryIndex, Fault, FaultRates},
    key_value::KeyValueFake,
    message::{Message, OrderBody, WorldEvent},
    truth::TruthRecord,
};
use crate::{LinkNumber, RequestEvent};

/// Events after which a run that does not come to rest is given up.
const MOST_EVENTS: u64 = 500_000;

/// How soon the transport notices that a connection cannot be made.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// How soon the transport notices that a link is broken.
const LINK_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Probability that the transport notices a broken link at all.
const NOTICE_RATE: f64 = 0.8;

/// Bounds of an ordinary delay, in microseconds.
const DELAY_MICROS: std::ops::RangeInclusive<u64> = 300..=2_000;

/// Bounds of the extra delay of a late message, in microseconds.
const LATE_MICROS: std::ops::RangeInclusive<u64> = 50_000..=5_000_000;

/// Everything that a run consists of.
pub(super) struct World<'session> {
    pub(super) now: TimePoint,
    queue: BTreeMap<(TimePoint, u64), WorldEvent>,
    sequence: u64,
    pub(super) random: ChaCha8Rng,
    rates: FaultRates,
    /// When the random faults end.
    calm_at: TimePoint,
    armed: Vec<Fault>,
    pub(super) entries: Vec<EntryNode>,
    pub(super) agents: Vec<AgentNode>,
    key_value: KeyValueFake,
    outage_until: TimePoint,
    pub(super) truth: TruthRecord,
    pub(super) report: RunReport,
    /// Takes each line of the session, if it is wanted.
    trace: Option<LineSink<'session>>,
    pub(super) next_request: u32,
    /// Ticks that are already planned.
    ticks: BTreeSet<(AgentIndex, TimePoint)>,
}

impl<'session> World<'session> {
    /// A world in which the plan is about to begin.
    pub(super) fn new(seed: u64, plan: &ModelPlan, trace: Option<LineSink<'session>>) -> Self {
        let mut world = Self {
            now: TimePoint::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            rates: plan.rates,
            calm_at: plan.calm_at,
            armed: Vec::new(),
            entries: (0..plan.entries)
                .map(|_| EntryNode::new(plan.history))
                .collect(),
            agents: Vec::new(),
            key_value: KeyValueFake::default(),
            outage_until: TimePoint::default(),
            truth: TruthRecord::default(),
            report: RunReport::default(),
            trace,
            next_request: 0,
            ticks: BTreeSet::new(),
        };
        for index in 0..plan.agents {
            let node = AgentNode::new(index as u64, 1, &mut world.random);
            world.agents.push(node);
        }
        for call in &plan.calls {
            world.plan(call.at, WorldEvent::Call(*call));
        }
        for planned in &plan.faults {
            world.plan(planned.at, WorldEvent::Fault(planned.fault));
        }
        world
    }

    /// Runs until nothing is left to happen.
    pub(super) fn run(mut self) -> RunReport {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            self.report.events += 1;
            assert!(
                self.report.events < MOST_EVENTS,
                "the run does not come to rest"
            );
            self.handle(event);
        }
        self.check_rest();
        self.report.key_value_writes = self.key_value.writes;
        self.report.key_value_operations = self.key_value.operations;
        self.report
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Call(plan) => self.call(plan),
            WorldEvent::Leave(entry, request) => {
                self.tell(entry, request, &RequestEvent::CallerLeft, None);
            }
            WorldEvent::Arrival(message) => self.arrive(message),
            WorldEvent::Local(entry, request, event) => self.tell(entry, request, &event, None),
            WorldEvent::Tick(agent) => {
                self.ticks.remove(&(agent, self.now));
                self.tick_agent(agent);
            }
            WorldEvent::Thaw(agent) => self.thaw(agent),
            WorldEvent::Fault(fault) => self.strike(fault),
            WorldEvent::ReviveEntry(entry) => self.revive_entry(entry),
            WorldEvent::ReviveAgent(agent) => self.revive_agent(agent),
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::ToAgent(agent, order) => {
                let node = &self.agents[agent.0];
                if !node.is_alive {
                    self.bounce(&Message::ToAgent(agent, order));
                } else if node.frozen_until > self.now {
                    self.notice_silence(&order.body, order.entry, order.request);
                    self.agents[agent.0]
                        .inbox
                        .push(Message::ToAgent(agent, order));
                } else {
                    self.take_order(agent, order);
                }
            }
            Message::ToEntry(frame) => {
                if let Some(status) = frame.replayed
                    && matches!(frame.event, RequestEvent::Head(_))
                {
                    self.note(&format!("{} replays status {status}", frame.request));
                }
                let event = frame.event.clone();
                self.tell(frame.entry, frame.request, &event, Some(&frame));
            }
            Message::FromBackend(agent, incarnation, attempt, step) => {
                self.take_backend_step(agent, incarnation, attempt, step);
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
                self.take_reply(agent, incarnation, operation, reply);
            }
        }
    }

    /// What reached a frozen agent is read in order once it runs again.
    fn thaw(&mut self, agent: AgentIndex) {
        let node = &mut self.agents[agent.0];
        if node.frozen_until > self.now {
            return;
        }
        for message in std::mem::take(&mut node.inbox) {
            self.arrive(message);
        }
    }

    /// Plans an event.
    pub(super) fn plan(&mut self, at: TimePoint, event: WorldEvent) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), event);
    }

    /// Plans a look at an agent's timers, once for each point in time.
    pub(super) fn plan_tick(&mut self, agent: AgentIndex, at: TimePoint) {
        if self.ticks.insert((agent, at.max(self.now))) {
            self.plan(at, WorldEvent::Tick(agent));
        }
    }

    /// Puts a message on its way, with whatever faults hit it.
    pub(super) fn send(&mut self, message: Message) {
        self.note_message(&message);
        let delay = TimeSpan(self.random.random_range(DELAY_MICROS));
        match self.take_armed(&message) {
            Some(Fault::LoseNext(kind)) => {
                self.note(&format!("lost: {kind:?}"));
                self.bounce(&message);
                return;
            }
            Some(Fault::DelayNext(kind, span)) => {
                self.note(&format!("late by {span}: {kind:?}"));
                self.bounce(&message);
                self.plan(self.now + delay + span, WorldEvent::Arrival(message));
                return;
            }
            _ => {}
        }
        if self.is_calm() {
            self.plan(self.now + delay, WorldEvent::Arrival(message));
            return;
        }
        self.send_under_faults(message, delay);
    }

    fn send_under_faults(&mut self, mut message: Message, delay: TimeSpan) {
        if self.random.random_bool(self.rates.loss) {
            self.bounce(&message);
            return;
        }
        if self.random.random_bool(self.rates.double) {
            let again = delay + TimeSpan(self.random.random_range(LATE_MICROS));
            self.plan(self.now + again, WorldEvent::Arrival(message.clone()));
        }
        let is_late = self.random.random_bool(self.rates.late);
        let extra = if is_late {
            self.bounce(&message);
            self.random.random_range(LATE_MICROS)
        } else {
            0
        };
        if self.random.random_bool(self.rates.misroute) {
            self.misroute(&mut message);
        }
        let at = self.now + delay + TimeSpan(extra);
        self.plan(at, WorldEvent::Arrival(message));
    }

    /// Lets a frame reach another request of the same entry.
    fn misroute(&mut self, message: &mut Message) {
        if let Message::ToEntry(frame) = message {
            let requests = self.entries[frame.entry.0].request_ids();
            if !requests.is_empty() {
                frame.request = requests[self.random.random_range(0..requests.len())];
            }
        }
    }

    fn take_armed(&mut self, message: &Message) -> Option<Fault> {
        let kind = message.kind()?;
        let index = self.armed.iter().position(|fault| match fault {
            Fault::LoseNext(armed) | Fault::DelayNext(armed, _) => *armed == kind,
            _ => false,
        })?;
        Some(self.armed.remove(index))
    }

    /// What the transport may tell the entry about a message that was lost.
    fn bounce(&mut self, message: &Message) {
        match message {
            Message::ToAgent(_, order) => {
                self.notice_silence(&order.body, order.entry, order.request);
            }
            Message::ToEntry(frame) => self.notice_break(frame.entry, frame.request, frame.link),
            _ => {}
        }
    }

    /// The transport may tell a request that its link is broken.
    pub(super) fn notice_break(&mut self, entry: EntryIndex, request: RequestId, link: LinkNumber) {
        if self.random.random_bool(NOTICE_RATE) {
            let event = RequestEvent::LinkLost(link);
            let at = self.now + LINK_TIMEOUT;
            self.plan(at, WorldEvent::Local(entry, request, event));
        }
    }

    fn notice_silence(&mut self, body: &OrderBody, entry: EntryIndex, request: RequestId) {
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
        if is_connect || self.random.random_bool(NOTICE_RATE) {
            self.plan(self.now + span, WorldEvent::Local(entry, request, event));
        }
    }

    fn strike(&mut self, fault: Fault) {
        self.note(&format!("fault: {fault:?}"));
        self.report.faults += 1;
        match fault {
            Fault::KillEntry(entry, span) => self.kill_entry(entry, span),
            Fault::KillAgent(agent, span) => self.kill_agent(agent, span),
            Fault::FreezeAgent(agent, span) => {
                let node = &mut self.agents[agent.0];
                node.frozen_until = node.frozen_until.max(self.now + span);
                let until = node.frozen_until;
                self.plan(until, WorldEvent::Thaw(agent));
            }
            Fault::Leave(agent) => self.agents[agent.0].is_leaving = true,
            Fault::ClockForward(agent, span) => self.agents[agent.0].step_clock(span, true),
            Fault::ClockBack(agent, span) => self.agents[agent.0].step_clock(span, false),
            Fault::KeyValueOutage(span) => self.outage_until = self.now + span,
            Fault::LoseNext(_) | Fault::DelayNext(..) => self.armed.push(fault),
        }
    }

    /// Everything that was asked is settled once nothing is left to happen.
    fn check_rest(&self) {
        for node in &self.entries {
            node.check_rest();
        }
        let open = self.key_value.open_claims();
        for node in self.agents.iter().filter(|node| node.is_alive) {
            node.check_rest(&open);
        }
    }

    /// Whether the random faults have ended.
    pub(super) fn is_calm(&self) -> bool {
        self.now >= self.calm_at
    }

    /// Adds a line to the session.
    pub(super) fn note(&mut self, line: &str) {
        let millis = self.now.0 as f64 / 1_000.0;
        if let Some(trace) = &mut self.trace {
            trace(&format!("{millis:10.3} ms  {line}"));
        }
    }

    fn note_message(&mut self, message: &Message) {
        if self.trace.is_some() {
            let line = super::trace::describe(message);
            self.note(&line);
        }
    }
}
