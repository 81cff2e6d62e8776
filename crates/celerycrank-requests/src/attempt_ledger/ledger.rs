//! State of each attempt on an agent, driven by `charts/attempt.json`.

use std::{
    collections::{BTreeSet, HashMap},
    sync::LazyLock,
};

use celerycrank_chart::{ChartStep, StateChart};
use celerycrank_types::{Incarnation, RefusalReason, TimePoint, TimeSpan, UnknownReason};
use smallvec::SmallVec;

use super::event::{ActionKind, AttemptAction, AttemptEvent, AttemptState, CallKind, EventKind};
use crate::{AttemptId, CallStatus, ClaimAnswer, RevokeAnswer};

/// Actions for the agent to carry out, in order.
pub type AttemptActions = SmallVec<[AttemptAction; 2]>;

static ATTEMPT_CHART: LazyLock<StateChart<AttemptState, EventKind, ActionKind>> =
    LazyLock::new(|| {
        StateChart::parse(include_str!("../../charts/attempt.json"))
            .expect("the embedded chart is valid")
    });

/// Settings of an attempt ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLedgerSettings {
    /// Maximum number of attempts in the ledger.
    pub capacity: usize,
    /// How long a finished attempt is retained.
    pub retention: TimeSpan,
}

impl Default for AttemptLedgerSettings {
    fn default() -> Self {
        Self {
            capacity: 65_536,
            retention: TimeSpan::from_secs(60),
        }
    }
}

/// Tracks each attempt that reached an agent or was revoked there.
///
/// An attempt is dropped only after its deadline, and no attempt starts after its deadline.
/// Therefore a refused or revoked attempt never starts, however late a copy of it arrives.
#[derive(Debug, Clone)]
pub struct AttemptLedger {
    incarnation: Incarnation,
    settings: AttemptLedgerSettings,
    /// Invariant: never decreases, even if the process's clock does.
    clock: TimePoint,
    /// Invariant: at most `settings.capacity` attempts.
    attempts: HashMap<AttemptId, AttemptRecord>,
    /// Attempts that may be dropped, ordered by time.
    expiries: BTreeSet<(TimePoint, AttemptId)>,
    /// Attempts that are not in the ledger and have a deadline up to this one never start.
    refused_until: TimePoint,
    /// Latest deadline of a dropped attempt whose call may have run; for an unlisted attempt with a
    /// deadline up to this one, the ledger cannot tell whether it ran.
    forgotten_until: TimePoint,
}

/// The ledger's record of one attempt.
#[derive(Debug, Clone, Copy)]
struct AttemptRecord {
    state: AttemptState,
    deadline: TimePoint,
    call: CallKind,
    refusal: RefusalReason,
    unknown: UnknownReason,
    status: Option<CallStatus>,
}

impl AttemptLedger {
    /// Creates an empty ledger for one incarnation of the agent.
    #[must_use]
    pub fn new(incarnation: Incarnation, settings: AttemptLedgerSettings) -> Self {
        Self {
            incarnation,
            settings,
            clock: TimePoint::default(),
            attempts: HashMap::new(),
            expiries: BTreeSet::new(),
            refused_until: TimePoint::default(),
            forgotten_until: TimePoint::default(),
        }
    }

    /// Returns the agent's incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of attempts in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether the ledger contains no attempt.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the state of an attempt.
    #[must_use]
    pub fn state(&self, attempt: AttemptId) -> AttemptState {
        self.attempts
            .get(&attempt)
            .map_or(AttemptState::Absent, |record| record.state)
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(
        &mut self,
        attempt: AttemptId,
        event: AttemptEvent,
        now: TimePoint,
    ) -> AttemptActions {
        self.clock = self.clock.max(now);
        self.drop_expired();
        match self.attempts.get(&attempt).copied() {
            Some(record) => self.advance(attempt, record, event),
            None => self.begin(attempt, event),
        }
    }

    /// Handles an event for an attempt that is not in the ledger.
    fn begin(&mut self, attempt: AttemptId, event: AttemptEvent) -> AttemptActions {
        match event {
            AttemptEvent::Arrived {
                incarnation,
                deadline,
                call,
            } => self.admit(attempt, incarnation, deadline, call),
            AttemptEvent::Revoked {
                incarnation,
                deadline,
            } => self.revoke_unknown(attempt, incarnation, deadline),
            _ => SmallVec::new(),
        }
    }

    fn admit(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        deadline: TimePoint,
        call: CallKind,
    ) -> AttemptActions {
        if incarnation != self.incarnation {
            return single(AttemptAction::TellUnproved(UnknownReason::AgentRestarted));
        }
        if deadline <= self.forgotten_until {
            // No reason says that the ledger dropped the attempt; the entry, too, reports a
            // forgotten attempt as `LinkLost`.
            return single(AttemptAction::TellUnproved(UnknownReason::LinkLost));
        }
        if deadline <= self.clock {
            return single(AttemptAction::Refuse(RefusalReason::DeadlineUnreachable));
        }
        if deadline <= self.refused_until || self.is_full() {
            self.refused_until = self.refused_until.max(deadline);
            return single(AttemptAction::Refuse(RefusalReason::QueueFull));
        }
        let kind = match call {
            CallKind::Plain => EventKind::Arrived,
            CallKind::Keyed => EventKind::ArrivedKeyed,
        };
        self.step(attempt, AttemptRecord::new(deadline, call), kind)
    }

    fn revoke_unknown(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        deadline: TimePoint,
    ) -> AttemptActions {
        if incarnation != self.incarnation {
            return single(AttemptAction::Answer(RevokeAnswer::OtherIncarnation));
        }
        if deadline <= self.forgotten_until {
            return single(AttemptAction::Answer(RevokeAnswer::Forgotten));
        }
        if deadline <= self.clock || self.is_full() {
            self.refused_until = self.refused_until.max(deadline);
            return single(AttemptAction::Answer(RevokeAnswer::NeverStarted));
        }
        let mut record = AttemptRecord::new(deadline, CallKind::Plain);
        record.refusal = RefusalReason::Revoked;
        self.step(attempt, record, EventKind::Revoked)
    }

    /// Handles an event for an attempt that is in the ledger.
    fn advance(
        &mut self,
        attempt: AttemptId,
        mut record: AttemptRecord,
        event: AttemptEvent,
    ) -> AttemptActions {
        let kind = match event {
            AttemptEvent::Arrived { call, .. } => match call {
                CallKind::Plain => EventKind::Arrived,
                CallKind::Keyed => EventKind::ArrivedKeyed,
            },
            AttemptEvent::Claimed(answer) => record.apply_claim_answer(answer),
            AttemptEvent::AdmissionRefused(reason) => record.refuse(reason, EventKind::Refused),
            AttemptEvent::NotBegun(reason) => record.refuse(reason, EventKind::NotBegun),
            AttemptEvent::SlotFree if record.deadline <= self.clock => {
                record.refuse(RefusalReason::DeadlineUnreachable, EventKind::Refused)
            }
            AttemptEvent::SlotFree => EventKind::SlotFree,
            AttemptEvent::Finished(status) => {
                record.status = status;
                EventKind::Finished
            }
            AttemptEvent::Revoked { incarnation, .. } if incarnation != self.incarnation => {
                return single(AttemptAction::Answer(RevokeAnswer::OtherIncarnation));
            }
            AttemptEvent::Revoked { .. } => EventKind::Revoked,
            AttemptEvent::Cancelled => EventKind::Cancelled,
        };
        self.step(attempt, record, kind)
    }

    fn step(
        &mut self,
        attempt: AttemptId,
        mut record: AttemptRecord,
        kind: EventKind,
    ) -> AttemptActions {
        let ChartStep::Moved { state, actions } = ATTEMPT_CHART.step(record.state, kind) else {
            return SmallVec::new();
        };
        assert!(
            state != AttemptState::Started
                || matches!(record.state, AttemptState::Queued | AttemptState::Started),
            "an attempt was started twice or after a refusal"
        );
        if record.state != state {
            record.state = state;
            self.schedule_expiry(attempt, &record);
        }
        self.attempts.insert(attempt, record);
        actions
            .iter()
            .filter_map(|action| record.action(*action))
            .collect()
    }

    /// Schedules when a completed attempt may be dropped: never before its deadline.
    fn schedule_expiry(&mut self, attempt: AttemptId, record: &AttemptRecord) {
        let expiry = match record.state {
            AttemptState::Absent
            | AttemptState::Claiming
            | AttemptState::Queued
            | AttemptState::Started => return,
            AttemptState::Tombstone => record.deadline,
            AttemptState::Finished | AttemptState::Unproved | AttemptState::Replayed => {
                record.deadline.max(self.clock + self.settings.retention)
            }
        };
        self.expiries.insert((expiry, attempt));
    }

    fn drop_expired(&mut self) {
        while let Some(&(expiry, attempt)) = self.expiries.first()
            && expiry <= self.clock
        {
            self.expiries.pop_first();
            let dropped = self.attempts.remove(&attempt);
            if let Some(record) = dropped
                && record.state != AttemptState::Tombstone
            {
                self.forgotten_until = self.forgotten_until.max(record.deadline);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.attempts.len() >= self.settings.capacity
    }
}

impl AttemptRecord {
    const fn new(deadline: TimePoint, call: CallKind) -> Self {
        Self {
            state: AttemptState::Absent,
            deadline,
            call,
            refusal: RefusalReason::Revoked,
            unknown: UnknownReason::ClaimedElsewhere,
            status: None,
        }
    }

    fn refuse(&mut self, reason: RefusalReason, kind: EventKind) -> EventKind {
        if self.state != AttemptState::Tombstone {
            self.refusal = reason;
        }
        kind
    }

    fn apply_claim_answer(&mut self, answer: ClaimAnswer) -> EventKind {
        match answer {
            ClaimAnswer::Won => EventKind::Claimed,
            ClaimAnswer::Recorded(status) => {
                self.status = Some(status);
                EventKind::Recorded
            }
            ClaimAnswer::ClaimedElsewhere => EventKind::Unproved,
            ClaimAnswer::KeyReused => {
                self.refuse(RefusalReason::KeyReused, EventKind::ClaimRefused)
            }
            ClaimAnswer::KeyExpired => {
                self.refuse(RefusalReason::KeyExpired, EventKind::ClaimRefused)
            }
            ClaimAnswer::Unavailable => {
                self.refuse(RefusalReason::ClaimUnavailable, EventKind::ClaimRefused)
            }
        }
    }

    fn action(&self, kind: ActionKind) -> Option<AttemptAction> {
        let is_keyed = self.call == CallKind::Keyed;
        match kind {
            ActionKind::Claim => Some(AttemptAction::Claim),
            ActionKind::Queue => Some(AttemptAction::Queue),
            ActionKind::Start => Some(AttemptAction::Start),
            ActionKind::ReleaseClaim => is_keyed.then_some(AttemptAction::ReleaseClaim),
            ActionKind::RecordClaim if is_keyed => self.status.map(AttemptAction::RecordClaim),
            ActionKind::RecordClaim => None,
            ActionKind::Refuse => Some(AttemptAction::Refuse(self.refusal)),
            ActionKind::TellUnproved => Some(AttemptAction::TellUnproved(self.unknown)),
            ActionKind::Replay => self.status.map(AttemptAction::Replay),
            ActionKind::AnswerNeverStarted => {
                Some(AttemptAction::Answer(RevokeAnswer::NeverStarted))
            }
            ActionKind::AnswerStarted => Some(AttemptAction::Answer(RevokeAnswer::Started)),
            ActionKind::AnswerFinished => Some(AttemptAction::Answer(RevokeAnswer::Finished)),
            ActionKind::AnswerUnproved => {
                Some(AttemptAction::Answer(RevokeAnswer::Unproved(self.unknown)))
            }
            ActionKind::Cancel => Some(AttemptAction::Cancel),
        }
    }
}

fn single(action: AttemptAction) -> AttemptActions {
    SmallVec::from_iter([action])
}
