//! One member's part in switching the map of its group.

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
    /// When the state's timer fires.
    deadline: TimePoint,
    /// When the member voted yes, or last found the verdict overdue.
    verdict_wait_start: Option<TimePoint>,
}

/// One member's part in the switches of one incarnation of its group.
///
/// A member that has voted yes acts on the votes of all members only. The engine does not
/// begin the first step meanwhile, so a lost verdict is a stall and never a second map.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SwitchMember {
    index: MemberIndex,
    members: MemberSet,
    incarnation: Incarnation,
    times: SwitchTimes,
    /// Invariant: the one map that this member's ranks use in the steps to come, unless it
    /// is bound.
    map: MapId,
    state: MemberState,
    /// Invariant: absent exactly in the steady state.
    current: Option<MemberAttempt>,
    vote_history: VoteHistory,
    /// The newest attempt of each lead on which this member has taken a stand.
    ///
    /// Invariant: never falls, so a late copy of an old attempt gets no second vote.
    last_handled: BTreeMap<MemberIndex, AttemptNumber>,
    /// The step that the engine begins next, as last reported.
    progress: StepNumber,
    /// The first step of the map in force, if it came by a switch.
    switch_step: Option<StepNumber>,
}

impl SwitchMember {
    /// A member of a newly formed incarnation with its first map.
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
            progress: StepNumber::default(),
            switch_step: None,
        }
    }

    /// The map in force as far as this member knows.
    #[must_use]
    pub const fn map(&self) -> MapId {
        self.map
    }

    /// Where the member stands.
    #[must_use]
    pub const fn state(&self) -> MemberState {
        self.state
    }

    /// The incarnation whose switches this member takes part in.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The step that the engine begins next, as last reported.
    #[must_use]
    pub const fn progress(&self) -> StepNumber {
        self.progress
    }

    /// Whether the member's ranks wait at the first step of an attempt for its verdict.
    #[must_use]
    pub fn is_awaiting_verdict(&self) -> bool {
        let first = self.votes().and_then(|votes| votes.first);
        self.state == MemberState::Bound && first.is_some_and(|first| self.progress >= first)
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub fn deadline(&self) -> Option<TimePoint> {
        self.current.as_ref().map(|attempt| attempt.deadline)
    }

    /// Takes a message of another member, or of this agent's own lead.
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

    /// Takes a report of the engine.
    pub fn report(&mut self, report: EngineReport, now: TimePoint) -> Vec<SwitchOutput> {
        let mut outputs = Vec::new();
        let (attempt, event) = match report {
            EngineReport::Progress { incarnation, next } => {
                if incarnation == self.incarnation {
                    self.progress = self.progress.max(next);
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

    /// Acts on the passage of time.
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
            // Not a refusal: the lead will ask again.
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
        let mine = *mine;
        if self.is_current(attempt) {
            self.apply(&mine, now, outputs);
        }
        self.answer(from, theirs, outputs);
    }

    /// Acts on the votes on the current attempt.
    fn apply(&mut self, votes: &VoteSet, now: TimePoint, outputs: &mut Vec<SwitchOutput>) {
        match votes.verdict(self.members) {
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

    /// Tells a member what it lacks on an attempt.
    fn answer(&mut self, to: MemberIndex, theirs: &VoteSet, outputs: &mut Vec<SwitchOutput>) {
        let Some(mine) = self.vote_history.get_mut(theirs.attempt) else {
            return;
        };
        if to != self.index && mine.has_votes_missing_from(theirs) {
            let message = SwitchMessage::Votes(*mine);
            outputs.push(SwitchOutput::Send { to, message });
        }
    }

    /// Votes no on an attempt that this member has taken no part in.
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

    /// Moves along the chart and carries out what it says.
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
            ChartStep::Unexpected => panic!("{event:?} has no place in {:?}", self.state),
        };
        let attempt = self
            .current
            .clone()
            .expect("each event belongs to the attempt");
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
                    next: self.progress,
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
                let votes = *self.votes().expect("the current attempt has a votes");
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

    /// Takes a stand on a new attempt; the votes of the current one is kept.
    fn register_attempt(&mut self, attempt: AttemptId) {
        let kept = self.current.as_ref().map(|current| current.id);
        self.last_handled.insert(attempt.lead, attempt.number);
        self.vote_history.insert(VoteSet::new(attempt, None), kept);
    }

    fn vote(&mut self, attempt: AttemptId, verdict: SwitchVerdict) {
        let votes = self
            .vote_history
            .get_mut(attempt)
            .expect("a vote is on a known attempt");
        votes.vote(self.index, verdict);
    }

    fn send_votes(&mut self, attempt: AttemptId, outputs: &mut Vec<SwitchOutput>) {
        let votes = *self
            .vote_history
            .get_mut(attempt)
            .expect("a sent votes is known");
        let others = self.members.difference(MemberSet::only(self.index));
        outputs.extend(others.iter().map(|to| SwitchOutput::Send {
            to,
            message: SwitchMessage::Votes(votes),
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

    /// Whether the engine has yet to begin the first step of the map in force.
    ///
    /// An engine holds one pending switch; the next attempt waits until it is done.
    fn has_pending_switch(&self) -> bool {
        self.switch_step
            .is_some_and(|switch_step| self.progress <= switch_step)
    }

    /// Whether the lead of `attempt` has seen the verdict on its last one before this member.
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
