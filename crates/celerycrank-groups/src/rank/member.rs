//! The part of an agent that sends orders to its own rank on behalf of the leader.

use std::sync::Arc;

use crate::{
    ArmedSwitch, ExpertMap, MapVersion, OrderAnswer, RankAction, RankAttemptId, RankMessage,
    RankReport, StepNumber,
};

/// What the member is doing for its rank.
#[derive(Debug, Clone, PartialEq)]
enum MemberTask {
    /// Nothing is requested of the rank.
    Idle,
    /// The rank is to load a map.
    Prepare {
        attempt: RankAttemptId,
        map: Arc<ExpertMap>,
        is_accepted: bool,
        /// Whether every order of the attempt was answered in time, so that none had to be
        /// repeated.
        is_prompt: bool,
    },
    /// The rank is to be armed.
    Arm {
        attempt: RankAttemptId,
        switch: ArmedSwitch,
        is_accepted: bool,
    },
    /// The rank cannot reach the requested state.
    Failed { attempt: RankAttemptId },
    /// The rank is not to be armed, nor to become armed by a delayed order.
    Clear {
        attempt: RankAttemptId,
        /// The active map with a version that the rank has not had.
        map: Arc<ExpertMap>,
    },
}

impl MemberTask {
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

/// Sends orders to one rank on behalf of the leader.
///
/// Orders are repeated until the rank's report shows their effect. A delayed order does no
/// harm: loading a map invalidates older ones, and a rank is armed only for the map that it has
/// loaded and for a step that has not begun.
///
/// Invariant: a rank that was reported as armed is disarmed only when the leader rolls the
/// attempt back.
#[derive(Debug, Clone)]
pub struct RankMember {
    task: MemberTask,
    highest: MapVersion,
}

impl Default for RankMember {
    fn default() -> Self {
        Self {
            task: MemberTask::Idle,
            highest: MapVersion(0),
        }
    }
}

impl RankMember {
    /// The highest map version that the member knows.
    #[must_use]
    pub const fn highest(&self) -> MapVersion {
        self.highest
    }

    /// Whether a state is requested that the rank's report does not show yet.
    #[must_use]
    pub fn is_under_way(&self, report: &RankReport) -> bool {
        let is_requested = !matches!(self.task, MemberTask::Idle | MemberTask::Failed { .. });
        is_requested && self.reply(report).is_none()
    }

    /// Discards everything except versions, for a new epoch of the group.
    pub fn reset(&mut self) {
        self.task = MemberTask::Idle;
    }

    /// Handles a report of the rank.
    pub fn observe(&mut self, report: &RankReport) {
        self.highest = self.highest.max(report.map);
        self.highest = self.highest.max(report.prepared.unwrap_or_default());
        if let MemberTask::Prepare {
            attempt,
            is_accepted: false,
            ..
        } = self.task
            && report.armed.is_some()
        {
            // The switch for which the rank is armed must be resolved first.
            self.task = MemberTask::Failed { attempt };
        }
    }

    /// Handles a message from the leader.
    pub fn on_message(&mut self, message: &RankMessage) {
        match message {
            RankMessage::Prepare { attempt, map, .. } => self.on_prepare(*attempt, map),
            RankMessage::Arm { attempt, step } => self.on_arm(*attempt, *step),
            RankMessage::Clear { attempt, map, .. } => self.on_clear(*attempt, map),
            _ => {}
        }
    }

    /// Handles the answer to the member's last order.
    pub fn on_answer(&mut self, answer: OrderAnswer) {
        match (&mut self.task, answer) {
            (
                MemberTask::Prepare { is_accepted, .. } | MemberTask::Arm { is_accepted, .. },
                OrderAnswer::Accepted,
            ) => *is_accepted = true,
            (MemberTask::Prepare { is_prompt, .. }, OrderAnswer::Unanswered) => *is_prompt = false,
            (
                MemberTask::Prepare { attempt, .. } | MemberTask::Arm { attempt, .. },
                OrderAnswer::Refused,
            ) => self.task = MemberTask::Failed { attempt: *attempt },
            _ => {}
        }
    }

    /// The order that the rank needs now, if any.
    #[must_use]
    pub fn next_action(&self, report: &RankReport) -> Option<RankAction> {
        if self.reply(report).is_some() {
            return None;
        }
        match &self.task {
            MemberTask::Idle | MemberTask::Failed { .. } => None,
            // A report from before the last switch may still show the rank as armed.
            MemberTask::Prepare { .. } if report.armed.is_some() => None,
            MemberTask::Prepare {
                map, is_accepted, ..
            } => (!is_accepted).then(|| RankAction::Prepare(Arc::clone(map))),
            MemberTask::Arm {
                switch,
                is_accepted,
                ..
            } => (!is_accepted).then_some(RankAction::Arm {
                version: switch.version,
                step: switch.step,
            }),
            MemberTask::Clear { map, .. } => Some(match report.armed {
                Some(armed) => RankAction::Disarm {
                    version: armed.version,
                },
                None => RankAction::Prepare(Arc::clone(map)),
            }),
        }
    }

    /// The reply to the leader that the report justifies, if any.
    #[must_use]
    pub fn reply(&self, report: &RankReport) -> Option<RankMessage> {
        match &self.task {
            MemberTask::Idle => None,
            MemberTask::Prepare {
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
            MemberTask::Arm {
                attempt, switch, ..
            } => {
                let is_done = report.armed == Some(*switch) || report.map == switch.version;
                is_done.then_some(RankMessage::Armed { attempt: *attempt })
            }
            MemberTask::Failed { attempt } => Some(RankMessage::Failed {
                attempt: *attempt,
                highest: self.highest,
            }),
            MemberTask::Clear { attempt, map } => {
                // With a newer map loaded, no order for an older one can arm the rank.
                let is_superseded = report.prepared >= Some(map.version());
                let is_clear = report.armed.is_none() && is_superseded;
                is_clear.then_some(RankMessage::Cleared { attempt: *attempt })
            }
        }
    }

    fn on_prepare(&mut self, attempt: RankAttemptId, map: &Arc<ExpertMap>) {
        if self.is_known(attempt) {
            return;
        }
        self.highest = self.highest.max(map.version());
        self.task = MemberTask::Prepare {
            attempt,
            map: Arc::clone(map),
            is_accepted: false,
            is_prompt: true,
        };
    }

    fn on_arm(&mut self, attempt: RankAttemptId, step: StepNumber) {
        if let MemberTask::Prepare {
            attempt: own, map, ..
        } = &self.task
            && *own == attempt
        {
            self.task = MemberTask::Arm {
                attempt,
                switch: ArmedSwitch {
                    version: map.version(),
                    step,
                },
                is_accepted: false,
            };
        } else if self.task.attempt() != Some(attempt) && !self.is_outdated(attempt) {
            // The request to prepare went to an earlier incarnation of this agent.
            self.task = MemberTask::Failed { attempt };
        }
    }

    fn on_clear(&mut self, attempt: RankAttemptId, map: &Arc<ExpertMap>) {
        self.highest = self.highest.max(map.version());
        let is_known = matches!(&self.task, MemberTask::Clear { attempt: own, map: known }
            if *own == attempt && known.id() == map.id());
        if !is_known && !self.is_outdated(attempt) {
            self.task = MemberTask::Clear {
                attempt,
                map: Arc::clone(map),
            };
        }
    }

    /// Whether a request to prepare was handled before, or belongs to an earlier attempt.
    pub(crate) fn is_known(&self, attempt: RankAttemptId) -> bool {
        self.task.attempt() == Some(attempt) || self.is_outdated(attempt)
    }

    fn is_outdated(&self, attempt: RankAttemptId) -> bool {
        let known = self.task.attempt();
        known.is_some_and(|it| it.incarnation == attempt.incarnation && it.number > attempt.number)
    }
}
