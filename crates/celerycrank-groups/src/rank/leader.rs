//! The part of the first rank's agent that leads its group from one map to the next.

use std::sync::Arc;

use celerycrank_types::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::{
    AgentIncarnation, ArmedSwitch, AttemptNumber, ExpertMap, GroupEpoch, MapVersion, MemberIndex,
    MemberSet, OrderAnswer, RankAction, RankAttemptId, RankMessage, RankReport, RankTimes,
    StepNumber,
    rank::version::{MapPurpose, version_above},
};

/// Steps after the present one before which the group is held.
const STEPS_AHEAD: u64 = 2;

/// Versions among which a new map's is drawn.
const VERSION_RANGE: u64 = 64;

/// Most doublings of the pause after attempts that failed.
const MOST_DOUBLINGS: u32 = 4;

/// What each rank said that it is armed for.
type ArmedAnswers = SmallVec<[Option<Option<ArmedSwitch>>; 8]>;

/// Where the lead stands.
#[derive(Debug, Clone, PartialEq)]
enum LeaderPhase {
    /// No attempt is under way.
    Idle,
    /// Ranks load the map.
    Preparing {
        done: MemberSet,
        deadline: TimePoint,
    },
    /// Every agent is to answer once more, lest the group be held for one that has gone.
    Checking {
        answers: ArmedAnswers,
        deadline: TimePoint,
    },
    /// The own rank is to hold the group; the step is chosen when the order is given.
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
    /// The group was found held, and ranks are asked what they are armed for.
    Asking { answers: ArmedAnswers },
    /// Ranks are being made sure not to be armed.
    Clearing {
        done: MemberSet,
        /// The map in use under a version that no rank has had.
        map: Option<Arc<ExpertMap>>,
    },
    /// Every rank is armed, or none is and none can become so: the group is to go on.
    Releasing,
}

/// What the lead decided, for logs and counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderEvent {
    /// An attempt was begun.
    Began(RankAttemptId),
    /// Every rank is armed; the map comes into use.
    Switched(RankAttemptId),
    /// A rank failed or did not answer in time; the attempt is taken back.
    RolledBack(RankAttemptId),
    /// The group was found held by an order that came late or by an earlier incarnation.
    FoundHeld(StepNumber),
    /// Every rank was found armed alike, and the group is released.
    FoundArmed(ArmedSwitch),
}

/// Leads a group from one map to the next.
///
/// Invariants: ranks are asked to arm only while the group is held before that very step.
/// The group is released only when every rank is armed for it alike, or when none is armed
/// and none can become so. No two attempts hold the group before the same step.
#[derive(Debug, Clone)]
pub struct RankLeader {
    size: u8,
    times: RankTimes,
    phase: LeaderPhase,
    attempt: RankAttemptId,
    /// The map of the attempt under way.
    next_map: Option<Arc<ExpertMap>>,
    not_before: TimePoint,
    failures: u32,
    resend_at: TimePoint,
    /// The highest step before which the group was held or was to be.
    last_held: StepNumber,
    /// Whether it is known that either every rank is armed alike or none is.
    ///
    /// Invariant: false from the start of a incarnation, and while ranks are being armed.
    is_settled: bool,
}

impl RankLeader {
    /// A lead that knows nothing of the attempts before it.
    #[must_use]
    pub fn new(incarnation: AgentIncarnation, size: u8, times: RankTimes, now: TimePoint) -> Self {
        Self {
            size,
            times,
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
            is_settled: false,
        }
    }

    /// Whether an attempt can begin now.
    #[must_use]
    pub fn is_free(&self, now: TimePoint, report: &RankReport) -> bool {
        let is_unarmed = report.armed.is_none() && report.held.is_none();
        self.phase == LeaderPhase::Idle && is_unarmed && now >= self.not_before
    }

    /// Whether an attempt is under way or is being taken back.
    #[must_use]
    pub fn is_under_way(&self) -> bool {
        self.phase != LeaderPhase::Idle
    }

    /// The map that comes into use if the attempt under way succeeds.
    #[must_use]
    pub const fn next_map(&self) -> Option<&Arc<ExpertMap>> {
        self.next_map.as_ref()
    }

    /// The version of a new map: one that no rank has had.
    ///
    /// A rank may have had versions that no agent remembers, so attempts that fail leave ever
    /// larger gaps. Lives of the lead draw at random, so that none uses another's version.
    #[must_use]
    pub fn version_after(&self, highest: MapVersion, draw: u64) -> MapVersion {
        let failed = u64::from(self.failures) * VERSION_RANGE;
        let gap = failed + draw % VERSION_RANGE;
        version_above(highest, MapPurpose::Use { gap })
    }

    /// Begins an attempt to bring a map into use.
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
            deadline: now + self.times.prepare,
        };
        self.resend_at = now + self.times.resend;
        let message = RankMessage::Prepare {
            attempt: self.attempt,
            epoch,
            map,
        };
        (message, LeaderEvent::Began(self.attempt))
    }

    /// Takes a rank's message about the attempt under way.
    pub fn on_message(
        &mut self,
        from: MemberIndex,
        message: &RankMessage,
        now: TimePoint,
    ) -> Option<LeaderEvent> {
        if message.answered_attempt() != Some(self.attempt) {
            return None;
        }
        let everyone = MemberSet::first(usize::from(self.size));
        let is_everyone = |done: MemberSet| everyone.difference(done).is_empty();
        match (message, &mut self.phase) {
            (
                RankMessage::Prepared {
                    is_prompt: true, ..
                },
                LeaderPhase::Preparing { done, .. },
            ) => {
                done.insert(from);
                if is_everyone(*done) {
                    self.phase = LeaderPhase::Checking {
                        answers: no_answers(self.size),
                        deadline: now + self.times.check,
                    };
                    self.resend_at = now;
                }
                None
            }
            (RankMessage::ArmedState { .. }, LeaderPhase::Checking { answers, .. }) => {
                take_answer(answers, from, message);
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
                if !is_everyone(*done) {
                    return None;
                }
                self.phase = LeaderPhase::Releasing;
                self.is_settled = true;
                self.failures = 0;
                self.not_before = now + self.times.pause;
                Some(LeaderEvent::Switched(self.attempt))
            }
            (RankMessage::Cleared { .. }, LeaderPhase::Clearing { done, .. }) => {
                done.insert(from);
                if is_everyone(*done) {
                    self.phase = LeaderPhase::Releasing;
                    self.is_settled = true;
                }
                None
            }
            (RankMessage::ArmedState { .. }, LeaderPhase::Asking { answers }) => {
                take_answer(answers, from, message);
                self.resolve_answers(now)
            }
            // While orders come late, ranks would be armed one by one in a held group.
            (
                RankMessage::Prepared { .. } | RankMessage::Failed { .. },
                LeaderPhase::Preparing { .. },
            ) => Some(self.give_up(now)),
            (RankMessage::Failed { .. }, LeaderPhase::Arming { .. }) => Some(self.roll_back(now)),
            _ => None,
        }
    }

    /// Takes the answer to the lead's last order.
    pub fn on_answer(&mut self, answer: OrderAnswer, now: TimePoint) -> Option<LeaderEvent> {
        let is_failed = answer != OrderAnswer::Accepted;
        let is_holding = matches!(self.phase, LeaderPhase::Holding { .. });
        // The step has begun, or orders come late; nobody was told to arm.
        (is_failed && is_holding).then(|| self.give_up(now))
    }

    /// Takes what the own rank says of itself.
    pub fn observe(&mut self, report: &RankReport, now: TimePoint) -> Option<LeaderEvent> {
        if let Some(held) = report.held {
            self.last_held = self.last_held.max(held);
        }
        match &self.phase {
            LeaderPhase::Holding {
                step: Some(step), ..
            } if report.held == Some(*step) => {
                self.phase = LeaderPhase::Arming {
                    step: *step,
                    done: MemberSet::default(),
                    deadline: now + self.times.arm,
                };
                self.is_settled = false;
                self.resend_at = now;
                None
            }
            LeaderPhase::Preparing { deadline, .. }
            | LeaderPhase::Checking { deadline, .. }
            | LeaderPhase::Holding { deadline, .. }
                if now >= *deadline =>
            {
                Some(self.give_up(now))
            }
            LeaderPhase::Arming { deadline, .. } if now >= *deadline => Some(self.roll_back(now)),
            LeaderPhase::Releasing if report.held.is_none() => {
                self.phase = LeaderPhase::Idle;
                None
            }
            LeaderPhase::Idle | LeaderPhase::Preparing { .. } | LeaderPhase::Checking { .. } => {
                let held = report.held?;
                if self.is_settled {
                    // A hold of this incarnation that came late.
                    self.phase = LeaderPhase::Releasing;
                    self.next_map = None;
                    return None;
                }
                Some(self.ask_armed(held, now))
            }
            _ => None,
        }
    }

    /// The order that the own rank needs now, if any.
    pub fn next_action(&mut self, report: &RankReport) -> Option<RankAction> {
        match &mut self.phase {
            LeaderPhase::Holding { step, .. } => {
                let ahead = StepNumber(report.step.0 + STEPS_AHEAD);
                let step = *step.get_or_insert(ahead.max(self.last_held.next()));
                self.last_held = self.last_held.max(step);
                Some(RankAction::Hold { step })
            }
            LeaderPhase::Releasing => report.held.map(|step| RankAction::Release { step }),
            _ => None,
        }
    }

    /// Whether the next order needs a report that is not old.
    #[must_use]
    pub const fn needs_fresh_report(&self) -> bool {
        matches!(self.phase, LeaderPhase::Holding { step: None, .. })
    }

    /// The message that goes again to the ranks that have not answered, if it is time.
    ///
    /// `same_map` makes the map in use under a version that no rank has had, where it is known.
    pub fn resend(
        &mut self,
        epoch: GroupEpoch,
        same_map: impl FnOnce() -> Option<Arc<ExpertMap>>,
        now: TimePoint,
    ) -> Option<(MemberSet, RankMessage)> {
        if now < self.resend_at {
            return None;
        }
        let attempt = self.attempt;
        let (done, message) = match &mut self.phase {
            LeaderPhase::Preparing { done, .. } => {
                let map = Arc::clone(self.next_map.as_ref()?);
                let message = RankMessage::Prepare {
                    attempt,
                    epoch,
                    map,
                };
                (*done, message)
            }
            LeaderPhase::Arming { done, step, .. } => {
                let step = *step;
                (*done, RankMessage::Arm { attempt, step })
            }
            LeaderPhase::Asking { answers } | LeaderPhase::Checking { answers, .. } => {
                let mut done = MemberSet::default();
                let answered = answers.iter().enumerate().filter(|(_, it)| it.is_some());
                for (rank, _) in answered {
                    done.insert(MemberIndex(u8::try_from(rank).unwrap_or(u8::MAX)));
                }
                (done, RankMessage::AskArmed { attempt })
            }
            LeaderPhase::Clearing { done, map } => {
                if map.is_none() {
                    *map = same_map();
                }
                let map = Arc::clone(map.as_ref()?);
                let message = RankMessage::Clear {
                    attempt,
                    epoch,
                    map,
                };
                (*done, message)
            }
            _ => return None,
        };
        self.resend_at = now + self.times.resend;
        let everyone = MemberSet::first(usize::from(self.size));
        Some((everyone.difference(done), message))
    }

    /// Forgets the attempt under way, as a new forming of the group does.
    pub fn reset(&mut self, now: TimePoint) {
        self.phase = LeaderPhase::Idle;
        self.next_map = None;
        self.not_before = now;
        self.failures = 0;
        // Nothing of before goes on in a new forming of the group.
        self.is_settled = true;
    }

    /// Ends an attempt in which nobody was asked to arm.
    fn give_up(&mut self, now: TimePoint) -> LeaderEvent {
        self.fail(now);
        self.phase = LeaderPhase::Idle;
        LeaderEvent::RolledBack(self.attempt)
    }

    /// Takes an attempt back in which ranks may be armed.
    fn roll_back(&mut self, now: TimePoint) -> LeaderEvent {
        self.fail(now);
        self.phase = LeaderPhase::Clearing {
            done: MemberSet::default(),
            map: None,
        };
        LeaderEvent::RolledBack(self.attempt)
    }

    fn fail(&mut self, now: TimePoint) {
        self.failures += 1;
        let doublings = self.failures.min(MOST_DOUBLINGS);
        self.not_before = now + TimeSpan(self.times.pause.0 << doublings);
        self.resend_at = now;
        self.next_map = None;
    }

    /// Asks what ranks are armed for, since the group is held by an order of an earlier incarnation
    /// or by one that came late.
    fn ask_armed(&mut self, held: StepNumber, now: TimePoint) -> LeaderEvent {
        self.attempt.number = self.attempt.number.next();
        self.next_map = None;
        self.resend_at = now;
        self.phase = LeaderPhase::Asking {
            answers: no_answers(self.size),
        };
        LeaderEvent::FoundHeld(held)
    }

    /// Decides how to go on once every rank has said what it is armed for.
    ///
    /// A release may be on its way only if every rank is armed, and then it is right.
    fn resolve_answers(&mut self, now: TimePoint) -> Option<LeaderEvent> {
        let LeaderPhase::Asking { answers } = &self.phase else {
            return None;
        };
        let answers = answers.iter().copied().collect::<Option<ArmedList>>()?;
        let first = answers.first().copied().flatten();
        self.resend_at = now;
        if let Some(switch) = first
            && answers.iter().all(|answer| *answer == Some(switch))
        {
            self.phase = LeaderPhase::Releasing;
            self.is_settled = true;
            return Some(LeaderEvent::FoundArmed(switch));
        }
        self.phase = LeaderPhase::Clearing {
            done: MemberSet::default(),
            map: None,
        };
        None
    }
}

fn no_answers(size: u8) -> ArmedAnswers {
    ArmedAnswers::from_elem(None, usize::from(size))
}

fn take_answer(answers: &mut ArmedAnswers, from: MemberIndex, message: &RankMessage) {
    let answer = answers.get_mut(usize::from(from.0));
    if let (Some(answer), RankMessage::ArmedState { armed, .. }) = (answer, message) {
        *answer = Some(*armed);
    }
}

type ArmedList = SmallVec<[Option<ArmedSwitch>; 8]>;
