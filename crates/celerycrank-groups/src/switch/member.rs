//! One member's part in switching the map of its group.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_chart::ChartStep;
use celerycrank_types::{Incarnation, TimePoint};

use super::chart::{CHART, MemberAction, MemberEvent, MemberState};
use crate::{
    AttemptId, AttemptNumber, BoardHistory, EngineOrder, EngineReport, MapChange, MapId,
    MemberIndex, MemberOutput, MemberSet, StepNumber, SwitchMessage, SwitchRefusal, SwitchTimes,
    SwitchVerdict, VoteBoard,
};

/// The attempt that a member takes part in.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct MemberAttempt {
    id: AttemptId,
    change: Arc<MapChange>,
    /// When the state's timer fires.
    deadline: TimePoint,
    /// When the member voted yes, or last found the verdict overdue.
    bound_at: Option<TimePoint>,
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
    boards: BoardHistory,
    /// The newest attempt of each lead on which this member has taken a stand.
    ///
    /// Invariant: never falls, so a late copy of an old attempt gets no second vote.
    judged: BTreeMap<MemberIndex, AttemptNumber>,
    /// The step that the engine begins next, as last reported.
    progress: StepNumber,
    /// The first step of the map in force, if it came by a switch.
    since: Option<StepNumber>,
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
            boards: BoardHistory::default(),
            judged: BTreeMap::new(),
            progress: StepNumber::default(),
            since: None,
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
    pub fn is_waiting(&self) -> bool {
        let first = self.board().and_then(|board| board.first);
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
    ) -> Vec<MemberOutput> {
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
                let board = VoteBoard::new(*attempt, Some(*first));
                self.take_board(from, &board, now, &mut outputs);
            }
            SwitchMessage::Votes(board) => self.take_board(from, board, now, &mut outputs),
        }
        outputs
    }

    /// Takes a report of the engine.
    pub fn report(&mut self, report: EngineReport, now: TimePoint) -> Vec<MemberOutput> {
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
            EngineReport::Held { attempt, next } => (attempt, self.judge_hold(next)),
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
    pub fn tick(&mut self, now: TimePoint) -> Vec<MemberOutput> {
        let mut outputs = Vec::new();
        let Some(attempt) = self.current.as_ref().filter(|it| now >= it.deadline) else {
            return outputs;
        };
        let id = attempt.id;
        let overdue = attempt
            .bound_at
            .is_some_and(|bound_at| now.since(bound_at) >= self.times.verdict_timeout);
        let refusal = match self.state {
            MemberState::Loading => SwitchRefusal::LoadTimeout,
            MemberState::Ready => SwitchRefusal::ProposeTimeout,
            _ => SwitchRefusal::HoldTimeout,
        };
        self.step(MemberEvent::Expire, refusal, now, &mut outputs);
        if overdue {
            self.start_wait(now);
            outputs.push(MemberOutput::Overdue(id));
        }
        outputs
    }

    fn start_wait(&mut self, now: TimePoint) {
        if let Some(current) = &mut self.current {
            current.bound_at = Some(now);
        }
    }

    fn prepare(
        &mut self,
        from: MemberIndex,
        attempt: AttemptId,
        change: &Arc<MapChange>,
        now: TimePoint,
        outputs: &mut Vec<MemberOutput>,
    ) {
        if self.is_current(attempt) {
            self.step(MemberEvent::Prepare, SwitchRefusal::Busy, now, outputs);
        } else if self.has_judged(attempt) {
            self.answer(from, &VoteBoard::new(attempt, None), outputs);
        } else if self.is_behind(attempt) || self.is_switching() {
            // Not a refusal: the lead will ask again.
        } else if self.state != MemberState::Steady {
            self.decline(attempt, SwitchRefusal::Busy, outputs);
        } else if change.base != self.map {
            self.decline(attempt, SwitchRefusal::OldVersion, outputs);
        } else {
            self.add_board(attempt);
            self.current = Some(MemberAttempt {
                id: attempt,
                change: Arc::clone(change),
                deadline: now,
                bound_at: None,
            });
            self.step(MemberEvent::Prepare, SwitchRefusal::Busy, now, outputs);
        }
    }

    fn take_board(
        &mut self,
        from: MemberIndex,
        theirs: &VoteBoard,
        now: TimePoint,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let attempt = theirs.attempt;
        if !self.has_judged(attempt) {
            self.decline(attempt, SwitchRefusal::NotPrepared, outputs);
        }
        let Some(mine) = self.boards.get_mut(attempt) else {
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
    fn apply(&mut self, board: &VoteBoard, now: TimePoint, outputs: &mut Vec<MemberOutput>) {
        match board.verdict(self.members) {
            Some(SwitchVerdict::Commit) => {
                self.step(MemberEvent::Commit, SwitchRefusal::Busy, now, outputs);
            }
            Some(SwitchVerdict::Abort) => {
                self.step(MemberEvent::Abort, SwitchRefusal::Busy, now, outputs);
            }
            None if board.first.is_some() => {
                self.step(MemberEvent::Propose, SwitchRefusal::Busy, now, outputs);
            }
            None => {}
        }
    }

    /// Tells a member what it lacks on an attempt.
    fn answer(&mut self, to: MemberIndex, theirs: &VoteBoard, outputs: &mut Vec<MemberOutput>) {
        let Some(mine) = self.boards.get_mut(theirs.attempt) else {
            return;
        };
        if to != self.index && mine.adds_to(theirs) {
            let message = SwitchMessage::Votes(*mine);
            outputs.push(MemberOutput::Send { to, message });
        }
    }

    /// Votes no on an attempt that this member has taken no part in.
    fn decline(
        &mut self,
        attempt: AttemptId,
        refusal: SwitchRefusal,
        outputs: &mut Vec<MemberOutput>,
    ) {
        self.add_board(attempt);
        self.vote(attempt, SwitchVerdict::Abort);
        outputs.push(MemberOutput::Refused(refusal));
        self.send_votes(attempt, outputs);
        outputs.push(MemberOutput::Aborted(attempt));
    }

    /// Moves along the chart and carries out what it says.
    fn step(
        &mut self,
        event: MemberEvent,
        refusal: SwitchRefusal,
        now: TimePoint,
        outputs: &mut Vec<MemberOutput>,
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
        outputs: &mut Vec<MemberOutput>,
    ) {
        let id = attempt.id;
        match action {
            MemberAction::Load => outputs.push(MemberOutput::Order(EngineOrder::Load {
                attempt: id,
                change: Arc::clone(&attempt.change),
            })),
            MemberAction::SayReady => outputs.push(MemberOutput::Send {
                to: id.lead,
                message: SwitchMessage::Ready {
                    attempt: id,
                    next: self.progress,
                },
            }),
            MemberAction::Hold => outputs.push(MemberOutput::Order(EngineOrder::Hold {
                attempt: id,
                first: self.first_step(),
            })),
            MemberAction::VoteYes => {
                self.start_wait(now);
                self.vote(id, SwitchVerdict::Commit);
                self.send_votes(id, outputs);
                let board = *self.board().expect("the current attempt has a board");
                self.apply(&board, now, outputs);
            }
            MemberAction::VoteNo => {
                self.vote(id, SwitchVerdict::Abort);
                outputs.push(MemberOutput::Refused(refusal));
                self.send_votes(id, outputs);
            }
            MemberAction::SendVotes => self.send_votes(id, outputs),
            MemberAction::Switch => {
                self.map = attempt.change.next;
                self.since = Some(self.first_step());
                outputs.push(MemberOutput::Order(EngineOrder::Switch {
                    attempt: id,
                    first: self.first_step(),
                    map: attempt.change.next,
                }));
                outputs.push(MemberOutput::Committed {
                    attempt: id,
                    change: Arc::clone(&attempt.change),
                });
            }
            MemberAction::Release => {
                outputs.push(MemberOutput::Order(EngineOrder::Release { attempt: id }));
                outputs.push(MemberOutput::Aborted(id));
            }
        }
    }

    /// Takes a stand on a new attempt; the board of the current one is kept.
    fn add_board(&mut self, attempt: AttemptId) {
        let kept = self.current.as_ref().map(|current| current.id);
        self.judged.insert(attempt.lead, attempt.number);
        self.boards.insert(VoteBoard::new(attempt, None), kept);
    }

    fn vote(&mut self, attempt: AttemptId, verdict: SwitchVerdict) {
        let board = self
            .boards
            .get_mut(attempt)
            .expect("a vote is on a known attempt");
        board.vote(self.index, verdict);
    }

    fn send_votes(&mut self, attempt: AttemptId, outputs: &mut Vec<MemberOutput>) {
        let board = *self.boards.get_mut(attempt).expect("a sent board is known");
        let others = self.members.difference(MemberSet::only(self.index));
        outputs.extend(others.iter().map(|to| MemberOutput::Send {
            to,
            message: SwitchMessage::Votes(board),
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

    fn judge_hold(&self, next: StepNumber) -> MemberEvent {
        match self.board().and_then(|board| board.first) {
            Some(first) if next <= first => MemberEvent::Held,
            _ => MemberEvent::TooLate,
        }
    }

    fn board(&self) -> Option<&VoteBoard> {
        self.boards.get(self.current.as_ref()?.id)
    }

    fn first_step(&self) -> StepNumber {
        let first = self.board().and_then(|board| board.first);
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
    fn is_switching(&self) -> bool {
        self.since.is_some_and(|since| self.progress <= since)
    }

    /// Whether the lead of `attempt` has seen the verdict on its last one before this member.
    fn is_behind(&self, attempt: AttemptId) -> bool {
        self.current
            .as_ref()
            .is_some_and(|it| it.id.lead == attempt.lead)
    }

    fn has_judged(&self, attempt: AttemptId) -> bool {
        let judged = self.judged.get(&attempt.lead);
        judged.is_some_and(|number| attempt.number <= *number)
    }
}
