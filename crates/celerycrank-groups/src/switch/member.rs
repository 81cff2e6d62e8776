//! A member in the switch protocol.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_chart::ChartStep;
use celerycrank_types::{Incarnation, TimePoint};

use super::chart::{CHART, MemberAction, MemberEvent, MemberState};
use crate::{
    AttemptId, AttemptNumber, EngineOrder, EngineReport, MapChange, MapId, MemberIndex, MemberSet,
    StepNumber, SwitchMessage, SwitchOutput, SwitchRefusal, SwitchTimes, SwitchVerdict,
    VoteHistory, VoteSet,
};

/// The attempt that a member takes part in.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct MemberAttempt {
    id: AttemptId,
    change: Arc<MapChange>,
    /// When the state's timer expires.
    deadline: TimePoint,
    /// When the member voted yes or last reported the verdict as overdue.
    verdict_wait_start: Option<TimePoint>,
}

/// A member in the switch protocol, for one incarnation of its group.
///
/// A member that has voted yes acts only on a verdict, which a no vote or the yes votes of all
/// members give. Until then, the engine does not begin the first step, so a lost verdict stalls
/// the group but never leads to a second map.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SwitchMember {
    index: MemberIndex,
    members: MemberSet,
    incarnation: Incarnation,
    times: SwitchTimes,
    /// The active map.
    ///
    /// Invariant: unless the state is bound, this is the only map that this member's ranks use
    /// in later steps.
    map: MapId,
    state: MemberState,
    /// Invariant: `None` if and only if the state is steady.
    current: Option<MemberAttempt>,
    vote_history: VoteHistory,
    /// The newest attempt of each leader that this member has joined or declined.
    ///
    /// Invariant: never decreases, so a delayed duplicate of an old message gets no second vote.
    last_handled: BTreeMap<MemberIndex, AttemptNumber>,
    /// The next step of the engine, as last reported.
    next_step: StepNumber,
    /// The first step of the active map, if a switch made it active.
    switch_step: Option<StepNumber>,
}

impl SwitchMember {
    /// Creates a member of a newly formed incarnation with its first map.
    #[must_use]
    pub fn new(
        index: MemberIndex,
        members: MemberSet,
        incarnation: Incarnation,
        map: MapId,
        times: SwitchTimes,
    ) -> Self {
        Self {
            index,
            members,
            incarnation,
            times,
            map,
            state: CHART.initial(),
            current: None,
            vote_history: VoteHistory::default(),
            last_handled: BTreeMap::new(),
            next_step: StepNumber::default(),
            switch_step: None,
        }
    }

    /// The newest active map that this member knows of.
    #[must_use]
    pub const fn map(&self) -> MapId {
        self.map
    }

    /// The member's state.
    #[must_use]
    pub const fn state(&self) -> MemberState {
        self.state
    }

    /// The incarnation of the group that this member belongs to.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The next step of the engine, as last reported.
    #[must_use]
    pub const fn next_step(&self) -> StepNumber {
        self.next_step
    }

    /// Whether the member's ranks have reached the first step of an attempt and wait for its
    /// verdict.
    #[must_use]
    pub fn is_awaiting_verdict(&self) -> bool {
        let first = self.votes().and_then(|votes| votes.first);
        self.state == MemberState::Bound && first.is_some_and(|first| self.next_step >= first)
    }

    /// When [`Self::tick`] must be called next; `None` without an attempt.
    #[must_use]
    pub fn deadline(&self) -> Option<TimePoint> {
        self.current.as_ref().map(|attempt| attempt.deadline)
    }

    /// Handles a message from another member or from this agent's own leader.
    pub fn receive(
        &mut self,
        from: MemberIndex,
        message: &SwitchMessage,
        now: TimePoint,
    ) -> Vec<SwitchOutput> {
        let mut outputs = Vec::new();
        if message.attempt().incarnation != self.incarnation {
            return outputs;
        }
        match message {
            SwitchMessage::Prepare { attempt, change } => {
                self.prepare(from, *attempt, change, now, &mut outputs);
            }
            SwitchMessage::Ready { .. } => {}
            SwitchMessage::Propose { attempt, first } => {
                let votes = VoteSet::new(*attempt, Some(*first));
                self.merge_votes(from, &votes, now, &mut outputs);
            }
            SwitchMessage::Votes(votes) => self.merge_votes(from, votes, now, &mut outputs),
        }
        outputs
    }

    /// Handles a report of the engine.
    pub fn report(&mut self, report: EngineReport, now: TimePoint) -> Vec<SwitchOutput> {
        let mut outputs = Vec::new();
        let (attempt, event) = match report {
            EngineReport::Progress { incarnation, next } => {
                if incarnation == self.incarnation {
                    self.next_step = self.next_step.max(next);
                }
                return outputs;
            }
            EngineReport::Loaded(attempt) => (attempt, MemberEvent::Loaded),
            EngineReport::LoadFailed(attempt) => (attempt, MemberEvent::LoadFailed),
            EngineReport::Held { attempt, next } => (attempt, self.classify_hold(next)),
        };
        if self.is_current(attempt) {
            let refusal = match event {
                MemberEvent::LoadFailed => SwitchRefusal::LoadFailed,
                _ => SwitchRefusal::TooLate,
            };
            self.step(event, refusal, now, &mut outputs);
        }
        outputs
    }

    /// Handles the attempt's timer if it has expired.
    pub fn tick(&mut self, now: TimePoint) -> Vec<SwitchOutput> {
        let mut outputs = Vec::new();
        let Some(attempt) = self.current.as_ref().filter(|it| now >= it.deadline) else {
            return outputs;
        };
        let id = attempt.id;
        let overdue = attempt
            .verdict_wait_start
            .is_some_and(|verdict_wait_start| {
                now.since(verdict_wait_start) >= self.times.verdict_timeout
            });
        let refusal = match self.state {
            MemberState::Loading => SwitchRefusal::LoadTimeout,
            MemberState::Ready => SwitchRefusal::ProposeTimeout,
            _ => SwitchRefusal::HoldTimeout,
        };
        self.step(MemberEvent::Expire, refusal, now, &mut outputs);
        if overdue {
            self.start_verdict_wait(now);
            outputs.push(SwitchOutput::Overdue(id));
        }
        outputs
    }

    fn start_verdict_wait(&mut self, now: TimePoint) {
        if let Some(current) = &mut self.current {
            current.verdict_wait_start = Some(now);
        }
    }

    fn prepare(
        &mut self,
        from: MemberIndex,
        attempt: AttemptId,
        change: &Arc<MapChange>,
        now: TimePoint,
        outputs: &mut Vec<SwitchOutput>,
    ) {
        if self.is_current(attempt) {
            self.step(MemberEvent::Prepare, SwitchRefusal::Busy, now, outputs);
        } else if self.has_handled(attempt) {
            self.answer(from, &VoteSet::new(attempt, None), outputs);
        } else if self.is_leader_ahead(attempt) || self.has_pending_switch() {
            // Neither joined nor declined: the leader retries.
        } else if self.state != MemberState::Steady {
            self.decline(attempt, SwitchRefusal::Busy, outputs);
        } else if change.base != self.map {
            self.decline(attempt, SwitchRefusal::OldVersion, outputs);
        } else {
            self.register_attempt(attempt);
            self.current = Some(MemberAttempt {
                id: attempt,
                change: Arc::clone(change),
                deadline: now,
                verdict_wait_start: None,
            });
            self.step(MemberEvent::Prepare, SwitchRefusal::Busy, now, outputs);
        }
    }

    fn merge_votes(
        &mut self,
        from: MemberIndex,
        theirs: &VoteSet,
        now: TimePoint,
        outputs: &mut Vec<SwitchOutput>,
    ) {
        let attempt = theirs.attempt;
        if !self.has_handled(attempt) {
            self.decline(attempt, SwitchRefusal::NotPrepared, outputs);
        }
        let Some(mine) = self.vote_history.get_mut(attempt) else {
            return;
        };
        mine.merge(theirs);
        let mine = mine.clone();
        if self.is_current(attempt) {
            self.apply(&mine, now, outputs);
        }
        self.answer(from, theirs, outputs);
    }

    /// Acts on the votes of the current attempt.
    fn apply(&mut self, votes: &VoteSet, now: TimePoint, outputs: &mut Vec<SwitchOutput>) {
        match votes.verdict(&self.members) {
            Some(SwitchVerdict::Commit) => {
                self.step(MemberEvent::Commit, SwitchRefusal::Busy, now, outputs);
            }
            Some(SwitchVerdict::Abort) => {
                self.step(MemberEvent::Abort, SwitchRefusal::Busy, now, outputs);
            }
            None if votes.first.is_some() => {
                self.step(MemberEvent::Propose, SwitchRefusal::Busy, now, outputs);
            }
            None => {}
        }
    }

    /// Sends a member the votes on an attempt that it lacks.
    fn answer(&mut self, to: MemberIndex, theirs: &VoteSet, outputs: &mut Vec<SwitchOutput>) {
        let Some(mine) = self.vote_history.get_mut(theirs.attempt) else {
            return;
        };
        if to != self.index && mine.has_votes_missing_from(theirs) {
            let message = SwitchMessage::Votes(mine.clone());
            outputs.push(SwitchOutput::Send { to, message });
        }
    }

    /// Votes no on an attempt that this member has not joined.
    fn decline(
        &mut self,
        attempt: AttemptId,
        refusal: SwitchRefusal,
        outputs: &mut Vec<SwitchOutput>,
    ) {
        self.register_attempt(attempt);
        self.vote(attempt, SwitchVerdict::Abort);
        outputs.push(SwitchOutput::Refused(refusal));
        self.send_votes(attempt, outputs);
        outputs.push(SwitchOutput::Aborted(attempt));
    }

    /// Applies an event to the state chart and performs the actions of the transition.
    fn step(
        &mut self,
        event: MemberEvent,
        refusal: SwitchRefusal,
        now: TimePoint,
        outputs: &mut Vec<SwitchOutput>,
    ) {
        let (state, actions) = match CHART.step(self.state, event) {
            ChartStep::Moved { state, actions } => (state, actions),
            ChartStep::Ignored => return,
            ChartStep::Unexpected => panic!("unexpected event {event:?} in state {:?}", self.state),
        };
        let attempt = self
            .current
            .clone()
            .expect("an event is handled only during an attempt");
        self.state = state;
        self.set_deadline(now);
        for action in actions {
            self.perform(*action, &attempt, refusal, now, outputs);
        }
        if state == MemberState::Steady {
            self.current = None;
        }
    }

    fn perform(
        &mut self,
        action: MemberAction,
        attempt: &MemberAttempt,
        refusal: SwitchRefusal,
        now: TimePoint,
        outputs: &mut Vec<SwitchOutput>,
    ) {
        let id = attempt.id;
        match action {
            MemberAction::Load => outputs.push(SwitchOutput::Order(EngineOrder::Load {
                attempt: id,
                change: Arc::clone(&attempt.change),
            })),
            MemberAction::SayReady => outputs.push(SwitchOutput::Send {
                to: id.lead,
                message: SwitchMessage::Ready {
                    attempt: id,
                    next: self.next_step,
                },
            }),
            MemberAction::Hold => outputs.push(SwitchOutput::Order(EngineOrder::Hold {
                attempt: id,
                first: self.first_step(),
            })),
            MemberAction::VoteYes => {
                self.start_verdict_wait(now);
                self.vote(id, SwitchVerdict::Commit);
                self.send_votes(id, outputs);
                let votes = self
                    .votes()
                    .expect("the current attempt has a vote set")
                    .clone();
                self.apply(&votes, now, outputs);
            }
            MemberAction::VoteNo => {
                self.vote(id, SwitchVerdict::Abort);
                outputs.push(SwitchOutput::Refused(refusal));
                self.send_votes(id, outputs);
            }
            MemberAction::SendVotes => self.send_votes(id, outputs),
            MemberAction::Switch => {
                self.map = attempt.change.next;
                self.switch_step = Some(self.first_step());
                outputs.push(SwitchOutput::Order(EngineOrder::Switch {
                    attempt: id,
                    first: self.first_step(),
                    map: attempt.change.next,
                }));
                outputs.push(SwitchOutput::Committed {
                    attempt: id,
                    change: Arc::clone(&attempt.change),
                });
            }
            MemberAction::Release => {
                outputs.push(SwitchOutput::Order(EngineOrder::Release { attempt: id }));
                outputs.push(SwitchOutput::Aborted(id));
            }
        }
    }

    /// Registers a new attempt without evicting the votes of the current one.
    fn register_attempt(&mut self, attempt: AttemptId) {
        let kept = self.current.as_ref().map(|current| current.id);
        self.last_handled.insert(attempt.lead, attempt.number);
        self.vote_history.insert(VoteSet::new(attempt, None), kept);
    }

    fn vote(&mut self, attempt: AttemptId, verdict: SwitchVerdict) {
        let votes = self
            .vote_history
            .get_mut(attempt)
            .expect("a vote is cast only on a registered attempt");
        votes.vote(self.index, verdict);
    }

    fn send_votes(&mut self, attempt: AttemptId, outputs: &mut Vec<SwitchOutput>) {
        let votes = self
            .vote_history
            .get_mut(attempt)
            .expect("votes are sent only on a registered attempt");
        let others = self.members.difference(&MemberSet::only(self.index));
        outputs.extend(others.iter().map(|to| SwitchOutput::Send {
            to,
            message: SwitchMessage::Votes(votes.clone()),
        }));
    }

    fn set_deadline(&mut self, now: TimePoint) {
        let span = match self.state {
            MemberState::Loading => self.times.load_timeout,
            MemberState::Ready => self.times.propose_timeout,
            MemberState::Holding => self.times.hold_timeout,
            MemberState::Steady | MemberState::Bound => self.times.retry_interval,
        };
        if let Some(current) = &mut self.current {
            current.deadline = now + span;
        }
    }

    fn classify_hold(&self, next: StepNumber) -> MemberEvent {
        match self.votes().and_then(|votes| votes.first) {
            Some(first) if next <= first => MemberEvent::Held,
            _ => MemberEvent::TooLate,
        }
    }

    fn votes(&self) -> Option<&VoteSet> {
        self.vote_history.get(self.current.as_ref()?.id)
    }

    fn first_step(&self) -> StepNumber {
        let first = self.votes().and_then(|votes| votes.first);
        first.expect("a proposed attempt has a first step")
    }

    fn is_current(&self, attempt: AttemptId) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.id == attempt)
    }

    /// Whether the engine has not yet begun the first step of the active map.
    ///
    /// An engine can hold only one pending switch, so the next attempt has to wait until the
    /// pending one is complete.
    fn has_pending_switch(&self) -> bool {
        self.switch_step
            .is_some_and(|switch_step| self.next_step <= switch_step)
    }

    /// Whether the leader of `attempt` already knows the verdict on its previous attempt, in which
    /// this member still takes part.
    fn is_leader_ahead(&self, attempt: AttemptId) -> bool {
        self.current
            .as_ref()
            .is_some_and(|it| it.id.lead == attempt.lead)
    }

    fn has_handled(&self, attempt: AttemptId) -> bool {
        let last_handled = self.last_handled.get(&attempt.lead);
        last_handled.is_some_and(|number| attempt.number <= *number)
    }
}
