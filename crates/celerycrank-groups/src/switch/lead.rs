//! The lead's part in switching the map of a group.

use std::sync::{Arc, LazyLock};

use celerycrank_chart::{ChartStep, StateChart};
use celerycrank_types::{Incarnation, TimePoint};
use serde::Deserialize;

use crate::{
    AttemptId, AttemptNumber, MapChange, MemberIndex, MemberOutput, MemberSet, StepNumber,
    SwitchMessage, SwitchTimes,
};

type LeadChart = StateChart<LeadState, LeaderEvent, LeadAction>;

static CHART: LazyLock<LeadChart> = LazyLock::new(|| {
    LeadChart::parse(include_str!("../../charts/lead.json"))
        .expect("the chart is part of the program")
});

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LeadState {
    Quiet,
    Preparing,
    Proposing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LeaderEvent {
    Start,
    Ready,
    AllReady,
    Retry,
    Settled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LeadAction {
    SendPrepare,
    ChooseStep,
    SendPropose,
}

/// Drives attempts to switch a group's map; decides nothing.
///
/// Any member may lead, and several may at once: a member takes part in one attempt at a
/// time and votes no on the others. An agent that restarts has another incarnation before
/// it leads again, so no attempt number is used twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SwitchLead {
    index: MemberIndex,
    members: MemberSet,
    times: SwitchTimes,
    state: LeadState,
    attempt: AttemptId,
    change: Arc<MapChange>,
    ready: MemberSet,
    /// The farthest step that any member has reported.
    farthest: StepNumber,
    /// Invariant: chosen once for each attempt.
    first: Option<StepNumber>,
    retry_at: TimePoint,
}

impl SwitchLead {
    /// A lead of an incarnation that has made no attempt yet.
    #[must_use]
    pub fn new(
        index: MemberIndex,
        members: MemberSet,
        incarnation: Incarnation,
        times: SwitchTimes,
    ) -> Self {
        Self {
            index,
            members,
            times,
            state: CHART.initial(),
            attempt: AttemptId {
                incarnation,
                lead: index,
                number: AttemptNumber::default(),
            },
            change: Arc::default(),
            ready: MemberSet::default(),
            farthest: StepNumber::default(),
            first: None,
            retry_at: TimePoint::default(),
        }
    }

    /// Whether no attempt is under way.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.state == LeadState::Quiet
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub fn deadline(&self) -> Option<TimePoint> {
        (!self.is_quiet()).then_some(self.retry_at)
    }

    /// Begins an attempt, unless one is under way.
    pub fn start(&mut self, change: Arc<MapChange>, now: TimePoint) -> Vec<MemberOutput> {
        if !self.is_quiet() {
            return Vec::new();
        }
        self.attempt.number = self.attempt.number.next();
        self.change = change;
        self.ready = MemberSet::default();
        self.first = None;
        self.step(LeaderEvent::Start, now)
    }

    /// Takes a member's word that it holds the weights.
    pub fn receive(
        &mut self,
        from: MemberIndex,
        message: &SwitchMessage,
        now: TimePoint,
    ) -> Vec<MemberOutput> {
        match message {
            SwitchMessage::Ready { attempt, next } if *attempt == self.attempt => {
                self.ready.insert(from);
                self.farthest = self.farthest.max(*next);
                let all_ready = self.ready == self.members && self.first.is_none();
                let event = if all_ready {
                    LeaderEvent::AllReady
                } else {
                    LeaderEvent::Ready
                };
                if self.is_quiet() {
                    return Vec::new();
                }
                self.step(event, now)
            }
            _ => Vec::new(),
        }
    }

    /// Takes the progress of this agent's own engine.
    pub fn progress(&mut self, next: StepNumber) {
        self.farthest = self.farthest.max(next);
    }

    /// Takes note that this agent's own member has ended its part in an attempt.
    pub fn settle(&mut self, attempt: AttemptId, now: TimePoint) {
        if attempt == self.attempt && !self.is_quiet() {
            self.step(LeaderEvent::Settled, now);
        }
    }

    /// Sends again what has not been answered.
    pub fn tick(&mut self, now: TimePoint) -> Vec<MemberOutput> {
        if self.is_quiet() || now < self.retry_at {
            return Vec::new();
        }
        self.step(LeaderEvent::Retry, now)
    }

    fn step(&mut self, event: LeaderEvent, now: TimePoint) -> Vec<MemberOutput> {
        let mut outputs = Vec::new();
        let (state, actions) = match CHART.step(self.state, event) {
            ChartStep::Moved { state, actions } => (state, actions),
            ChartStep::Ignored => return outputs,
            ChartStep::Unexpected => panic!("{event:?} has no place in {:?}", self.state),
        };
        self.state = state;
        self.retry_at = now + self.times.retry_interval;
        for action in actions {
            self.perform(*action, &mut outputs);
        }
        outputs
    }

    fn perform(&mut self, action: LeadAction, outputs: &mut Vec<MemberOutput>) {
        match action {
            LeadAction::SendPrepare => {
                let message = SwitchMessage::Prepare {
                    attempt: self.attempt,
                    change: Arc::clone(&self.change),
                };
                send_all(self.members.difference(self.ready), &message, outputs);
            }
            LeadAction::ChooseStep => {
                self.first = Some(StepNumber(self.farthest.0 + self.times.margin_steps));
            }
            LeadAction::SendPropose => {
                let first = self
                    .first
                    .expect("the step is chosen before it is proposed");
                let message = SwitchMessage::Propose {
                    attempt: self.attempt,
                    first,
                };
                send_all(self.members, &message, outputs);
            }
        }
    }

    /// The lead's own place in the group.
    #[must_use]
    pub const fn index(&self) -> MemberIndex {
        self.index
    }
}

fn send_all(members: MemberSet, message: &SwitchMessage, outputs: &mut Vec<MemberOutput>) {
    outputs.extend(members.iter().map(|to| MemberOutput::Send {
        to,
        message: message.clone(),
    }));
}
