//! The part of an agent that orders its own rank on behalf of the lead.

use std::sync::Arc;

use crate::{
    ArmedSwitch, ExpertMap, MapVersion, OrderAnswer, RankAction, RankAttemptId, RankMessage,
    RankReport, StepNumber,
};

/// What the member works towards.
#[derive(Debug, Clone, PartialEq)]
enum MemberGoal {
    /// Nothing is asked of the rank.
    Idle,
    /// The rank is to load a map.
    Prepare {
        attempt: RankAttemptId,
        map: Arc<ExpertMap>,
        is_accepted: bool,
        /// Whether no order of the attempt was left without an answer.
        is_prompt: bool,
    },
    /// The rank is to be armed.
    Arm {
        attempt: RankAttemptId,
        switch: ArmedSwitch,
        is_accepted: bool,
    },
    /// The rank cannot do what was asked.
    Failed { attempt: RankAttemptId },
    /// The rank is not to be armed, nor to become so by an order that comes late.
    Clear {
        attempt: RankAttemptId,
        /// The map in use under a version that the rank has not had.
        map: Arc<ExpertMap>,
    },
}

impl MemberGoal {
    const fn attempt(&self) -> Option<RankAttemptId> {
        match self {
            Self::Idle => None,
            Self::Prepare { attempt, .. }
            | Self::Arm { attempt, .. }
            | Self::Failed { attempt }
            | Self::Clear { attempt, .. } => Some(*attempt),
        }
    }
}

/// Orders one rank on behalf of the lead.
///
/// Orders are repeated until the rank's report shows what they bring about. One that comes
/// late does no harm: a map that is loaded makes older ones void, and a rank arms only for
/// the map it has loaded and for a step that has not begun.
///
/// Invariant: a rank that was said to be armed is disarmed only when the lead takes the
/// attempt back.
#[derive(Debug, Clone)]
pub struct RankMember {
    goal: MemberGoal,
    highest: MapVersion,
}

impl Default for RankMember {
    fn default() -> Self {
        Self {
            goal: MemberGoal::Idle,
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
    pub fn is_under_way(&self, report: &RankReport) -> bool {
        let is_asked = !matches!(self.goal, MemberGoal::Idle | MemberGoal::Failed { .. });
        is_asked && self.reply(report).is_none()
    }

    /// Forgets everything but versions, as a new forming of the group does.
    pub fn reset(&mut self) {
        self.goal = MemberGoal::Idle;
    }

    /// Takes what the rank says of itself.
    pub fn observe(&mut self, report: &RankReport) {
        self.highest = self.highest.max(report.map);
        self.highest = self.highest.max(report.prepared.unwrap_or_default());
        if let MemberGoal::Prepare {
            attempt,
            is_accepted: false,
            ..
        } = self.goal
            && report.armed.is_some()
        {
            // What the rank is armed for is settled first.
            self.goal = MemberGoal::Failed { attempt };
        }
    }

    /// Takes a message of the lead.
    pub fn on_message(&mut self, message: &RankMessage) {
        match message {
            RankMessage::Prepare { attempt, map, .. } => self.on_prepare(*attempt, map),
            RankMessage::Arm { attempt, step } => self.on_arm(*attempt, *step),
            RankMessage::Clear { attempt, map, .. } => self.on_clear(*attempt, map),
            _ => {}
        }
    }

    /// Takes the answer to the member's last order.
    pub fn on_answer(&mut self, answer: OrderAnswer) {
        match (&mut self.goal, answer) {
            (
                MemberGoal::Prepare { is_accepted, .. } | MemberGoal::Arm { is_accepted, .. },
                OrderAnswer::Accepted,
            ) => *is_accepted = true,
            (MemberGoal::Prepare { is_prompt, .. }, OrderAnswer::Unanswered) => *is_prompt = false,
            (
                MemberGoal::Prepare { attempt, .. } | MemberGoal::Arm { attempt, .. },
                OrderAnswer::Refused,
            ) => self.goal = MemberGoal::Failed { attempt: *attempt },
            _ => {}
        }
    }

    /// The order that the rank needs now, if any.
    #[must_use]
    pub fn next_action(&self, report: &RankReport) -> Option<RankAction> {
        if self.reply(report).is_some() {
            return None;
        }
        match &self.goal {
            MemberGoal::Idle | MemberGoal::Failed { .. } => None,
            // A report from before the last switch may still call the rank armed.
            MemberGoal::Prepare { .. } if report.armed.is_some() => None,
            MemberGoal::Prepare {
                map, is_accepted, ..
            } => (!is_accepted).then(|| RankAction::Prepare(Arc::clone(map))),
            MemberGoal::Arm {
                switch,
                is_accepted,
                ..
            } => (!is_accepted).then_some(RankAction::Arm {
                version: switch.version,
                step: switch.step,
            }),
            MemberGoal::Clear { map, .. } => Some(match report.armed {
                Some(armed) => RankAction::Disarm {
                    version: armed.version,
                },
                None => RankAction::Prepare(Arc::clone(map)),
            }),
        }
    }

    /// What the lead is to hear now, if anything.
    #[must_use]
    pub fn reply(&self, report: &RankReport) -> Option<RankMessage> {
        match &self.goal {
            MemberGoal::Idle => None,
            MemberGoal::Prepare {
                attempt,
                map,
                is_prompt,
                ..
            } => {
                let is_done = report.prepared == Some(map.version());
                is_done.then_some(RankMessage::Prepared {
                    attempt: *attempt,
                    is_prompt: *is_prompt,
                })
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
            MemberGoal::Clear { attempt, map } => {
                // With a newer map loaded, no order for an older one can arm the rank.
                let is_void = report.prepared >= Some(map.version());
                let is_clear = report.armed.is_none() && is_void;
                is_clear.then_some(RankMessage::Cleared { attempt: *attempt })
            }
        }
    }

    fn on_prepare(&mut self, attempt: RankAttemptId, map: &Arc<ExpertMap>) {
        if self.is_known(attempt) {
            return;
        }
        self.highest = self.highest.max(map.version());
        self.goal = MemberGoal::Prepare {
            attempt,
            map: Arc::clone(map),
            is_accepted: false,
            is_prompt: true,
        };
    }

    fn on_arm(&mut self, attempt: RankAttemptId, step: StepNumber) {
        if let MemberGoal::Prepare {
            attempt: own, map, ..
        } = &self.goal
            && *own == attempt
        {
            self.goal = MemberGoal::Arm {
                attempt,
                switch: ArmedSwitch {
                    version: map.version(),
                    step,
                },
                is_accepted: false,
            };
        } else if self.goal.attempt() != Some(attempt) && !self.is_outdated(attempt) {
            // An earlier incarnation of this agent was asked to prepare.
            self.goal = MemberGoal::Failed { attempt };
        }
    }

    fn on_clear(&mut self, attempt: RankAttemptId, map: &Arc<ExpertMap>) {
        self.highest = self.highest.max(map.version());
        let is_known = matches!(&self.goal, MemberGoal::Clear { attempt: own, map: known }
            if *own == attempt && known.id() == map.id());
        if !is_known && !self.is_outdated(attempt) {
            self.goal = MemberGoal::Clear {
                attempt,
                map: Arc::clone(map),
            };
        }
    }

    /// Whether a request to prepare was taken before, or belongs to an earlier attempt.
    fn is_known(&self, attempt: RankAttemptId) -> bool {
        self.goal.attempt() == Some(attempt) || self.is_outdated(attempt)
    }

    fn is_outdated(&self, attempt: RankAttemptId) -> bool {
        let known = self.goal.attempt();
        known.is_some_and(|it| it.incarnation == attempt.incarnation && it.number > attempt.number)
    }
}
