//! A group, its engines and its surroundings at logical time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use celerycrank_types::{Incarnation, TimePoint, TimeSpan, VmId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    node::{NodeInput, NodeSettings, TrialNode},
    plan::{TrialPlan, TrialReport},
    store::TrialStore,
};
use crate::{
    AgentIncarnation, AgentOutput, AttemptId, EngineOrder, EngineReport, ExpertMap,
    FormationMessage, FormationTimes, GroupMessage, GroupRecord, MapId, MapShape, MemberIndex,
    RecordAnswer, RecordCall, StepAudit, SwitchTimes,
};

/// Time of one step of the group.
pub(super) const STEP_TIME: TimeSpan = TimeSpan::from_millis(30);
/// Resolution of timers in a trial.
const TICK_TIME: TimeSpan = TimeSpan::from_millis(10);
/// Longest delay of an ordinary message or answer.
const USUAL_DELAY: TimeSpan = TimeSpan::from_millis(3);
/// Longest delay of a late message.
const LATE_DELAY: TimeSpan = TimeSpan::from_secs(2);
/// Longest time to load the weights of a change.
const LOAD_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Ticks, in thousandths, at which an agent sees the VM list: every two seconds or so.
const LIST_CHANCE: u32 = 5;
/// Probabilities are written in parts of this.
const PER_MILLE: u32 = 1_000;
/// Time that a healed group is given to form and step again.
const RECOVERY_TIME: TimeSpan = TimeSpan::from_secs(30);

/// Something that happens at a time.
#[derive(Debug, Clone)]
pub(super) enum WorldEvent {
    Input(usize, NodeInput),
    Order(usize, AgentIncarnation, EngineOrder),
    Read(usize, AgentIncarnation, RecordCall),
    Write(usize, AgentIncarnation, RecordCall, u64, Arc<GroupRecord>),
}

/// A group with its engines, network and key-value service.
#[derive(Debug)]
pub struct TrialWorld {
    pub(super) plan: TrialPlan,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: TimePoint,
    pub(super) settings: NodeSettings,
    /// Current VMs and those that were replaced.
    pub(super) nodes: Vec<TrialNode>,
    events: BTreeMap<(TimePoint, u64), WorldEvent>,
    event_count: u64,
    lives: u64,
    store: TrialStore,
    pub(super) outage_until: TimePoint,
    pub(super) audit: StepAudit,
    /// Invariant: each committed attempt has one map and one first step.
    committed: BTreeMap<AttemptId, MapId>,
    pub(super) waiting: BTreeSet<(Incarnation, u64)>,
    pub(super) wait: TimeSpan,
    /// When the last agent started, if nothing else has failed since.
    pub(super) started_at: Option<TimePoint>,
    pub(super) stepped: Incarnation,
    pub(super) report: TrialReport,
    /// What agents sent and ordered, where it is recorded.
    log: Option<Vec<String>>,
}

impl TrialWorld {
    /// Runs one trial and reports on it.
    ///
    /// # Panics
    ///
    /// Panics if two ranks begin one step with two maps, or if the group does not go on
    /// once the faults have ended.
    #[must_use]
    pub fn run(plan: TrialPlan) -> TrialReport {
        let end = TimePoint::default() + plan.duration;
        let mut world = Self::new(plan);
        while world.now < end {
            world.advance(true);
        }
        world.heal();
        let healed = world.now;
        while world.now < healed + RECOVERY_TIME {
            world.advance(false);
        }
        let steps = world.report.steps;
        for _ in 0..STEP_TIME.0 / TICK_TIME.0 {
            world.advance(false);
        }
        world.check_recovery(steps);
        world.report.runs = 1;
        world.report.member_time = TimeSpan(world.now.0 * world.plan.members as u64);
        world.report.reads = world.store.reads;
        world.report.writes = world.store.writes;
        world.report
    }

    /// Runs a trial without its recovery and returns what its agents sent and ordered.
    #[must_use]
    pub fn record(plan: TrialPlan) -> Vec<String> {
        let end = TimePoint::default() + plan.duration;
        let mut world = Self::new(plan);
        world.log = Some(Vec::new());
        while world.now < end {
            world.advance(true);
        }
        world.log.unwrap_or_default()
    }

    fn new(plan: TrialPlan) -> Self {
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
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            plan,
            now: TimePoint::default(),
            settings,
            nodes: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            lives: 0,
            store: TrialStore::default(),
            outage_until: TimePoint::default(),
            audit: StepAudit::default(),
            committed: BTreeMap::new(),
            waiting: BTreeSet::new(),
            wait: TimeSpan::ZERO,
            started_at: Some(TimePoint::default()),
            stepped: Incarnation::default(),
            report: TrialReport::default(),
            log: None,
        };
        for index in 0..world.plan.members {
            world.add_node(member_index(index));
        }
        world
    }

    /// Lets one tick pass.
    fn advance(&mut self, with_faults: bool) {
        self.now = self.now + TICK_TIME;
        if with_faults {
            self.maybe_attempt();
            self.maybe_fault();
        }
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            let event = entry.remove();
            self.happen(event);
        }
        for node in 0..self.nodes.len() {
            self.wake(node);
        }
        if self.now.0.is_multiple_of(STEP_TIME.0) {
            self.step_engines();
        }
    }

    pub(super) fn add_node(&mut self, index: MemberIndex) {
        let life = self.next_life();
        let vm = format!("vm-{}", self.nodes.len());
        let vm = vm.parse::<VmId>().expect("the name is an identifier");
        let node = TrialNode::new(index, vm, life, &self.settings, self.now);
        self.nodes.push(node);
    }

    pub(super) fn next_life(&mut self) -> AgentIncarnation {
        self.lives += 1;
        AgentIncarnation(self.lives)
    }

    pub(super) fn is_frozen(&self, node: usize) -> bool {
        self.nodes[node].frozen_until > self.now
    }

    /// Hands a thawed agent what reached it meanwhile, its timers first or last.
    fn wake(&mut self, node: usize) {
        if self.is_frozen(node) {
            return;
        }
        if self.chance(LIST_CHANCE) {
            self.show_list(node);
        }
        let timers_first = self.rng.random();
        if timers_first {
            let outputs = self.nodes[node].agent.tick(self.now);
            self.carry_out(node, outputs);
        }
        for input in std::mem::take(&mut self.nodes[node].inbox) {
            self.input(node, input);
        }
        if !timers_first {
            let outputs = self.nodes[node].agent.tick(self.now);
            self.carry_out(node, outputs);
        }
    }

    /// Shows an agent the VM list as it is now.
    fn show_list(&mut self, node: usize) {
        let current = self.nodes.iter().filter(|node| !node.is_replaced);
        let listed = current.map(|node| (node.index, node.vm.clone()));
        for (index, vm) in listed.collect::<Vec<_>>() {
            let outputs = self.nodes[node].agent.list(index, &vm, self.now);
            self.carry_out(node, outputs);
        }
    }

    fn happen(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Input(node, input) if self.is_frozen(node) => {
                self.nodes[node].inbox.push(input);
            }
            WorldEvent::Input(node, input) => self.input(node, input),
            WorldEvent::Order(node, life, order) => self.obey(node, life, &order),
            WorldEvent::Read(node, life, call) => {
                let answer = if self.is_store_down() {
                    RecordAnswer::Unavailable
                } else {
                    self.store.read()
                };
                self.answer(node, life, call, answer);
            }
            WorldEvent::Write(node, life, call, revision, record) => {
                let answer = if self.is_store_down() {
                    RecordAnswer::Unavailable
                } else {
                    self.store.write(revision, &record)
                };
                if answer == RecordAnswer::Written {
                    self.report.formations += 1;
                }
                self.answer(node, life, call, answer);
            }
        }
    }

    fn is_store_down(&self) -> bool {
        self.outage_until > self.now
    }

    fn answer(
        &mut self,
        node: usize,
        life: AgentIncarnation,
        call: RecordCall,
        answer: RecordAnswer,
    ) {
        let is_lost = self.chance(self.plan.answer_loss);
        let answer = if is_lost {
            RecordAnswer::Unavailable
        } else {
            answer
        };
        let input = NodeInput::Answer(life, call, answer);
        let delay = self.message_delay();
        self.schedule(delay, WorldEvent::Input(node, input));
    }

    fn input(&mut self, node: usize, input: NodeInput) {
        let now = self.now;
        let place = &mut self.nodes[node];
        let outputs = match input {
            NodeInput::Message(from, message) => place.agent.receive(from, &message, now),
            NodeInput::Report(life, report) if life == place.life => {
                place.agent.report(report, now)
            }
            NodeInput::Answer(life, call, answer) if life == place.life => {
                place.agent.answer(call, &answer, now)
            }
            NodeInput::Report(..) | NodeInput::Answer(..) => return,
        };
        self.carry_out(node, outputs);
    }

    pub(super) fn carry_out(&mut self, node: usize, outputs: Vec<AgentOutput>) {
        let life = self.nodes[node].life;
        for output in outputs {
            self.note(node, &output);
            match output {
                AgentOutput::Send { to, message } => self.send(node, to, &message),
                AgentOutput::Order(order) => self.order(node, order),
                AgentOutput::Read { call } => {
                    let delay = self.message_delay();
                    self.schedule(delay, WorldEvent::Read(node, life, call));
                }
                AgentOutput::Write {
                    call,
                    revision,
                    record,
                } => {
                    let delay = self.message_delay();
                    let event = WorldEvent::Write(node, life, call, revision, record);
                    self.schedule(delay, event);
                }
                AgentOutput::Entered(_) | AgentOutput::Aborted(_) => {}
                AgentOutput::Committed(attempt) => self.note_commit(node, attempt),
                AgentOutput::Refused(refusal) => {
                    let label = refusal.label().to_owned();
                    *self.report.refusals.entry(label).or_default() += 1;
                }
                AgentOutput::Overdue(_) => self.report.overdue += 1,
            }
        }
    }

    /// Records an output, beats left out.
    fn note(&mut self, node: usize, output: &AgentOutput) {
        let is_beat = |message: &GroupMessage| {
            matches!(message, GroupMessage::Formation(FormationMessage::Beat(_)))
        };
        let is_silent = matches!(output, AgentOutput::Send { message, .. } if is_beat(message));
        if let Some(log) = self.log.as_mut().filter(|_| !is_silent) {
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

    fn note_commit(&mut self, node: usize, attempt: AttemptId) {
        let map = self.nodes[node]
            .agent
            .map()
            .expect("a member has a map")
            .id();
        let recorded = *self.committed.entry(attempt).or_insert_with(|| {
            self.report.commits += 1;
            map
        });
        assert_eq!(recorded, map, "one attempt led to two maps");
    }

    /// Sends to every VM that holds or held the seat, replaced ones included.
    fn send(&mut self, from: usize, to: MemberIndex, message: &GroupMessage) {
        let bytes = postcard::to_allocvec(message).map_or(0, |bytes| bytes.len());
        match message {
            GroupMessage::Switch(_) => self.report.switch_bytes += bytes as u64,
            GroupMessage::Formation(_) => self.report.formation_bytes += bytes as u64,
        }
        let sender = self.nodes[from].index;
        let targets = (0..self.nodes.len()).filter(|node| self.nodes[*node].index == to);
        for target in targets.collect::<Vec<_>>() {
            let copies = if self.chance(self.plan.loss) {
                0
            } else {
                1 + u32::from(self.chance(self.plan.double))
            };
            for _ in 0..copies {
                let input = NodeInput::Message(sender, message.clone());
                let delay = self.message_delay();
                self.schedule(delay, WorldEvent::Input(target, input));
            }
        }
    }

    fn order(&mut self, node: usize, order: EngineOrder) {
        let life = self.nodes[node].life;
        let longest = self.settings.formation.order_timeout;
        let delay = if self.chance(self.plan.late_order) {
            self.span(longest)
        } else {
            self.delay()
        };
        let last = self.nodes[node].order_at.entry(life).or_default();
        let time = (self.now + delay).max(*last);
        *last = time;
        self.schedule(time.since(self.now), WorldEvent::Order(node, life, order));
    }

    fn obey(&mut self, node: usize, life: AgentIncarnation, order: &EngineOrder) {
        let report = match order {
            EngineOrder::Load { attempt, .. } if self.chance(self.plan.load_fault) => {
                Some(EngineReport::LoadFailed(*attempt))
            }
            EngineOrder::Load { attempt, .. } => Some(EngineReport::Loaded(*attempt)),
            _ => self.nodes[node].engine.obey(order),
        };
        let Some(report) = report else {
            return;
        };
        let delay = match order {
            EngineOrder::Load { .. } => self.span(LOAD_TIME),
            _ => self.delay(),
        };
        let input = NodeInput::Report(life, report);
        self.schedule(delay, WorldEvent::Input(node, input));
    }

    pub(super) fn schedule(&mut self, delay: TimeSpan, event: WorldEvent) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    pub(super) fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_ratio(per_mille, PER_MILLE)
    }

    pub(super) fn happens_within(&mut self, interval: TimeSpan) -> bool {
        self.rng.random_range(0..interval.0.max(1)) < TICK_TIME.0
    }

    pub(super) fn span(&mut self, longest: TimeSpan) -> TimeSpan {
        TimeSpan(self.rng.random_range(0..=longest.0))
    }

    pub(super) fn delay(&mut self) -> TimeSpan {
        self.span(USUAL_DELAY)
    }

    fn message_delay(&mut self) -> TimeSpan {
        if self.chance(self.plan.late) {
            self.span(LATE_DELAY)
        } else {
            self.delay()
        }
    }
}

pub(super) fn member_index(index: usize) -> MemberIndex {
    MemberIndex(u8::try_from(index).expect("a group has at most 64 members"))
}
