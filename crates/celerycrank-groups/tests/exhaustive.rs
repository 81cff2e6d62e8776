//! Exhaustive search of small cases: every order of messages, and one failure.
//!
//! The network is the set of all messages ever sent. Each may be delivered at any time, any
//! number of times or never, which covers late, lost, doubled and reordered ones at once.
//! A timer that ends a wait may fire at any time and counts as a failure; messages that are
//! sent again are in the set already. A board travels as one message for each of its votes:
//! boards merge by union, so this reaches every state that whole boards reach. An agent hears
//! itself at once, and an engine loads at once; all other orders to engines may be late.

use std::{
    collections::{BTreeSet, HashSet, VecDeque},
    hash::{BuildHasher, RandomState},
    sync::Arc,
};

use celerycrank_groups::{
    EngineOrder, EngineReport, ExpertIndex, ExpertMap, MapChange, MapShape, MapVersion,
    MemberIndex, MemberOutput, MemberSet, MemberState, SlotLoad, StepAudit, StepNumber, SwitchLead,
    SwitchMember, SwitchMessage, SwitchTimes, SwitchVerdict, VoteBoard, trial::TrialEngine,
};
use celerycrank_types::{Incarnation, TimePoint, TimeSpan};

const NOW: TimePoint = TimePoint(0);
const INCARNATION: Incarnation = Incarnation(1);
/// Steps after which engines stop: one beyond the farthest first step of a new map.
const LAST_STEP: StepNumber = StepNumber(2);

/// Situations that a search in part visits.
const PART_LIMIT: usize = 40_000;

#[derive(Clone, Hash)]
struct Place {
    member: SwitchMember,
    lead: Option<SwitchLead>,
    engine: TrialEngine,
    orders: VecDeque<EngineOrder>,
    is_dead: bool,
}

#[derive(Clone, Hash)]
struct Situation {
    places: Vec<Place>,
    network: BTreeSet<(MemberIndex, MemberIndex, SwitchMessage)>,
    audit: StepAudit,
    failures_left: u8,
}

#[derive(Debug, Default)]
struct Tally {
    situations: usize,
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

/// A group of `count` members in which the first `leads` each begin one attempt.
fn start(count: u8, leads: u8, failures_left: u8) -> Situation {
    let members = MemberSet::first(usize::from(count));
    let map = Arc::new(first_map());
    let places = (0..count).map(MemberIndex).map(|index| {
        let mut engine = TrialEngine::default();
        engine.obey(&EngineOrder::Form {
            incarnation: INCARNATION,
            map: Arc::clone(&map),
        });
        let lead = || SwitchLead::new(index, members, INCARNATION, times());
        Place {
            member: SwitchMember::new(index, members, INCARNATION, map.id(), times()),
            lead: (index.0 < leads).then(lead),
            engine,
            orders: VecDeque::new(),
            is_dead: false,
        }
    });
    let mut situation = Situation {
        places: places.collect(),
        network: BTreeSet::new(),
        audit: StepAudit::default(),
        failures_left,
    };
    for index in 0..usize::from(leads) {
        let load = SlotLoad {
            layer: 0,
            slot: 1 + 2 * u16::try_from(index).unwrap(),
            expert: ExpertIndex(1 - u16::try_from(index).unwrap()),
        };
        let change = MapChange::new(&map, vec![load]);
        let leader = situation.places[index].lead.as_mut().unwrap();
        let outputs = leader.start(change, NOW);
        situation.carry_out(index, outputs);
    }
    situation
}

impl Situation {
    fn carry_out(&mut self, index: usize, outputs: Vec<MemberOutput>) {
        let from = MemberIndex(u8::try_from(index).unwrap());
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } if to == from => {
                    let outputs = self.places[index].receive(from, &message);
                    self.carry_out(index, outputs);
                }
                MemberOutput::Send { to, message } => {
                    let messages = single_votes(message).into_iter();
                    self.network
                        .extend(messages.map(|message| (from, to, message)));
                }
                MemberOutput::Order(order) => {
                    let is_load = matches!(order, EngineOrder::Load { .. });
                    self.places[index].orders.push_back(order);
                    if is_load && self.failures_left == 0 {
                        self.obey(index, false);
                    }
                }
                MemberOutput::Committed { attempt, .. } | MemberOutput::Aborted(attempt) => {
                    if let Some(lead) = &mut self.places[index].lead {
                        lead.settle(attempt, NOW);
                    }
                }
                MemberOutput::Refused(_) | MemberOutput::Overdue(_) => {}
            }
        }
    }

    /// Every situation that one event leads to.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for (from, to, message) in &self.network {
            let target = usize::from(to.0);
            next.extend(self.after(target, |place| place.receive(*from, message)));
        }
        for index in 0..self.places.len() {
            next.extend(self.after(index, |place| place.member.tick(NOW)));
            next.extend(self.after(index, |place| {
                place
                    .lead
                    .as_mut()
                    .map_or_else(Vec::new, |lead| lead.tick(NOW))
            }));
            next.extend(self.after_order(index, false));
            next.extend(self.after_step(index));
            if self.failures_left > 0 {
                next.extend(self.after_order(index, true));
                next.extend(self.after_death(index));
                next.extend(self.after_timeout(index));
            }
        }
        next
    }

    /// What a live agent's event leads to.
    fn after(
        &self,
        index: usize,
        event: impl FnOnce(&mut Place) -> Vec<MemberOutput>,
    ) -> Option<Self> {
        if self.places[index].is_dead {
            return None;
        }
        let mut next = self.clone();
        let outputs = event(&mut next.places[index]);
        next.carry_out(index, outputs);
        Some(next)
    }

    /// The engine obeys its next order; a load may fail.
    fn after_order(&self, index: usize, fails: bool) -> Option<Self> {
        let order = self.places[index].orders.front()?;
        if fails && !matches!(order, EngineOrder::Load { .. }) {
            return None;
        }
        let mut next = self.clone();
        next.failures_left -= u8::from(fails);
        next.obey(index, fails);
        Some(next)
    }

    fn obey(&mut self, index: usize, fails: bool) {
        let order = self.places[index].orders.pop_front();
        let report = match order.expect("an order is waiting") {
            EngineOrder::Load { attempt, .. } if fails => Some(EngineReport::LoadFailed(attempt)),
            EngineOrder::Load { attempt, .. } => Some(EngineReport::Loaded(attempt)),
            order => self.places[index].engine.obey(&order),
        };
        if let Some(report) = report {
            self.report(index, report);
        }
    }

    fn report(&mut self, index: usize, report: EngineReport) {
        if !self.places[index].is_dead {
            let place = &mut self.places[index];
            let outputs = place.member.report(report, NOW);
            if let Some(lead) = &mut place.lead {
                lead.progress(place.member.progress());
            }
            self.carry_out(index, outputs);
        }
    }

    /// The engine begins its next step if its peers have begun the one before.
    fn after_step(&self, index: usize) -> Option<Self> {
        let engine = &self.places[index].engine;
        let behind = |place: &Place| place.engine.next() < engine.next();
        let is_last = engine.next() >= LAST_STEP;
        let is_early = !self.is_proposed();
        if engine.is_held() || is_last || is_early || self.places.iter().any(behind) {
            return None;
        }
        let mut next = self.clone();
        let engine = &mut next.places[index].engine;
        engine.begin(&mut next.audit);
        let report = EngineReport::Progress {
            incarnation: INCARNATION,
            next: engine.next(),
        };
        next.report(index, report);
        Some(next)
    }

    /// The timer of a member fires before its wait has ended.
    fn after_timeout(&self, index: usize) -> Option<Self> {
        let state = self.places[index].member.state();
        if matches!(state, MemberState::Steady | MemberState::Bound) {
            return None;
        }
        let mut next = self.after(index, |place| place.member.tick(NOW))?;
        next.failures_left -= 1;
        Some(next)
    }

    /// An agent dies; its engine runs on and obeys what was ordered.
    fn after_death(&self, index: usize) -> Option<Self> {
        if self.places[index].is_dead {
            return None;
        }
        let mut next = self.clone();
        next.places[index].is_dead = true;
        next.failures_left -= 1;
        Some(next)
    }

    /// Whether some lead has chosen a first step; engines stand still until then, since
    /// only their distance from that step matters.
    fn is_proposed(&self) -> bool {
        let is_propose = |message: &SwitchMessage| matches!(message, SwitchMessage::Propose { .. });
        self.network
            .iter()
            .any(|(_, _, message)| is_propose(message))
    }

    fn count(&self, tally: &mut Tally) {
        tally.situations += 1;
        let version = |place: &Place| place.member.map().version;
        tally.commits += usize::from(self.places.iter().all(|it| version(it) > MapVersion(0)));
        tally.stalls += usize::from(self.places.iter().any(|it| it.engine.is_held()));
        let has_moved = |place: &Place| place.engine.next() == LAST_STEP;
        let is_old = |place: &Place| version(place) == MapVersion(0);
        tally.aborts += usize::from(self.places.iter().all(|it| has_moved(it) && is_old(it)));
    }
}

impl Place {
    fn receive(&mut self, from: MemberIndex, message: &SwitchMessage) -> Vec<MemberOutput> {
        let mut outputs = self.member.receive(from, message, NOW);
        if let Some(lead) = &mut self.lead {
            outputs.extend(lead.receive(from, message, NOW));
        }
        outputs
    }
}

/// A board as one message for each vote; any other message as it is.
fn single_votes(message: SwitchMessage) -> Vec<SwitchMessage> {
    let SwitchMessage::Votes(board) = message else {
        return vec![message];
    };
    let empty = VoteBoard::new(board.attempt, board.first);
    let votes = |members: MemberSet, verdict| {
        members.iter().map(move |member| {
            let mut single = empty;
            single.vote(member, verdict);
            SwitchMessage::Votes(single)
        })
    };
    let yes = votes(board.yes, SwitchVerdict::Commit);
    yes.chain(votes(board.no, SwitchVerdict::Abort)).collect()
}

/// Visits situations breadth first, all of them or up to a limit; the audit panics where
/// two ranks use two maps in one step.
fn search(initial: Situation, limit: usize) -> Tally {
    let hasher = RandomState::new();
    let mut seen = HashSet::from([hasher.hash_one(&initial)]);
    let mut open = VecDeque::from([initial]);
    let mut tally = Tally::default();
    while let Some(situation) = open.pop_front() {
        situation.count(&mut tally);
        if tally.situations == limit {
            break;
        }
        for next in situation.successors() {
            if seen.insert(hasher.hash_one(&next)) {
                open.push_back(next);
            }
        }
    }
    println!("{tally:?}, {} left", open.len());
    tally
}

/// Every order of messages in a group of two, with one failure.
#[test]
fn two_members_one_failure() {
    let tally = search(start(2, 1, 1), usize::MAX);
    assert!(
        tally.commits > 0 && tally.aborts > 0 && tally.stalls > 0,
        "{tally:?}"
    );
}

/// Two leads at once; a part of the search only.
#[test]
fn two_members_two_leads_in_part() {
    let tally = search(start(2, 2, 0), PART_LIMIT);
    assert!(tally.stalls > 0, "{tally:?}");
}

/// Three members with one failure; a part of the search only.
#[test]
fn three_members_in_part() {
    let tally = search(proposed(3, 1), PART_LIMIT);
    assert!(tally.stalls > 0, "{tally:?}");
}

/// The group once every member has loaded its weights and the lead has proposed.
///
/// Nothing is promised before that, so three members are searched from here.
fn proposed(count: u8, failures_left: u8) -> Situation {
    let mut situation = start(count, 1, 0);
    while !situation.is_proposed() {
        for (from, to, message) in situation.network.clone() {
            let index = usize::from(to.0);
            let outputs = situation.places[index].receive(from, &message);
            situation.carry_out(index, outputs);
        }
    }
    situation.failures_left = failures_left;
    situation
}
