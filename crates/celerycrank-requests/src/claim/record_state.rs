//! One record as a claim ledger sees it: what is known, what waits, what is in flight.

use celerycrank_types::{ByteSize, TimePoint, TimeSpan};

use super::{
    answer::{CallStatus, ClaimAnswer},
    key::{CallKey, RequestDigest},
    operation::{OperationId, RecordRevision},
    record::{BucketNumber, ClaimRecord, ClaimantId},
};

/// A claim that an attempt asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct ClaimOrder {
    /// The caller's key.
    pub key: CallKey,
    /// What the keyed request asks for.
    pub request: RequestDigest,
    /// The attempt that will start the call.
    pub claimant: ClaimantId,
    /// When the attempt stops waiting for the claim.
    pub deadline: TimePoint,
}

/// What a record is to be changed by.
#[derive(Debug, Clone, Copy)]
pub(super) enum RecordCommand {
    Claim(ClaimOrder),
    Finish(CallKey, ClaimantId, CallStatus),
    Release(CallKey, ClaimantId),
}

/// A command with its place in time.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingCommand {
    pub(super) command: RecordCommand,
    pub(super) bucket: BucketNumber,
    /// When the command is to be sent, together with all others that wait.
    pub(super) commit_at: TimePoint,
    /// Whether any write that holds the command was ever sent.
    pub(super) was_sent: bool,
    /// Whether the write in flight holds the command.
    pub(super) is_in_flight: bool,
}

/// An operation that was sent and not answered.
#[derive(Debug, Clone)]
pub(super) struct InFlightOperation {
    pub(super) operation: OperationId,
    pub(super) sent: TimePoint,
    /// What a write would make of the record; none for a read.
    pub(super) write: Option<RecordWrite>,
}

/// A write that was sent and not answered.
#[derive(Debug, Clone)]
pub(super) struct RecordWrite {
    pub(super) expected: RecordRevision,
    pub(super) record: ClaimRecord,
    /// What the held claims are told once the write is known to have happened.
    pub(super) answers: Vec<(ClaimantId, ClaimAnswer)>,
}

/// One record as a claim ledger sees it.
#[derive(Debug, Default)]
pub(super) struct RecordState {
    /// The record and its revision, as last read or written.
    pub(super) known: Option<(RecordRevision, ClaimRecord)>,
    /// Whether the record was read since the last claim was submitted.
    pub(super) is_fresh: bool,
    pub(super) waiting: Vec<PendingCommand>,
    pub(super) in_flight: Option<InFlightOperation>,
    /// A write against this revision failed, and may yet take effect.
    pub(super) unresolved_write: Option<RecordRevision>,
    /// Nothing is sent before this point.
    pub(super) backoff_until: TimePoint,
    pub(super) failures: u32,
    pub(super) last_used: TimePoint,
}

/// What a page does next.
#[derive(Debug)]
pub(super) enum RecordStep {
    Read,
    Write(RecordWrite),
    /// The record needs no change: these answers hold now.
    Answer(Vec<(ClaimantId, ClaimAnswer)>),
}

impl RecordState {
    /// When the page has something to send or to give up on.
    pub(super) fn wake_at(&self, timeout: TimeSpan) -> Option<TimePoint> {
        let give_up = self
            .waiting
            .iter()
            .filter_map(PendingCommand::deadline)
            .min();
        let next = match &self.in_flight {
            Some(flight) => Some(flight.sent + timeout),
            None => self
                .waiting
                .iter()
                .map(|pending| pending.commit_at.max(self.backoff_until))
                .min(),
        };
        give_up.into_iter().chain(next).min()
    }

    /// Whether the waiting commands are to be settled now.
    pub(super) fn is_due(&self, now: TimePoint) -> bool {
        self.in_flight.is_none()
            && self.backoff_until <= now
            && self.waiting.iter().any(|pending| pending.commit_at <= now)
    }

    /// Whether nothing waits and nothing is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// Takes out claims that are not waited for any longer.
    ///
    /// A claim that may have been written is replaced by its release.
    pub(super) fn expire_claims(&mut self, now: TimePoint) -> Vec<(ClaimantId, ClaimAnswer)> {
        let is_over = |pending: &PendingCommand| pending.deadline().is_some_and(|at| at <= now);
        let mut answers = Vec::new();
        for pending in self.waiting.iter_mut().filter(|pending| is_over(pending)) {
            if let RecordCommand::Claim(order) = pending.command {
                answers.push((order.claimant, ClaimAnswer::Unavailable));
                if pending.was_sent {
                    pending.command = RecordCommand::Release(order.key, order.claimant);
                    pending.is_in_flight = false;
                }
            }
        }
        self.waiting.retain(|pending| !is_over(pending));
        answers
    }

    /// Decides what to do about the waiting commands.
    pub(super) fn decide(&self, limit: ByteSize) -> RecordStep {
        let Some((revision, known)) = &self.known else {
            return RecordStep::Read;
        };
        let mut record = known.clone();
        let mut answers = Vec::new();
        for pending in &self.waiting {
            answers.extend(pending.apply(&mut record, limit));
        }
        // A read may lag behind a write in doubt, so that only a write of one's own settles it.
        let is_settled = record == *known && self.unresolved_write != Some(*revision);
        if is_settled {
            let is_stale = !self.is_fresh
                && answers
                    .iter()
                    .any(|(_, answer)| *answer == ClaimAnswer::ClaimedElsewhere);
            return if is_stale {
                RecordStep::Read
            } else {
                RecordStep::Answer(answers)
            };
        }
        RecordStep::Write(RecordWrite {
            expected: *revision,
            record,
            answers,
        })
    }

    /// Marks every waiting command as held by the write that is being sent.
    pub(super) fn mark_in_flight(&mut self) {
        for pending in &mut self.waiting {
            pending.was_sent = true;
            pending.is_in_flight = true;
        }
    }

    /// Notes that the write in flight happened; returns the answers still waited for.
    pub(super) fn apply_write_result(
        &mut self,
        revision: RecordRevision,
        write: RecordWrite,
    ) -> Vec<(ClaimantId, ClaimAnswer)> {
        self.known = Some((revision, write.record));
        self.unresolved_write = None;
        self.failures = 0;
        let is_waited_for = |claimant: ClaimantId| {
            self.waiting
                .iter()
                .any(|pending| pending.is_in_flight && pending.claims_for(claimant))
        };
        let mut answers = write.answers;
        answers.retain(|(claimant, _)| is_waited_for(*claimant));
        self.waiting.retain(|pending| !pending.is_in_flight);
        answers
    }

    /// Notes the record as it was read, and so that no write in flight happened.
    pub(super) fn apply_read_result(&mut self, revision: RecordRevision, value: Option<&[u8]>) {
        let record = match value {
            None => Some(ClaimRecord::default()),
            Some(bytes) => ClaimRecord::decode(bytes),
        };
        if self.unresolved_write.is_some_and(|doubt| doubt != revision) {
            self.unresolved_write = None;
        }
        match record {
            Some(record) => {
                self.clear_in_flight();
                self.known = Some((revision, record));
                self.is_fresh = true;
                self.failures = 0;
            }
            None => self.apply_failure(None),
        }
    }

    /// Notes that nothing is known of the operation in flight.
    pub(super) fn apply_failure(&mut self, write: Option<RecordWrite>) {
        self.clear_in_flight();
        self.known = None;
        self.is_fresh = false;
        self.failures += 1;
        if let Some(write) = write {
            self.unresolved_write = Some(write.expected);
        }
    }

    fn clear_in_flight(&mut self) {
        for pending in &mut self.waiting {
            pending.is_in_flight = false;
        }
    }
}

impl PendingCommand {
    fn deadline(&self) -> Option<TimePoint> {
        match self.command {
            RecordCommand::Claim(order) => Some(order.deadline),
            RecordCommand::Finish(..) | RecordCommand::Release(..) => None,
        }
    }

    fn claims_for(&self, claimant: ClaimantId) -> bool {
        matches!(self.command, RecordCommand::Claim(order) if order.claimant == claimant)
    }

    fn apply(
        &self,
        record: &mut ClaimRecord,
        limit: ByteSize,
    ) -> Option<(ClaimantId, ClaimAnswer)> {
        match self.command {
            RecordCommand::Claim(order) => {
                let answer = record.claim(
                    self.bucket,
                    &order.key,
                    order.request,
                    order.claimant,
                    limit,
                );
                Some((order.claimant, answer))
            }
            RecordCommand::Finish(key, claimant, status) => {
                record.finish(self.bucket, &key, claimant, status);
                None
            }
            RecordCommand::Release(key, claimant) => {
                record.release(self.bucket, &key, claimant);
                None
            }
        }
    }
}
