//! The part of the first rank's agent that leads its group from one map to the next.

use std::sync::Arc;

use celerycrank_types::{TimePoint, TimeSpan};

use crate::{
    AgentLife, AttemptName, AttemptNumber, ExpertMap, GroupEpoch, MapVersion, MemberIndex,
    MemberSet, OrderAnswer, RankAction, RankMessage, RankReport, RankTimes, StepNumber,
    rank::member::FAR_STEPS,
};

/// Steps after the present one before which the group is held.
const STEPS_AHEAD: u64 = 2;

/// Versions among which a new map's is drawn.
const VERSION_DRAWS: u64 = 64;

/// Most doublings of the pause after attempts that failed.
const MOST_DOUBLINGS: u32 = 4;

/// Where the lead stands.
#[derive(Debug, Clone, PartialEq)]
enum LeadPhase {
    /// No attempt is under way.
    Idle,
    /// Ranks load the map.
    Preparing {
        done: MemberSet,
        deadline: TimePoint,
    },
    /// The own rank is to hold the group; the step is chosen when the order is given.
    Holding { step: Option<StepNumber> },
    /// The group is held, and ranks are being armed.
    Arming {
        step: StepNumber,
        done: MemberSet,
        deadline: TimePoint,
    },
    /// Every rank is armed, and the group is to be released.
    Releasing,
    /// The attempt is taken back; the own rank comes first.
    Clearing { done: MemberSet },
}

/// What the lead decided, for logs and counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadEvent {
    /// An attempt was begun.
    Began(AttemptName),
    /// Every rank is armed; the map comes into use.
    Switched(AttemptName),
    /// A rank failed or did not answer in time; the attempt is taken back.
    TakenBack(AttemptName),
    /// The group was released by an order of another life, with every rank armed.
    FoundReleased,
    /// The group was found held by an attempt that this life knows nothing of.
    FoundHeld(StepNumber),
}

/// Leads a group from one map to the next.
///
/// Invariants: the group is held before a rank other than by its own wish can be armed;
/// it is released only when every rank is armed, or none is and none can become so.
#[derive(Debug, Clone)]
pub struct RankLead {
    size: u8,
    times: RankTimes,
    phase: LeadPhase,
    attempt: AttemptName,
    /// The map of the attempt under way.
    next_map: Option<Arc<ExpertMap>>,
    not_before: TimePoint,
    failures: u32,
    resend_at: TimePoint,
}

impl RankLead {
    /// A lead that knows nothing of the attempts before it.
    #[must_use]
    pub fn new(life: AgentLife, size: u8, times: RankTimes, now: TimePoint) -> Self {
        Self {
            size,
            times,
            phase: LeadPhase::Idle,
            attempt: AttemptName {
                life,
                number: AttemptNumber(0),
            },
            next_map: None,
            not_before: now,
            failures: 0,
            resend_at: now,
        }
    }

    /// Whether an attempt can begin now.
    #[must_use]
    pub fn is_free(&self, now: TimePoint, report: &RankReport) -> bool {
        let is_unarmed = report.armed.is_none() && report.held.is_none();
        self.phase == LeadPhase::Idle && is_unarmed && now >= self.not_before
    }

    /// Whether an attempt is under way or is being taken back.
    #[must_use]
    pub fn is_under_way(&self) -> bool {
        self.phase != LeadPhase::Idle
    }

    /// The map that comes into use if the attempt under way succeeds.
    #[must_use]
    pub const fn next_map(&self) -> Option<&Arc<ExpertMap>> {
        self.next_map.as_ref()
    }

    /// Begins an attempt to bring a map into use.
    pub fn begin(
        &mut self,
        map: Arc<ExpertMap>,
        epoch: GroupEpoch,
        now: TimePoint,
    ) -> (RankMessage, LeadEvent) {
        self.attempt.number = self.attempt.number.next();
        self.next_map = Some(Arc::clone(&map));
        self.phase = LeadPhase::Preparing {
            done: MemberSet::default(),
            deadline: now + self.times.prepare,
        };
        self.resend_at = now + self.times.resend;
        let message = RankMessage::Prepare {
            attempt: self.attempt,
            epoch,
            map,
        };
        (message, LeadEvent::Began(self.attempt))
    }

    /// Takes a rank's message about the attempt under way.
    pub fn on_message(
        &mut self,
        from: MemberIndex,
        message: &RankMessage,
        now: TimePoint,
    ) -> Option<LeadEvent> {
        let attempt = self.attempt;
        let everyone = MemberSet::first(usize::from(self.size));
        let is_everyone = |done: MemberSet| everyone.difference(done).is_empty();
        match (message, &mut self.phase) {
            (RankMessage::Prepared { attempt: name }, LeadPhase::Preparing { done, .. })
                if *name == attempt =>
            {
                done.insert(from);
                if is_everyone(*done) {
                    self.phase = LeadPhase::Holding { step: None };
                }
            }
            (RankMessage::Armed { attempt: name }, LeadPhase::Arming { done, .. })
                if *name == attempt =>
            {
                done.insert(from);
                if is_everyone(*done) {
                    self.phase = LeadPhase::Releasing;
                    self.failures = 0;
                    self.not_before = now + self.times.pause;
                    return Some(LeadEvent::Switched(attempt));
                }
            }
            (RankMessage::Cleared { attempt: name }, LeadPhase::Clearing { done })
                if *name == attempt =>
            {
                done.insert(from);
                if is_everyone(*done) {
                    self.phase = LeadPhase::Releasing;
                }
            }
            (RankMessage::Failed { attempt: name, .. }, phase) if *name == attempt => {
                let is_under_way = matches!(
                    phase,
                    LeadPhase::Preparing { .. } | LeadPhase::Arming { .. }
                );
                return is_under_way.then(|| self.take_back(now));
            }
            _ => {}
        }
        None
    }

    /// Takes the answer to the lead's last order.
    pub fn on_answer(&mut self, answer: OrderAnswer, now: TimePoint) -> Option<LeadEvent> {
        match self.phase {
            // Nobody was told to arm, so a hold that comes late is released at once.
            LeadPhase::Holding { .. } if answer != OrderAnswer::Accepted => {
                Some(self.take_back(now))
            }
            _ => None,
        }
    }

    /// Takes what the own rank says of itself.
    pub fn observe(&mut self, report: &RankReport, now: TimePoint) -> Option<LeadEvent> {
        match self.phase {
            LeadPhase::Holding { step: Some(step) } if report.held == Some(step) => {
                self.phase = LeadPhase::Arming {
                    step,
                    done: MemberSet::default(),
                    deadline: now + self.times.arm,
                };
                self.resend_at = now;
                None
            }
            LeadPhase::Releasing if report.held.is_none() => {
                self.phase = LeadPhase::Idle;
                None
            }
            LeadPhase::Idle => self.settle_past(report),
            // An order of an earlier life has released the group: every rank is armed.
            LeadPhase::Clearing { .. } if report.held.is_none() && report.armed.is_some() => {
                self.phase = LeadPhase::Idle;
                Some(LeadEvent::FoundReleased)
            }
            LeadPhase::Preparing { deadline, .. } | LeadPhase::Arming { deadline, .. }
                if now >= deadline =>
            {
                Some(self.take_back(now))
            }
            _ => None,
        }
    }

    /// The order that the own rank needs now, if any.
    pub fn next_action(&mut self, report: &RankReport) -> Option<RankAction> {
        match &mut self.phase {
            LeadPhase::Holding { step: step @ None } => {
                let chosen = StepNumber(report.step.0 + STEPS_AHEAD);
                *step = Some(chosen);
                Some(RankAction::Hold { step: chosen })
            }
            LeadPhase::Releasing => report.held.map(|step| RankAction::Release { step }),
            _ => None,
        }
    }

    /// The message that goes again to the ranks that have not answered, if it is time.
    pub fn resend(
        &mut self,
        epoch: GroupEpoch,
        now: TimePoint,
    ) -> Option<(MemberSet, RankMessage)> {
        if now < self.resend_at {
            return None;
        }
        let attempt = self.attempt;
        let (done, message) = match &self.phase {
            LeadPhase::Preparing { done, .. } => {
                let map = Arc::clone(self.next_map.as_ref()?);
                let message = RankMessage::Prepare {
                    attempt,
                    epoch,
                    map,
                };
                (*done, message)
            }
            LeadPhase::Arming { done, step, .. } => {
                let step = *step;
                (*done, RankMessage::Arm { attempt, step })
            }
            LeadPhase::Clearing { done } => (*done, RankMessage::Clear { attempt, epoch }),
            _ => return None,
        };
        self.resend_at = now + self.times.resend;
        let open = MemberSet::first(usize::from(self.size)).difference(done);
        let own = MemberSet::only(MemberIndex(0));
        // What the own rank's orders may still bring about is ended before the others move.
        let is_own_open =
            matches!(self.phase, LeadPhase::Clearing { .. }) && !done.contains(MemberIndex(0));
        let targets = if is_own_open { own } else { open };
        Some((targets, message))
    }

    /// How long the lead waits before it begins again after a failure.
    fn failure_pause(&self) -> TimeSpan {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        TimeSpan(self.times.pause.0 << doublings)
    }

    fn take_back(&mut self, now: TimePoint) -> LeadEvent {
        self.failures += 1;
        self.not_before = now + self.failure_pause();
        self.resend_at = now;
        self.next_map = None;
        self.phase = LeadPhase::Clearing {
            done: MemberSet::default(),
        };
        LeadEvent::TakenBack(self.attempt)
    }

    /// Takes back what an earlier life of the lead, or an order that came late, left behind.
    ///
    /// A group that is not held was released, or never held: either every rank is armed or
    /// none is.
    fn settle_past(&mut self, report: &RankReport) -> Option<LeadEvent> {
        let held = report.held?;
        if held.0 > report.step.0 + FAR_STEPS / 2 {
            // It delays nobody, and was ordered only to be counted.
            self.phase = LeadPhase::Releasing;
            return None;
        }
        self.attempt.number = self.attempt.number.next();
        self.phase = LeadPhase::Clearing {
            done: MemberSet::default(),
        };
        Some(LeadEvent::FoundHeld(held))
    }

    /// Whether the next order needs a report that is not old.
    #[must_use]
    pub const fn needs_fresh_report(&self) -> bool {
        matches!(self.phase, LeadPhase::Holding { step: None })
    }

    /// Forgets the attempt under way, as a new forming of the group does.
    pub fn reset(&mut self, now: TimePoint) {
        self.phase = LeadPhase::Idle;
        self.next_map = None;
        self.not_before = now;
        self.failures = 0;
    }

    /// The version of a new map: one that no rank has had.
    ///
    /// A rank may have had versions that no agent remembers, so attempts that fail leave ever
    /// larger gaps. Lives of the lead draw at random, so that none uses another's version.
    #[must_use]
    pub const fn version_after(&self, highest: MapVersion, draw: u64) -> MapVersion {
        let gap = (self.failures as u64) * VERSION_DRAWS;
        MapVersion(highest.0 + 1 + gap + draw % VERSION_DRAWS)
    }
}
