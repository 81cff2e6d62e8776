//! The event loop of the simulation.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use celerycrank_types::{Incarnation, TimePoint, TimeSpan, VmId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    node::{NodeInput, NodeSettings, SimulatedNode},
    plan::{SimulationPlan, SimulationReport},
    store::SimulatedStore,
};
use crate::{
    AgentIncarnation, AgentOutput, AttemptId, EngineOrder, EngineReport, ExpertMap,
    FormationMessage, FormationTimes, GroupMessage, GroupRecord, MapId, MapShape, MemberIndex,
    RecordAnswer, RecordRequestId, StepAudit, SwitchTimes,
};

/// Simulated duration of one step of the group.
pub(super) const STEP_TIME: TimeSpan = TimeSpan::from_millis(30);
/// Resolution of simulated time.
const TICK_TIME: TimeSpan = TimeSpan::from_millis(10);
/// Longest delay of a message, an answer or a call that is not late.
const MAX_DELAY: TimeSpan = TimeSpan::from_millis(3);
/// Longest delay of a late message, answer or call.
const MAX_LATE_DELAY: TimeSpan = TimeSpan::from_secs(2);
/// Longest time for an engine to load the weights of a change.
const MAX_LOAD_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Probability that an agent receives the VM list in a tick, in thousandths: on average every two
/// seconds.
const VM_LIST_CHANCE: u32 = 5;
/// The denominator of all probabilities.
const PROBABILITY_SCALE: u32 = 1_000;
/// Time for the group to form and make progress after the faults have ended.
const RECOVERY_TIME: TimeSpan = TimeSpan::from_secs(30);

/// A scheduled event. The `usize` is the index of the node.
#[derive(Debug, Clone)]
pub(super) enum SimulationEvent {
    Input(usize, NodeInput),
    Order(usize, AgentIncarnation, EngineOrder),
    Read(usize, AgentIncarnation, RecordRequestId),
    Write(
        usize,
        AgentIncarnation,
        RecordRequestId,
        u64,
        Arc<GroupRecord>,
    ),
}

/// A simulated group with its engines, network and key-value service.
#[derive(Debug)]
pub struct Simulation {
    pub(super) plan: SimulationPlan,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: TimePoint,
    pub(super) settings: NodeSettings,
    /// The current VMs and those that were replaced.
    pub(super) nodes: Vec<SimulatedNode>,
    events: BTreeMap<(TimePoint, u64), SimulationEvent>,
    event_count: u64,
    agent_starts: u64,
    store: SimulatedStore,
    pub(super) outage_until: TimePoint,
    pub(super) audit: StepAudit,
    /// Invariant: each committed attempt has one map and one first step.
    committed: BTreeMap<AttemptId, MapId>,
    /// The waits that the report counts, by incarnation and step.
    pub(super) counted_waits: BTreeSet<(Incarnation, u64)>,
    pub(super) current_wait: TimeSpan,
    /// When the last agent started, if no other fault has been injected since.
    pub(super) started_at: Option<TimePoint>,
    /// The newest incarnation in which a rank has begun a step.
    pub(super) stepped_incarnation: Incarnation,
    pub(super) report: SimulationReport,
    /// The outputs of the agents, if they are recorded.
    log: Option<Vec<String>>,
}

impl Simulation {
    /// Runs a simulation and returns its results.
    ///
    /// # Panics
    ///
    /// Panics if two ranks begin the same step with different maps, or if the group makes no
    /// progress after the faults have ended.
    #[must_use]
    pub fn run(plan: SimulationPlan) -> SimulationReport {
        let end = TimePoint::default() + plan.duration;
        let mut simulation = Self::new(plan);
        while simulation.now < end {
            simulation.advance(true);
        }
        simulation.end_faults();
        let faults_end = simulation.now;
        while simulation.now < faults_end + RECOVERY_TIME {
            simulation.advance(false);
        }
        let steps = simulation.report.steps;
        for _ in 0..STEP_TIME.0 / TICK_TIME.0 {
            simulation.advance(false);
        }
        simulation.check_recovery(steps);
        simulation.report.runs = 1;
        simulation.report.member_time = TimeSpan(simulation.now.0 * simulation.plan.members as u64);
        simulation.report.reads = simulation.store.reads;
        simulation.report.writes = simulation.store.writes;
        simulation.report
    }

    /// Runs a simulation without its recovery phase and returns the outputs of the agents.
    #[must_use]
    pub fn record(plan: SimulationPlan) -> Vec<String> {
        let end = TimePoint::default() + plan.duration;
        let mut simulation = Self::new(plan);
        simulation.log = Some(Vec::new());
        while simulation.now < end {
            simulation.advance(true);
        }
        simulation.log.unwrap_or_default()
    }

    fn new(plan: SimulationPlan) -> Self {
        let shape = MapShape::builder()
            .layers(1)
            .experts(8)
            .ranks(4)
            .slots(3)
            .build();
        let switch = SwitchTimes::builder()
            .load_timeout(TimeSpan::from_secs(5))
            .propose_timeout(TimeSpan::from_secs(8))
            .build();
        let settings = NodeSettings {
            members: plan.members,
            first_map: Arc::new(ExpertMap::round_robin(shape)),
            formation: FormationTimes::default(),
            switch,
        };
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            plan,
            now: TimePoint::default(),
            settings,
            nodes: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            agent_starts: 0,
            store: SimulatedStore::default(),
            outage_until: TimePoint::default(),
            audit: StepAudit::default(),
            committed: BTreeMap::new(),
            counted_waits: BTreeSet::new(),
            current_wait: TimeSpan::ZERO,
            started_at: Some(TimePoint::default()),
            stepped_incarnation: Incarnation::default(),
            report: SimulationReport::default(),
            log: None,
        };
        for index in 0..simulation.plan.members {
            simulation.add_node(member_index(index));
        }
        simulation
    }

    /// Advances the simulated time by one tick.
    fn advance(&mut self, with_faults: bool) {
        self.now = self.now + TICK_TIME;
        if with_faults {
            self.maybe_start_attempt();
            self.maybe_inject_fault();
        }
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            let event = entry.remove();
            self.handle_event(event);
        }
        for node in 0..self.nodes.len() {
            self.run_agent(node);
        }
        if self.now.0.is_multiple_of(STEP_TIME.0) {
            self.step_engines();
        }
    }

    pub(super) fn add_node(&mut self, index: MemberIndex) {
        let agent_incarnation = self.next_agent_incarnation();
        let vm = format!("vm-{}", self.nodes.len());
        let vm = vm.parse::<VmId>().expect("the name is a valid VM ID");
        let node = SimulatedNode::new(index, vm, agent_incarnation, &self.settings, self.now);
        self.nodes.push(node);
    }

    pub(super) fn next_agent_incarnation(&mut self) -> AgentIncarnation {
        self.agent_starts += 1;
        AgentIncarnation(self.agent_starts)
    }

    pub(super) fn is_frozen(&self, node: usize) -> bool {
        self.nodes[node].frozen_until > self.now
    }

    /// Delivers the pending inputs of an agent that is not frozen. Its timers run before or after
    /// them, at random.
    fn run_agent(&mut self, node: usize) {
        if self.is_frozen(node) {
            return;
        }
        if self.random_chance(VM_LIST_CHANCE) {
            self.deliver_vm_list(node);
        }
        let timers_first = self.rng.random();
        if timers_first {
            let outputs = self.nodes[node].agent.tick(self.now);
            self.apply_outputs(node, outputs);
        }
        for input in std::mem::take(&mut self.nodes[node].inbox) {
            self.input(node, input);
        }
        if !timers_first {
            let outputs = self.nodes[node].agent.tick(self.now);
            self.apply_outputs(node, outputs);
        }
    }

    /// Delivers the current VM list to an agent.
    fn deliver_vm_list(&mut self, node: usize) {
        let current = self.nodes.iter().filter(|node| !node.is_replaced);
        let listed = current.map(|node| (node.index, node.vm.clone()));
        for (index, vm) in listed.collect::<Vec<_>>() {
            let outputs = self.nodes[node]
                .agent
                .update_listed_vm(index, &vm, self.now);
            self.apply_outputs(node, outputs);
        }
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Input(node, input) if self.is_frozen(node) => {
                self.nodes[node].inbox.push(input);
            }
            SimulationEvent::Input(node, input) => self.input(node, input),
            SimulationEvent::Order(node, agent_incarnation, order) => {
                self.execute(node, agent_incarnation, &order);
            }
            SimulationEvent::Read(node, agent_incarnation, request) => {
                let answer = if self.is_store_down() {
                    RecordAnswer::Unavailable
                } else {
                    self.store.read()
                };
                self.answer(node, agent_incarnation, request, answer);
            }
            SimulationEvent::Write(node, agent_incarnation, request, revision, record) => {
                let answer = if self.is_store_down() {
                    RecordAnswer::Unavailable
                } else {
                    self.store.write(revision, &record)
                };
                if answer == RecordAnswer::Written {
                    self.report.formations += 1;
                }
                self.answer(node, agent_incarnation, request, answer);
            }
        }
    }

    fn is_store_down(&self) -> bool {
        self.outage_until > self.now
    }

    fn answer(
        &mut self,
        node: usize,
        agent_incarnation: AgentIncarnation,
        request: RecordRequestId,
        answer: RecordAnswer,
    ) {
        let is_answer_lost = self.random_chance(self.plan.answer_loss);
        let answer = if is_answer_lost {
            RecordAnswer::Unavailable
        } else {
            answer
        };
        let input = NodeInput::Answer(agent_incarnation, request, answer);
        let delay = self.random_message_delay();
        self.schedule(delay, SimulationEvent::Input(node, input));
    }

    fn input(&mut self, node: usize, input: NodeInput) {
        let now = self.now;
        let receiver = &mut self.nodes[node];
        let outputs = match input {
            NodeInput::Message(from, message) => receiver.agent.receive(from, &message, now),
            NodeInput::Report(agent_incarnation, report)
                if agent_incarnation == receiver.agent_incarnation =>
            {
                receiver.agent.report(report, now)
            }
            NodeInput::Answer(agent_incarnation, request, answer)
                if agent_incarnation == receiver.agent_incarnation =>
            {
                receiver.agent.answer(request, &answer, now)
            }
            NodeInput::Report(..) | NodeInput::Answer(..) => return,
        };
        self.apply_outputs(node, outputs);
    }

    pub(super) fn apply_outputs(&mut self, node: usize, outputs: Vec<AgentOutput>) {
        let agent_incarnation = self.nodes[node].agent_incarnation;
        for output in outputs {
            self.log_output(node, &output);
            match output {
                AgentOutput::Send { to, message } => self.send(node, to, &message),
                AgentOutput::Order(order) => self.order(node, order),
                AgentOutput::Read { request } => {
                    let delay = self.random_message_delay();
                    self.schedule(
                        delay,
                        SimulationEvent::Read(node, agent_incarnation, request),
                    );
                }
                AgentOutput::Write {
                    request,
                    revision,
                    record,
                } => {
                    let delay = self.random_message_delay();
                    let event =
                        SimulationEvent::Write(node, agent_incarnation, request, revision, record);
                    self.schedule(delay, event);
                }
                AgentOutput::Entered(_) | AgentOutput::Aborted(_) => {}
                AgentOutput::Committed(attempt) => self.record_commit(node, attempt),
                AgentOutput::Refused(refusal) => {
                    let label = refusal.label().to_owned();
                    *self.report.refusals.entry(label).or_default() += 1;
                }
                AgentOutput::Overdue(_) => self.report.overdue += 1,
            }
        }
    }

    /// Records an output, except for heartbeats.
    fn log_output(&mut self, node: usize, output: &AgentOutput) {
        let is_heartbeat = |message: &GroupMessage| {
            matches!(message, GroupMessage::Formation(FormationMessage::Beat(_)))
        };
        let is_omitted =
            matches!(output, AgentOutput::Send { message, .. } if is_heartbeat(message));
        if let Some(log) = self.log.as_mut().filter(|_| !is_omitted) {
            let text = match output {
                AgentOutput::Send { to, message } => {
                    format!("to {to}: {}", serde_json::json!(message))
                }
                AgentOutput::Order(order) => format!("order: {}", serde_json::json!(order)),
                other => format!("{other:?}"),
            };
            log.push(format!("{} {} {text}", self.now, self.nodes[node].vm));
        }
    }

    fn record_commit(&mut self, node: usize, attempt: AttemptId) {
        let map = self.nodes[node]
            .agent
            .map()
            .expect("an agent that commits has a map")
            .id();
        let recorded = *self.committed.entry(attempt).or_insert_with(|| {
            self.report.commits += 1;
            map
        });
        assert_eq!(recorded, map, "an attempt was committed with two maps");
    }

    /// Sends a message to every VM that has or had this member index, including replaced ones.
    fn send(&mut self, from: usize, to: MemberIndex, message: &GroupMessage) {
        let bytes = postcard::to_allocvec(message).map_or(0, |bytes| bytes.len());
        match message {
            GroupMessage::Switch(_) => self.report.switch_bytes += bytes as u64,
            GroupMessage::Formation(_) => self.report.formation_bytes += bytes as u64,
        }
        let sender = self.nodes[from].index;
        let targets = (0..self.nodes.len()).filter(|node| self.nodes[*node].index == to);
        for target in targets.collect::<Vec<_>>() {
            let copies = if self.random_chance(self.plan.loss) {
                0
            } else {
                1 + u32::from(self.random_chance(self.plan.double))
            };
            for _ in 0..copies {
                let input = NodeInput::Message(sender, message.clone());
                let delay = self.random_message_delay();
                self.schedule(delay, SimulationEvent::Input(target, input));
            }
        }
    }

    fn order(&mut self, node: usize, order: EngineOrder) {
        let agent_incarnation = self.nodes[node].agent_incarnation;
        let longest = self.settings.formation.order_timeout;
        let delay = if self.random_chance(self.plan.late_order) {
            self.random_span(longest)
        } else {
            self.random_delay()
        };
        let last = self.nodes[node]
            .last_order_arrival
            .entry(agent_incarnation)
            .or_default();
        let time = (self.now + delay).max(*last);
        *last = time;
        self.schedule(
            time.since(self.now),
            SimulationEvent::Order(node, agent_incarnation, order),
        );
    }

    fn execute(&mut self, node: usize, agent_incarnation: AgentIncarnation, order: &EngineOrder) {
        let report = match order {
            EngineOrder::Load { attempt, .. } if self.random_chance(self.plan.load_fault) => {
                Some(EngineReport::LoadFailed(*attempt))
            }
            EngineOrder::Load { attempt, .. } => Some(EngineReport::Loaded(*attempt)),
            _ => self.nodes[node].engine.execute(order),
        };
        let Some(report) = report else {
            return;
        };
        let delay = match order {
            EngineOrder::Load { .. } => self.random_span(MAX_LOAD_TIME),
            _ => self.random_delay(),
        };
        let input = NodeInput::Report(agent_incarnation, report);
        self.schedule(delay, SimulationEvent::Input(node, input));
    }

    pub(super) fn schedule(&mut self, delay: TimeSpan, event: SimulationEvent) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    pub(super) fn random_chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_ratio(per_mille, PROBABILITY_SCALE)
    }

    pub(super) fn occurs_within(&mut self, interval: TimeSpan) -> bool {
        self.rng.random_range(0..interval.0.max(1)) < TICK_TIME.0
    }

    pub(super) fn random_span(&mut self, longest: TimeSpan) -> TimeSpan {
        TimeSpan(self.rng.random_range(0..=longest.0))
    }

    pub(super) fn random_delay(&mut self) -> TimeSpan {
        self.random_span(MAX_DELAY)
    }

    fn random_message_delay(&mut self) -> TimeSpan {
        if self.random_chance(self.plan.late) {
            self.random_span(MAX_LATE_DELAY)
        } else {
            self.random_delay()
        }
    }
}

pub(super) fn member_index(index: usize) -> MemberIndex {
    MemberIndex(u16::try_from(index).expect("members are counted in 16 bits"))
}
