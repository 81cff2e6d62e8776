//! The part of the first rank's agent that switches its group from one map to the next.

use std::sync::Arc;

use celerycrank_types::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::{
    AgentIncarnation, ArmedSwitch, AttemptNumber, ExpertMap, GroupEpoch, MapVersion, MemberIndex,
    MemberSet, OrderAnswer, RankAction, RankAttemptId, RankMessage, RankReport, RankTimes,
    StepNumber,
    rank::{
        step_clock::StepClock,
        version::{MapPurpose, version_above},
    },
};

/// The smallest number of steps from the current one to the one before which the group is held.
const MIN_STEPS_AHEAD: u64 = 2;

/// The largest number of steps from the current one to the one before which the group is held.
const MAX_STEPS_AHEAD: u64 = 40;

/// The number of ranks of which one may take its order to load a map late without ending the
/// attempt: in a large group some rank is always slow.
const RANKS_PER_LATE_ORDER: usize = 16;

/// The number of versions from which the version of a new map is drawn at random.
const VERSION_RANGE: u64 = 64;

/// The largest number of doublings of the pause after failed attempts.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// The answer of each rank to the query for its armed switch: the outer option is `None` for a
/// rank that has not answered, the inner one for a rank that is not armed.
type ArmedAnswers = SmallVec<[Option<Option<ArmedSwitch>>; 8]>;

/// The phase of the current attempt.
#[derive(Debug, Clone, PartialEq)]
enum LeaderPhase {
    /// No attempt is in progress.
    Idle,
    /// Ranks load the map of the attempt.
    Preparing {
        done: MemberSet,
        /// The ranks whose order was not answered in time, although they have loaded the map.
        late: MemberSet,
        deadline: TimePoint,
    },
    /// Every agent must answer a query once more, so that the group is not held for an unreachable
    /// one.
    ConfirmingReachable {
        answers: ArmedAnswers,
        deadline: TimePoint,
    },
    /// The own rank is to hold the group; the step is chosen when the order is sent.
    Holding {
        step: Option<StepNumber>,
        deadline: TimePoint,
    },
    /// The group is held, and ranks are being armed.
    Arming {
        step: StepNumber,
        done: MemberSet,
        deadline: TimePoint,
    },
    /// The group was found held, and ranks are queried for their armed switches.
    QueryingArmed { answers: ArmedAnswers },
    /// Ranks are disarmed, and earlier orders to arm are invalidated.
    Clearing {
        done: MemberSet,
        /// The active map with a version that no rank has had.
        map: Option<Arc<ExpertMap>>,
    },
    /// Every rank is armed, or none is and none can become armed: the group can be released.
    Releasing,
}

/// A decision of the leader, for logs and counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderEvent {
    /// An attempt was begun.
    Began(RankAttemptId),
    /// Every rank is armed; the map becomes active.
    Switched(RankAttemptId),
    /// The attempt failed; if ranks may be armed, they are cleared before the group is released.
    AttemptFailed(RankAttemptId),
    /// The group was found held by a delayed order or by one of an earlier incarnation.
    FoundHeld(StepNumber),
    /// Every rank was found armed for the same switch, and the group is released.
    FoundArmed(ArmedSwitch),
}

/// Switches a group from one map to the next.
///
/// Invariants: ranks are asked to arm for a step only while the group is held before that step.
/// The group is released only when every rank is armed for the same switch, or when none is
/// armed and none can become armed. No two attempts hold the group before the same step.
#[derive(Debug, Clone)]
pub struct RankLeader {
    size: u16,
    times: RankTimes,
    phase: LeaderPhase,
    attempt: RankAttemptId,
    /// The map of the current attempt.
    next_map: Option<Arc<ExpertMap>>,
    not_before: TimePoint,
    failures: u32,
    resend_at: TimePoint,
    /// The highest step before which the group was held or was ordered to be held.
    last_held: StepNumber,
    step_clock: StepClock,
    /// Whether it is known that either every rank is armed for the same switch or none is armed.
    ///
    /// Invariant: false from the start of an incarnation, and while ranks are being armed.
    is_consistent: bool,
}

impl RankLeader {
    /// Creates a leader without knowledge of earlier attempts.
    #[must_use]
    pub fn new(incarnation: AgentIncarnation, size: u16, times: RankTimes, now: TimePoint) -> Self {
        Self {
            size,
            times: times.for_size(size),
            phase: LeaderPhase::Idle,
            attempt: RankAttemptId {
                incarnation,
                number: AttemptNumber(0),
            },
            next_map: None,
            not_before: now,
            failures: 0,
            resend_at: now,
            last_held: StepNumber(0),
            step_clock: StepClock::default(),
            is_consistent: false,
        }
    }

    /// Whether an attempt can begin now.
    #[must_use]
    pub fn is_free(&self, now: TimePoint, report: &RankReport) -> bool {
        let is_unarmed = report.armed.is_none() && report.held.is_none();
        self.phase == LeaderPhase::Idle && is_unarmed && now >= self.not_before
    }

    /// Whether an attempt is in progress or being rolled back.
    #[must_use]
    pub fn is_under_way(&self) -> bool {
        self.phase != LeaderPhase::Idle
    }

    /// The map that becomes active if the current attempt succeeds.
    #[must_use]
    pub const fn next_map(&self) -> Option<&Arc<ExpertMap>> {
        self.next_map.as_ref()
    }

    /// Returns the version of a new map, one that no rank has had.
    ///
    /// A rank may have had versions that no agent remembers, so each failed attempt widens the
    /// gap. Versions are drawn at random, so that two incarnations of the leader do not choose
    /// the same one.
    #[must_use]
    pub fn version_after(&self, highest: MapVersion, draw: u64) -> MapVersion {
        let failed = u64::from(self.failures) * VERSION_RANGE;
        let gap = failed + draw % VERSION_RANGE;
        version_above(highest, MapPurpose::Use { gap })
    }

    /// Begins an attempt to make a map active.
    pub fn begin(
        &mut self,
        map: Arc<ExpertMap>,
        epoch: GroupEpoch,
        now: TimePoint,
    ) -> (RankMessage, LeaderEvent) {
        self.attempt.number = self.attempt.number.next();
        self.next_map = Some(Arc::clone(&map));
        self.phase = LeaderPhase::Preparing {
            done: MemberSet::default(),
            late: MemberSet::default(),
            deadline: now + self.times.prepare,
        };
        self.resend_at = now + self.times.prepare_resend;
        let message = RankMessage::Prepare {
            attempt: self.attempt,
            epoch,
            map,
        };
        (message, LeaderEvent::Began(self.attempt))
    }

    /// Handles a rank's message about the current attempt.
    pub fn on_message(
        &mut self,
        from: MemberIndex,
        message: &RankMessage,
        now: TimePoint,
    ) -> Option<LeaderEvent> {
        if message.answered_attempt() != Some(self.attempt) {
            return None;
        }
        let all_ranks = MemberSet::first_n(usize::from(self.size));
        let are_all_done = |done: &MemberSet| all_ranks.difference(done).is_empty();
        let max_late = usize::from(self.size) / RANKS_PER_LATE_ORDER;
        match (message, &mut self.phase) {
            (
                RankMessage::Prepared { is_prompt, .. },
                LeaderPhase::Preparing { done, late, .. },
            ) => {
                done.insert(from);
                if !is_prompt {
                    late.insert(from);
                }
                if late.len() > max_late {
                    // Orders are delayed; give up before the group is held, since they would
                    // prolong the hold.
                    return Some(self.abandon(now));
                }
                if are_all_done(done) {
                    self.phase = LeaderPhase::ConfirmingReachable {
                        answers: no_answers(self.size),
                        deadline: now + self.times.check,
                    };
                    self.resend_at = now;
                }
                None
            }
            (RankMessage::ArmedState { .. }, LeaderPhase::ConfirmingReachable { answers, .. }) => {
                record_answer(answers, from, message);
                if answers.iter().all(Option::is_some) {
                    self.phase = LeaderPhase::Holding {
                        step: None,
                        deadline: now + self.times.arm,
                    };
                }
                None
            }
            (RankMessage::Armed { .. }, LeaderPhase::Arming { done, .. }) => {
                done.insert(from);
                if !are_all_done(done) {
                    return None;
                }
                self.phase = LeaderPhase::Releasing;
                self.is_consistent = true;
                self.failures = 0;
                self.not_before = now + self.times.pause;
                Some(LeaderEvent::Switched(self.attempt))
            }
            (RankMessage::Cleared { .. }, LeaderPhase::Clearing { done, .. }) => {
                done.insert(from);
                if are_all_done(done) {
                    self.phase = LeaderPhase::Releasing;
                    self.is_consistent = true;
                }
                None
            }
            (RankMessage::ArmedState { .. }, LeaderPhase::QueryingArmed { answers }) => {
                record_answer(answers, from, message);
                self.resolve_answers(now)
            }
            (RankMessage::Failed { .. }, LeaderPhase::Preparing { .. }) => Some(self.abandon(now)),
            (RankMessage::Failed { .. }, LeaderPhase::Arming { .. }) => Some(self.roll_back(now)),
            _ => None,
        }
    }

    /// Handles the answer to the leader's last order.
    pub fn on_answer(&mut self, answer: OrderAnswer, now: TimePoint) -> Option<LeaderEvent> {
        let is_failed = answer != OrderAnswer::Accepted;
        let is_holding = matches!(self.phase, LeaderPhase::Holding { .. });
        // The step has begun, or orders are delayed; no rank was asked to arm.
        (is_failed && is_holding).then(|| self.abandon(now))
    }

    /// Handles a report of the own rank.
    pub fn observe(&mut self, report: &RankReport, now: TimePoint) -> Option<LeaderEvent> {
        if let Some(held) = report.held {
            self.last_held = self.last_held.max(held);
        }
        self.step_clock.observe(report.step, now);
        match &self.phase {
            LeaderPhase::Holding {
                step: Some(step), ..
            } if report.held == Some(*step) => {
                self.phase = LeaderPhase::Arming {
                    step: *step,
                    done: MemberSet::default(),
                    deadline: now + self.times.arm,
                };
                self.is_consistent = false;
                self.resend_at = now;
                None
            }
            LeaderPhase::Preparing { deadline, .. }
            | LeaderPhase::ConfirmingReachable { deadline, .. }
            | LeaderPhase::Holding { deadline, .. }
                if now >= *deadline =>
            {
                Some(self.abandon(now))
            }
            LeaderPhase::Arming { deadline, .. } if now >= *deadline => Some(self.roll_back(now)),
            LeaderPhase::Releasing if report.held.is_none() => {
                self.phase = LeaderPhase::Idle;
                None
            }
            LeaderPhase::Idle
            | LeaderPhase::Preparing { .. }
            | LeaderPhase::ConfirmingReachable { .. } => {
                let held = report.held?;
                if self.is_consistent {
                    // A delayed hold of this incarnation.
                    self.phase = LeaderPhase::Releasing;
                    self.next_map = None;
                    return None;
                }
                Some(self.query_armed(held, now))
            }
            _ => None,
        }
    }

    /// The order that the own rank needs now, if any.
    pub fn next_action(&mut self, report: &RankReport) -> Option<RankAction> {
        match &mut self.phase {
            LeaderPhase::Holding { step, .. } => {
                let steps = self.step_clock.steps_in(self.times.arm_margin);
                let steps = steps.clamp(MIN_STEPS_AHEAD, MAX_STEPS_AHEAD);
                let ahead = StepNumber(report.step.0 + steps);
                let step = *step.get_or_insert(ahead.max(self.last_held.next()));
                self.last_held = self.last_held.max(step);
                Some(RankAction::Hold { step })
            }
            LeaderPhase::Releasing => report.held.map(|step| RankAction::Release { step }),
            _ => None,
        }
    }

    /// Whether the next order needs a fresh report.
    #[must_use]
    pub const fn needs_fresh_report(&self) -> bool {
        matches!(self.phase, LeaderPhase::Holding { step: None, .. })
    }

    /// The message to resend to the ranks that have not answered, if the interval has passed.
    ///
    /// `invalidating_map` returns the active map, if it is known, with a version that no rank
    /// has had.
    pub fn resend(
        &mut self,
        epoch: GroupEpoch,
        invalidating_map: impl FnOnce() -> Option<Arc<ExpertMap>>,
        now: TimePoint,
    ) -> Option<(MemberSet, RankMessage)> {
        if now < self.resend_at {
            return None;
        }
        let attempt = self.attempt;
        let mut answered = MemberSet::default();
        let (done, message) = match &mut self.phase {
            LeaderPhase::Preparing { done, .. } => {
                let map = Arc::clone(self.next_map.as_ref()?);
                let message = RankMessage::Prepare {
                    attempt,
                    epoch,
                    map,
                };
                (&*done, message)
            }
            LeaderPhase::Arming { done, step, .. } => {
                let step = *step;
                (&*done, RankMessage::Arm { attempt, step })
            }
            LeaderPhase::QueryingArmed { answers }
            | LeaderPhase::ConfirmingReachable { answers, .. } => {
                for (rank, answer) in (0..self.size).zip(answers.iter()) {
                    if answer.is_some() {
                        answered.insert(MemberIndex(rank));
                    }
                }
                (&answered, RankMessage::AskArmed { attempt })
            }
            LeaderPhase::Clearing { done, map } => {
                if map.is_none() {
                    *map = invalidating_map();
                }
                let map = Arc::clone(map.as_ref()?);
                let message = RankMessage::Clear {
                    attempt,
                    epoch,
                    map,
                };
                (&*done, message)
            }
            _ => return None,
        };
        let all_ranks = MemberSet::first_n(usize::from(self.size));
        let targets = all_ranks.difference(done);
        let interval = match &message {
            RankMessage::Prepare { .. } => self.times.prepare_resend,
            _ => self.times.resend,
        };
        self.resend_at = now + interval;
        Some((targets, message))
    }

    /// Discards the current attempt, for a new epoch of the group.
    pub fn reset(&mut self, now: TimePoint) {
        self.phase = LeaderPhase::Idle;
        self.next_map = None;
        self.not_before = now;
        self.failures = 0;
        // Nothing of an earlier epoch continues in a new epoch.
        self.is_consistent = true;
    }

    /// Ends an attempt in which no rank was asked to arm.
    fn abandon(&mut self, now: TimePoint) -> LeaderEvent {
        self.record_failure(now);
        self.phase = LeaderPhase::Idle;
        LeaderEvent::AttemptFailed(self.attempt)
    }

    /// Rolls back an attempt in which ranks may be armed.
    fn roll_back(&mut self, now: TimePoint) -> LeaderEvent {
        self.record_failure(now);
        self.phase = LeaderPhase::Clearing {
            done: MemberSet::default(),
            map: None,
        };
        LeaderEvent::AttemptFailed(self.attempt)
    }

    fn record_failure(&mut self, now: TimePoint) {
        self.failures += 1;
        let doublings = self.failures.min(MAX_PAUSE_DOUBLINGS);
        self.not_before = now + TimeSpan(self.times.pause.0 << doublings);
        self.resend_at = now;
        self.next_map = None;
    }

    /// Queries ranks for their armed switches, because the group is held by a delayed order or by
    /// one of an earlier incarnation.
    fn query_armed(&mut self, held: StepNumber, now: TimePoint) -> LeaderEvent {
        self.attempt.number = self.attempt.number.next();
        self.next_map = None;
        self.resend_at = now;
        self.phase = LeaderPhase::QueryingArmed {
            answers: no_answers(self.size),
        };
        LeaderEvent::FoundHeld(held)
    }

    /// Decides how to continue once every rank has reported its armed switch.
    ///
    /// An earlier release can still be in flight only if every rank was armed, so executing it late
    /// is safe.
    fn resolve_answers(&mut self, now: TimePoint) -> Option<LeaderEvent> {
        let LeaderPhase::QueryingArmed { answers } = &self.phase else {
            return None;
        };
        let answers = answers.iter().copied().collect::<Option<ArmedList>>()?;
        let first = answers.first().copied().flatten();
        self.resend_at = now;
        if let Some(switch) = first
            && answers.iter().all(|answer| *answer == Some(switch))
        {
            self.phase = LeaderPhase::Releasing;
            self.is_consistent = true;
            return Some(LeaderEvent::FoundArmed(switch));
        }
        self.phase = LeaderPhase::Clearing {
            done: MemberSet::default(),
            map: None,
        };
        None
    }
}

fn no_answers(size: u16) -> ArmedAnswers {
    ArmedAnswers::from_elem(None, usize::from(size))
}

fn record_answer(answers: &mut ArmedAnswers, from: MemberIndex, message: &RankMessage) {
    let answer = answers.get_mut(usize::from(from.0));
    if let (Some(answer), RankMessage::ArmedState { armed, .. }) = (answer, message) {
        *answer = Some(*armed);
    }
}

/// The armed switch of each rank, once all have answered; `None` for a rank that is not armed.
type ArmedList = SmallVec<[Option<ArmedSwitch>; 8]>;
