//! The leader of the switch protocol.

use std::sync::{Arc, LazyLock};

use celerycrank_chart::{ChartStep, StateChart};
use celerycrank_types::{Incarnation, TimePoint};
use serde::Deserialize;

use crate::{
    AttemptId, AttemptNumber, MapChange, MemberIndex, MemberSet, StepNumber, SwitchMessage,
    SwitchOutput, SwitchTimes,
};

type SwitchLeaderChart = StateChart<SwitchLeaderState, SwitchLeaderEvent, SwitchLeaderAction>;

static CHART: LazyLock<SwitchLeaderChart> = LazyLock::new(|| {
    SwitchLeaderChart::parse(include_str!("../../charts/lead.json"))
        .expect("the embedded leader chart is valid")
});

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SwitchLeaderState {
    Quiet,
    Preparing,
    Proposing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SwitchLeaderEvent {
    Start,
    Ready,
    AllReady,
    Retry,
    Settled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SwitchLeaderAction {
    SendPrepare,
    ChooseStep,
    SendPropose,
}

/// Drives attempts to switch a group's map; the members' votes alone decide the verdict.
///
/// Any member can be a leader, and several can be at the same time: a member takes part in one
/// attempt at a time and votes no on the others. An agent that restarts enters a new incarnation of
/// the group before it leads again, so no attempt number is reused.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SwitchLeader {
    index: MemberIndex,
    members: MemberSet,
    times: SwitchTimes,
    state: SwitchLeaderState,
    attempt: AttemptId,
    change: Arc<MapChange>,
    ready: MemberSet,
    /// The highest step that any member has reported.
    farthest_step: StepNumber,
    /// The first step of the new map, once it is chosen.
    ///
    /// Invariant: chosen once for each attempt.
    first: Option<StepNumber>,
    retry_deadline: TimePoint,
}

impl SwitchLeader {
    /// Creates the leader of an incarnation, without an attempt.
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
            farthest_step: StepNumber::default(),
            first: None,
            retry_deadline: TimePoint::default(),
        }
    }

    /// Whether no attempt is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state == SwitchLeaderState::Quiet
    }

    /// When [`Self::tick`] must be called next; `None` without an attempt.
    #[must_use]
    pub fn deadline(&self) -> Option<TimePoint> {
        (!self.is_idle()).then_some(self.retry_deadline)
    }

    /// Starts an attempt, unless one is in progress.
    pub fn start(&mut self, change: Arc<MapChange>, now: TimePoint) -> Vec<SwitchOutput> {
        if !self.is_idle() {
            return Vec::new();
        }
        self.attempt.number = self.attempt.number.next();
        self.change = change;
        self.ready = MemberSet::default();
        self.first = None;
        self.step(SwitchLeaderEvent::Start, now)
    }

    /// Handles a member's report that it has loaded the weights.
    pub fn receive(
        &mut self,
        from: MemberIndex,
        message: &SwitchMessage,
        now: TimePoint,
    ) -> Vec<SwitchOutput> {
        match message {
            SwitchMessage::Ready { attempt, next } if *attempt == self.attempt => {
                self.ready.insert(from);
                self.farthest_step = self.farthest_step.max(*next);
                let all_ready = self.ready == self.members && self.first.is_none();
                let event = if all_ready {
                    SwitchLeaderEvent::AllReady
                } else {
                    SwitchLeaderEvent::Ready
                };
                if self.is_idle() {
                    return Vec::new();
                }
                self.step(event, now)
            }
            _ => Vec::new(),
        }
    }

    /// Records the progress of this agent's own engine.
    pub fn observe_progress(&mut self, next: StepNumber) {
        self.farthest_step = self.farthest_step.max(next);
    }

    /// Ends an attempt, once this agent's own member has ended its part in it.
    pub fn end_attempt(&mut self, attempt: AttemptId, now: TimePoint) {
        if attempt == self.attempt && !self.is_idle() {
            self.step(SwitchLeaderEvent::Settled, now);
        }
    }

    /// Retries the messages that have not been answered, once the retry interval has passed.
    pub fn tick(&mut self, now: TimePoint) -> Vec<SwitchOutput> {
        if self.is_idle() || now < self.retry_deadline {
            return Vec::new();
        }
        self.step(SwitchLeaderEvent::Retry, now)
    }

    fn step(&mut self, event: SwitchLeaderEvent, now: TimePoint) -> Vec<SwitchOutput> {
        let mut outputs = Vec::new();
        let (state, actions) = match CHART.step(self.state, event) {
            ChartStep::Moved { state, actions } => (state, actions),
            ChartStep::Ignored => return outputs,
            ChartStep::Unexpected => panic!("unexpected event {event:?} in state {:?}", self.state),
        };
        self.state = state;
        self.retry_deadline = now + self.times.retry_interval;
        for action in actions {
            self.perform(*action, &mut outputs);
        }
        outputs
    }

    fn perform(&mut self, action: SwitchLeaderAction, outputs: &mut Vec<SwitchOutput>) {
        match action {
            SwitchLeaderAction::SendPrepare => {
                let message = SwitchMessage::Prepare {
                    attempt: self.attempt,
                    change: Arc::clone(&self.change),
                };
                send_all(&self.members.difference(&self.ready), &message, outputs);
            }
            SwitchLeaderAction::ChooseStep => {
                self.first = Some(StepNumber(self.farthest_step.0 + self.times.margin_steps));
            }
            SwitchLeaderAction::SendPropose => {
                let first = self
                    .first
                    .expect("the step is chosen before it is proposed");
                let message = SwitchMessage::Propose {
                    attempt: self.attempt,
                    first,
                };
                send_all(&self.members, &message, outputs);
            }
        }
    }

    /// The leader's own member index.
    #[must_use]
    pub const fn index(&self) -> MemberIndex {
        self.index
    }
}

fn send_all(members: &MemberSet, message: &SwitchMessage, outputs: &mut Vec<SwitchOutput>) {
    outputs.extend(members.iter().map(|to| SwitchOutput::Send {
        to,
        message: message.clone(),
    }));
}
