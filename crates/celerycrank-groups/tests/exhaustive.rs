//! Exhaustive state-space search of the switch protocol in small groups, with one failure.
//!
//! The network is the set of all messages that were ever sent. Each can be delivered at any
//! time, any number of times or never. This covers late, lost, duplicated and reordered
//! messages together, and retries add nothing to the set. A timer that ends a wait can expire at
//! any time and counts as a failure. A vote set is sent as one message for each of its votes:
//! vote sets merge by union, so this reaches every state that complete vote sets reach. Messages
//! of an agent to itself are delivered immediately. An engine loads weights immediately if no
//! failure is left to inject; all other orders to engines can be late.

use std::{
    collections::{BTreeSet, HashSet, VecDeque},
    hash::{BuildHasher, RandomState},
    sync::Arc,
};

use celerycrank_groups::{
    EngineOrder, EngineReport, ExpertIndex, ExpertMap, MapChange, MapShape, MapVersion,
    MemberIndex, MemberSet, MemberState, StepAudit, StepNumber, SwitchLeader, SwitchMember,
    SwitchMessage, SwitchOutput, SwitchTimes, SwitchVerdict, VoteSet, WeightCopy,
    simulation::SimulatedEngine,
};
use celerycrank_types::{Incarnation, TimePoint, TimeSpan};

const NOW: TimePoint = TimePoint(0);
const INCARNATION: Incarnation = Incarnation(1);
/// The step at which engines stop: one beyond the highest first step of a new map.
const LAST_STEP: StepNumber = StepNumber(2);

/// The number of states that a partial search visits.
const PARTIAL_SEARCH_LIMIT: usize = 40_000;

#[derive(Clone, Hash)]
struct ModelAgent {
    member: SwitchMember,
    leader: Option<SwitchLeader>,
    engine: SimulatedEngine,
    orders: VecDeque<EngineOrder>,
    is_crashed: bool,
}

#[derive(Clone, Hash)]
struct ModelState {
    agents: Vec<ModelAgent>,
    network: BTreeSet<(MemberIndex, MemberIndex, SwitchMessage)>,
    audit: StepAudit,
    failures_left: u8,
}

#[derive(Debug, Default)]
struct SearchCounts {
    states: usize,
    commits: usize,
    aborts: usize,
    stalls: usize,
}

fn times() -> SwitchTimes {
    SwitchTimes::builder()
        .load_timeout(TimeSpan::ZERO)
        .propose_timeout(TimeSpan::ZERO)
        .hold_timeout(TimeSpan::ZERO)
        .retry_interval(TimeSpan::ZERO)
        .margin_steps(1)
        .build()
}

fn first_map() -> ExpertMap {
    let shape = MapShape::builder().layers(1).experts(2).ranks(2).slots(2);
    ExpertMap::round_robin(shape.build())
}

/// Creates a group of `count` members in which the first `leader_count` each start an attempt.
fn start(count: u8, leader_count: u8, failures_left: u8) -> ModelState {
    let members = MemberSet::first_n(usize::from(count));
    let map = Arc::new(first_map());
    let agents = (0..u16::from(count)).map(MemberIndex).map(|index| {
        let mut engine = SimulatedEngine::default();
        engine.execute(&EngineOrder::Form {
            incarnation: INCARNATION,
            map: Arc::clone(&map),
        });
        let new_leader = || SwitchLeader::new(index, members.clone(), INCARNATION, times());
        ModelAgent {
            member: SwitchMember::new(index, members.clone(), INCARNATION, map.id(), times()),
            leader: (index.0 < u16::from(leader_count)).then(new_leader),
            engine,
            orders: VecDeque::new(),
            is_crashed: false,
        }
    });
    let mut state = ModelState {
        agents: agents.collect(),
        network: BTreeSet::new(),
        audit: StepAudit::default(),
        failures_left,
    };
    for index in 0..usize::from(leader_count) {
        let load = WeightCopy {
            layer: 0,
            slot: 1 + 2 * u16::try_from(index).unwrap(),
            expert: ExpertIndex(1 - u16::try_from(index).unwrap()),
        };
        let change = MapChange::new(&map, vec![load]);
        let leader = state.agents[index].leader.as_mut().unwrap();
        let outputs = leader.start(change, NOW);
        state.apply_outputs(index, outputs);
    }
    state
}

impl ModelState {
    fn apply_outputs(&mut self, index: usize, outputs: Vec<SwitchOutput>) {
        let from = MemberIndex(u16::try_from(index).unwrap());
        for output in outputs {
            match output {
                SwitchOutput::Send { to, message } if to == from => {
                    let outputs = self.agents[index].receive(from, &message);
                    self.apply_outputs(index, outputs);
                }
                SwitchOutput::Send { to, message } => {
                    let messages = single_votes(message).into_iter();
                    self.network
                        .extend(messages.map(|message| (from, to, message)));
                }
                SwitchOutput::Order(order) => {
                    let is_load = matches!(order, EngineOrder::Load { .. });
                    self.agents[index].orders.push_back(order);
                    if is_load && self.failures_left == 0 {
                        self.execute(index, false);
                    }
                }
                SwitchOutput::Committed { attempt, .. } | SwitchOutput::Aborted(attempt) => {
                    if let Some(leader) = &mut self.agents[index].leader {
                        leader.end_attempt(attempt, NOW);
                    }
                }
                SwitchOutput::Refused(_) | SwitchOutput::Overdue(_) => {}
            }
        }
    }

    /// All states that one event leads to.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for (from, to, message) in &self.network {
            let target = usize::from(to.0);
            next.extend(self.after(target, |agent| agent.receive(*from, message)));
        }
        for index in 0..self.agents.len() {
            next.extend(self.after(index, |agent| agent.member.tick(NOW)));
            next.extend(self.after(index, |agent| {
                agent
                    .leader
                    .as_mut()
                    .map_or_else(Vec::new, |leader| leader.tick(NOW))
            }));
            next.extend(self.after_order(index, false));
            next.extend(self.after_step(index));
            if self.failures_left > 0 {
                next.extend(self.after_order(index, true));
                next.extend(self.after_crash(index));
                next.extend(self.after_timeout(index));
            }
        }
        next
    }

    /// The state after an event at a running agent, or `None` if the agent has crashed.
    fn after(
        &self,
        index: usize,
        event: impl FnOnce(&mut ModelAgent) -> Vec<SwitchOutput>,
    ) -> Option<Self> {
        if self.agents[index].is_crashed {
            return None;
        }
        let mut next = self.clone();
        let outputs = event(&mut next.agents[index]);
        next.apply_outputs(index, outputs);
        Some(next)
    }

    /// The state after the engine executes its next order; a load can fail.
    fn after_order(&self, index: usize, fails: bool) -> Option<Self> {
        let order = self.agents[index].orders.front()?;
        if fails && !matches!(order, EngineOrder::Load { .. }) {
            return None;
        }
        let mut next = self.clone();
        next.failures_left -= u8::from(fails);
        next.execute(index, fails);
        Some(next)
    }

    fn execute(&mut self, index: usize, fails: bool) {
        let order = self.agents[index].orders.pop_front();
        let report = match order.expect("an order is pending") {
            EngineOrder::Load { attempt, .. } if fails => Some(EngineReport::LoadFailed(attempt)),
            EngineOrder::Load { attempt, .. } => Some(EngineReport::Loaded(attempt)),
            order => self.agents[index].engine.execute(&order),
        };
        if let Some(report) = report {
            self.report(index, report);
        }
    }

    fn report(&mut self, index: usize, report: EngineReport) {
        if !self.agents[index].is_crashed {
            let agent = &mut self.agents[index];
            let outputs = agent.member.report(report, NOW);
            if let Some(leader) = &mut agent.leader {
                leader.observe_progress(agent.member.next_step());
            }
            self.apply_outputs(index, outputs);
        }
    }

    /// The state after the engine begins its next step, if its peers have begun the previous one.
    fn after_step(&self, index: usize) -> Option<Self> {
        let engine = &self.agents[index].engine;
        let behind = |agent: &ModelAgent| agent.engine.next() < engine.next();
        let is_last = engine.next() >= LAST_STEP;
        let is_early = !self.is_proposed();
        if engine.is_held() || is_last || is_early || self.agents.iter().any(behind) {
            return None;
        }
        let mut next = self.clone();
        let engine = &mut next.agents[index].engine;
        engine.begin(&mut next.audit);
        let report = EngineReport::Progress {
            incarnation: INCARNATION,
            next: engine.next(),
        };
        next.report(index, report);
        Some(next)
    }

    /// The state after the timer of a member expires before its wait has ended.
    fn after_timeout(&self, index: usize) -> Option<Self> {
        let state = self.agents[index].member.state();
        if matches!(state, MemberState::Steady | MemberState::Bound) {
            return None;
        }
        let mut next = self.after(index, |agent| agent.member.tick(NOW))?;
        next.failures_left -= 1;
        Some(next)
    }

    /// The state after an agent crashes; its engine keeps running and executes pending orders.
    fn after_crash(&self, index: usize) -> Option<Self> {
        if self.agents[index].is_crashed {
            return None;
        }
        let mut next = self.clone();
        next.agents[index].is_crashed = true;
        next.failures_left -= 1;
        Some(next)
    }

    /// Whether a leader has proposed a first step. Engines begin no step until then, since only
    /// their distance from that step matters.
    fn is_proposed(&self) -> bool {
        let is_propose = |message: &SwitchMessage| matches!(message, SwitchMessage::Propose { .. });
        self.network
            .iter()
            .any(|(_, _, message)| is_propose(message))
    }

    fn count(&self, counts: &mut SearchCounts) {
        counts.states += 1;
        let version = |agent: &ModelAgent| agent.member.map().version;
        counts.commits += usize::from(self.agents.iter().all(|it| version(it) > MapVersion(0)));
        counts.stalls += usize::from(self.agents.iter().any(|it| it.engine.is_held()));
        let has_moved = |agent: &ModelAgent| agent.engine.next() == LAST_STEP;
        let is_old = |agent: &ModelAgent| version(agent) == MapVersion(0);
        counts.aborts += usize::from(self.agents.iter().all(|it| has_moved(it) && is_old(it)));
    }
}

impl ModelAgent {
    fn receive(&mut self, from: MemberIndex, message: &SwitchMessage) -> Vec<SwitchOutput> {
        let mut outputs = self.member.receive(from, message, NOW);
        if let Some(leader) = &mut self.leader {
            outputs.extend(leader.receive(from, message, NOW));
        }
        outputs
    }
}

/// Splits a vote set into one message for each vote; returns any other message unchanged.
fn single_votes(message: SwitchMessage) -> Vec<SwitchMessage> {
    let SwitchMessage::Votes(votes) = message else {
        return vec![message];
    };
    let empty = VoteSet::new(votes.attempt, votes.first);
    let single = |member, verdict| {
        let mut single = empty.clone();
        single.vote(member, verdict);
        SwitchMessage::Votes(single)
    };
    let yes = votes.yes.iter().map(|it| single(it, SwitchVerdict::Commit));
    let no = votes.no.iter().map(|it| single(it, SwitchVerdict::Abort));
    yes.chain(no).collect()
}

/// Visits states in breadth-first order, up to a limit. The audit panics if two ranks use
/// different maps in one step.
fn search(initial: ModelState, limit: usize) -> SearchCounts {
    let hasher = RandomState::new();
    let mut seen = HashSet::from([hasher.hash_one(&initial)]);
    let mut open = VecDeque::from([initial]);
    let mut counts = SearchCounts::default();
    while let Some(state) = open.pop_front() {
        state.count(&mut counts);
        if counts.states == limit {
            break;
        }
        for next in state.successors() {
            if seen.insert(hasher.hash_one(&next)) {
                open.push_back(next);
            }
        }
    }
    println!("{counts:?}, {} left", open.len());
    counts
}

/// Complete search of a group of two with one failure.
#[test]
fn two_members_one_failure() {
    let counts = search(start(2, 1, 1), usize::MAX);
    assert!(
        counts.commits > 0 && counts.aborts > 0 && counts.stalls > 0,
        "{counts:?}"
    );
}

/// Partial search with two concurrent leaders.
#[test]
fn two_members_two_leaders_partial() {
    let counts = search(start(2, 2, 0), PARTIAL_SEARCH_LIMIT);
    assert!(counts.stalls > 0, "{counts:?}");
}

/// Partial search of a group of three with one failure.
#[test]
fn three_members_partial() {
    let counts = search(proposed(3, 1), PARTIAL_SEARCH_LIMIT);
    assert!(counts.stalls > 0, "{counts:?}");
}

/// Creates a group in which every member has loaded its weights and the leader has proposed.
///
/// No member is bound before that, so the search of three members starts here.
fn proposed(count: u8, failures_left: u8) -> ModelState {
    let mut state = start(count, 1, 0);
    while !state.is_proposed() {
        for (from, to, message) in state.network.clone() {
            let index = usize::from(to.0);
            let outputs = state.agents[index].receive(from, &message);
            state.apply_outputs(index, outputs);
        }
    }
    state.failures_left = failures_left;
    state
}
