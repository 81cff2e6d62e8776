//! The part of an agent that orders its own rank on behalf of the lead.

use std::sync::Arc;

use crate::{
    ArmedSwitch, AttemptName, ExpertMap, MapVersion, OrderAnswer, OrderSequence, RankAction,
    RankMessage, RankReport, StepNumber,
};

/// Steps ahead of the present one at which a hold delays nobody.
pub(crate) const FAR_STEPS: u64 = 1 << 40;

/// What the member works towards.
#[derive(Debug, Clone, PartialEq)]
enum MemberGoal {
    /// Nothing is asked of the rank.
    Idle,
    /// The rank is to load a map.
    Prepare {
        attempt: AttemptName,
        map: Arc<ExpertMap>,
        is_ordered: bool,
    },
    /// The rank is to be armed.
    Arm {
        attempt: AttemptName,
        switch: ArmedSwitch,
        is_ordered: bool,
    },
    /// The rank cannot do what was asked.
    Failed { attempt: AttemptName },
    /// The rank is to be armed for nothing.
    Clear { attempt: AttemptName },
}

impl MemberGoal {
    const fn attempt(&self) -> Option<AttemptName> {
        match self {
            Self::Idle => None,
            Self::Prepare { attempt, .. }
            | Self::Arm { attempt, .. }
            | Self::Failed { attempt }
            | Self::Clear { attempt } => Some(*attempt),
        }
    }
}

/// Orders one rank on behalf of the lead.
///
/// Invariant: a rank that was said to be armed is disarmed only when the lead takes the
/// attempt back.
#[derive(Debug, Clone)]
pub struct RankMember {
    goal: MemberGoal,
    /// The number that an order without an answer named; it may yet be carried out as long as
    /// the rank has accepted no other.
    doubt: Option<OrderSequence>,
    highest: MapVersion,
}

impl Default for RankMember {
    fn default() -> Self {
        Self {
            goal: MemberGoal::Idle,
            doubt: None,
            highest: MapVersion(0),
        }
    }
}

impl RankMember {
    /// The highest map version that the member has heard of.
    #[must_use]
    pub const fn highest(&self) -> MapVersion {
        self.highest
    }

    /// Whether the rank was asked for something that its report does not show yet.
    #[must_use]
    pub fn is_under_way(&self, report: Option<&RankReport>) -> bool {
        match &self.goal {
            MemberGoal::Idle | MemberGoal::Failed { .. } => self.doubt.is_some(),
            MemberGoal::Prepare { .. } | MemberGoal::Arm { .. } => {
                report.is_some_and(|report| self.reply(report).is_none())
            }
            MemberGoal::Clear { .. } => report.is_some_and(|report| !self.is_clear(report)),
        }
    }

    /// Forgets everything but versions, as a new forming of the group does.
    pub fn reset(&mut self) {
        self.goal = MemberGoal::Idle;
        self.doubt = None;
    }

    /// Takes it that an order of an earlier life may still be carried out.
    pub const fn doubt_past(&mut self, report: &RankReport) {
        self.doubt = Some(report.sequence);
    }

    /// Takes what the rank says of itself.
    pub fn observe(&mut self, report: &RankReport) {
        self.highest = self.highest.max(report.map);
        self.highest = self.highest.max(report.prepared.unwrap_or_default());
        if self.doubt.is_some_and(|doubt| doubt != report.sequence) {
            self.doubt = None;
        }
    }

    /// Takes a message of the lead.
    pub fn on_message(&mut self, message: &RankMessage, report: &RankReport) {
        match message {
            RankMessage::Prepare { attempt, map, .. } => self.on_prepare(*attempt, map, report),
            RankMessage::Arm { attempt, step } => self.on_arm(*attempt, *step),
            RankMessage::Clear { attempt, .. } => self.on_clear(*attempt),
            _ => {}
        }
    }

    /// Takes the answer to the member's last order, which named `expected`.
    pub fn on_answer(&mut self, answer: OrderAnswer, expected: OrderSequence) {
        if answer == OrderAnswer::Unanswered {
            self.doubt = Some(expected);
        }
        let is_failed = answer != OrderAnswer::Accepted;
        match &self.goal {
            MemberGoal::Prepare { attempt, .. } | MemberGoal::Arm { attempt, .. } if is_failed => {
                self.goal = MemberGoal::Failed { attempt: *attempt };
            }
            _ => {}
        }
    }

    /// The order that the rank needs now, if any.
    ///
    /// `same_map` is the map in use under a version that the rank has not had; the lead's
    /// member has it where it is known.
    pub fn next_action(
        &mut self,
        report: &RankReport,
        is_lead: bool,
        same_map: Option<Arc<ExpertMap>>,
    ) -> Option<RankAction> {
        match &mut self.goal {
            MemberGoal::Idle | MemberGoal::Failed { .. } => {
                self.settling_action(report, is_lead, same_map)
            }
            MemberGoal::Prepare {
                map, is_ordered, ..
            } => {
                let is_needed = !*is_ordered && report.prepared != Some(map.id().version);
                *is_ordered = true;
                is_needed.then(|| RankAction::Prepare(Arc::clone(map)))
            }
            MemberGoal::Arm {
                switch, is_ordered, ..
            } => {
                let is_needed = !*is_ordered && report.armed != Some(*switch);
                *is_ordered = true;
                is_needed.then_some(RankAction::Arm {
                    version: switch.version,
                    step: switch.step,
                })
            }
            MemberGoal::Clear { .. } => match report.armed {
                // A group that is not held may begin the step at any moment, with the other
                // ranks armed.
                Some(_) if is_lead && report.held.is_none() => None,
                Some(armed) => Some(RankAction::Disarm {
                    version: armed.version,
                }),
                None => self.settling_action(report, is_lead, same_map),
            },
        }
    }

    /// What the lead is to hear now, if anything.
    #[must_use]
    pub fn reply(&self, report: &RankReport) -> Option<RankMessage> {
        match &self.goal {
            MemberGoal::Idle => None,
            MemberGoal::Prepare { attempt, map, .. } => {
                let is_done = report.prepared == Some(map.id().version);
                is_done.then_some(RankMessage::Prepared { attempt: *attempt })
            }
            MemberGoal::Arm {
                attempt, switch, ..
            } => {
                let is_done = report.armed == Some(*switch) || report.map == switch.version;
                is_done.then_some(RankMessage::Armed { attempt: *attempt })
            }
            MemberGoal::Failed { attempt } => Some(RankMessage::Failed {
                attempt: *attempt,
                highest: self.highest,
            }),
            MemberGoal::Clear { attempt } => self
                .is_clear(report)
                .then_some(RankMessage::Cleared { attempt: *attempt }),
        }
    }

    fn on_prepare(&mut self, attempt: AttemptName, map: &Arc<ExpertMap>, report: &RankReport) {
        if self.is_outdated(attempt) || self.goal.attempt() == Some(attempt) {
            return;
        }
        self.highest = self.highest.max(map.id().version);
        // A rank that may be armed for another attempt waits until that one is taken back.
        let may_be_armed = matches!(self.goal, MemberGoal::Arm { .. }) && !self.is_over(report);
        self.goal = if may_be_armed || report.armed.is_some() || self.doubt.is_some() {
            MemberGoal::Failed { attempt }
        } else {
            MemberGoal::Prepare {
                attempt,
                map: Arc::clone(map),
                is_ordered: false,
            }
        };
    }

    fn on_arm(&mut self, attempt: AttemptName, step: StepNumber) {
        if let MemberGoal::Prepare {
            attempt: own, map, ..
        } = &self.goal
            && *own == attempt
        {
            self.goal = MemberGoal::Arm {
                attempt,
                switch: ArmedSwitch {
                    version: map.id().version,
                    step,
                },
                is_ordered: false,
            };
        } else if self.goal.attempt().is_none() {
            self.goal = MemberGoal::Failed { attempt };
        }
    }

    fn on_clear(&mut self, attempt: AttemptName) {
        if !self.is_outdated(attempt) {
            self.goal = MemberGoal::Clear { attempt };
        }
    }

    /// Whether a message belongs to an attempt before the present one.
    fn is_outdated(&self, attempt: AttemptName) -> bool {
        let known = self.goal.attempt();
        known.is_some_and(|it| it.life == attempt.life && it.number > attempt.number)
    }

    /// Whether the switch that the member works on was made.
    fn is_over(&self, report: &RankReport) -> bool {
        match &self.goal {
            MemberGoal::Arm { switch, .. } => report.map == switch.version,
            _ => true,
        }
    }

    fn is_clear(&self, report: &RankReport) -> bool {
        report.armed.is_none() && self.doubt.is_none()
    }

    /// The order after which nothing that was ordered before can be carried out any more.
    ///
    /// Any order that the rank accepts does it. Holding the group before a step that is far
    /// away delays nobody. The lead's rank may be held already; it loads what it has.
    fn settling_action(
        &self,
        report: &RankReport,
        is_lead: bool,
        same_map: Option<Arc<ExpertMap>>,
    ) -> Option<RankAction> {
        // A group that was released with every rank armed is left alone until it has switched.
        if is_lead && report.armed.is_some() && report.held.is_none() {
            return None;
        }
        let held = report.held.filter(|_| !is_lead);
        match (self.doubt, held) {
            // Only the lead holds the group for longer, and only by its own rank.
            (_, Some(step)) => Some(RankAction::Release { step }),
            (None, None) => None,
            (Some(_), None) if same_map.is_some() => same_map.map(RankAction::Prepare),
            (Some(_), None) if report.held.is_some() => None,
            (Some(_), None) => Some(RankAction::Hold {
                step: StepNumber(report.step.0 + FAR_STEPS),
            }),
        }
    }
}
