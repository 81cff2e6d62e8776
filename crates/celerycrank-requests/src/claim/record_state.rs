//! A claim ledger's view of one record: cached value, waiting commands and operation in flight.

use celerycrank_types::{ByteSize, TimePoint, TimeSpan};

use super::{
    answer::{CallStatus, ClaimAnswer},
    key::{CallKey, RequestDigest},
    operation::{OperationId, RecordRevision},
    record::{BucketNumber, ClaimRecord, ClaimantId},
};

/// An attempt's order for a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct ClaimOrder {
    /// The caller's key.
    pub key: CallKey,
    /// Digest of the keyed request.
    pub request: RequestDigest,
    /// The attempt that starts the call if the claim succeeds.
    pub claimant: ClaimantId,
    /// When the attempt stops waiting for the claim.
    pub deadline: TimePoint,
}

/// A change to a record.
#[derive(Debug, Clone, Copy)]
pub(super) enum RecordCommand {
    Claim(ClaimOrder),
    Finish(CallKey, ClaimantId, CallStatus),
    Release(CallKey, ClaimantId),
}

/// A command that waits to be committed.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingCommand {
    pub(super) command: RecordCommand,
    pub(super) bucket: BucketNumber,
    /// When the command is committed, together with all others that wait.
    pub(super) commit_at: TimePoint,
    /// Whether a write that contains the command was ever sent.
    pub(super) was_sent: bool,
    /// Whether the write in flight contains the command.
    pub(super) is_in_flight: bool,
}

/// An operation that was sent and has not been answered.
#[derive(Debug, Clone)]
pub(super) struct InFlightOperation {
    pub(super) operation: OperationId,
    pub(super) sent: TimePoint,
    /// The write, or `None` for a read.
    pub(super) write: Option<RecordWrite>,
}

/// A write of a record.
#[derive(Debug, Clone)]
pub(super) struct RecordWrite {
    pub(super) expected: RecordRevision,
    pub(super) record: ClaimRecord,
    /// Answers to the claims in the write, valid once it is known to have taken effect.
    pub(super) answers: Vec<(ClaimantId, ClaimAnswer)>,
}

/// A claim ledger's view of one record.
#[derive(Debug, Default)]
pub(super) struct RecordState {
    /// The cached record and its revision, from the last read or write.
    pub(super) known: Option<(RecordRevision, ClaimRecord)>,
    /// Whether the record has been read since the last claim was submitted.
    pub(super) is_fresh: bool,
    pub(super) waiting: Vec<PendingCommand>,
    pub(super) in_flight: Option<InFlightOperation>,
    /// Expected revision of a write that got no answer and may still take effect.
    pub(super) unresolved_write: Option<RecordRevision>,
    /// No operation is sent before this time.
    pub(super) backoff_until: TimePoint,
    pub(super) failures: u32,
    pub(super) last_used: TimePoint,
}

/// The next step for a record.
#[derive(Debug)]
pub(super) enum RecordStep {
    Read,
    Write(RecordWrite),
    /// The record needs no change, and these answers are final.
    Answer(Vec<(ClaimantId, ClaimAnswer)>),
}

impl RecordState {
    /// Returns when the next operation, timeout or claim deadline is due.
    pub(super) fn wake_at(&self, timeout: TimeSpan) -> Option<TimePoint> {
        let claim_deadline = self
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
        claim_deadline.into_iter().chain(next).min()
    }

    /// Returns whether the waiting commands are due for a commit.
    pub(super) fn is_due(&self, now: TimePoint) -> bool {
        self.in_flight.is_none()
            && self.backoff_until <= now
            && self.waiting.iter().any(|pending| pending.commit_at <= now)
    }

    /// Returns whether no command waits and no operation is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// Answers claims that are past their deadline.
    ///
    /// A claim that may have been written is replaced by its release.
    pub(super) fn expire_claims(&mut self, now: TimePoint) -> Vec<(ClaimantId, ClaimAnswer)> {
        let is_expired = |pending: &PendingCommand| pending.deadline().is_some_and(|at| at <= now);
        let mut answers = Vec::new();
        for pending in self
            .waiting
            .iter_mut()
            .filter(|pending| is_expired(pending))
        {
            if let RecordCommand::Claim(order) = pending.command {
                answers.push((order.claimant, ClaimAnswer::Unavailable));
                if pending.was_sent {
                    pending.command = RecordCommand::Release(order.key, order.claimant);
                    pending.is_in_flight = false;
                }
            }
        }
        self.waiting.retain(|pending| !is_expired(pending));
        answers
    }

    /// Decides the next step for the waiting commands.
    pub(super) fn decide(&self, limit: ByteSize) -> RecordStep {
        let Some((revision, known)) = &self.known else {
            return RecordStep::Read;
        };
        let mut record = known.clone();
        let mut answers = Vec::new();
        for pending in &self.waiting {
            answers.extend(pending.apply(&mut record, limit));
        }
        // A read may precede the effect of an unresolved write, so only another write against
        // the same revision resolves it.
        let needs_no_write = record == *known && self.unresolved_write != Some(*revision);
        if needs_no_write {
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

    /// Marks every waiting command as contained in the write being sent.
    pub(super) fn mark_in_flight(&mut self) {
        for pending in &mut self.waiting {
            pending.was_sent = true;
            pending.is_in_flight = true;
        }
    }

    /// Applies a successful write; returns answers for the claims that still wait.
    pub(super) fn apply_write_result(
        &mut self,
        revision: RecordRevision,
        write: RecordWrite,
    ) -> Vec<(ClaimantId, ClaimAnswer)> {
        self.known = Some((revision, write.record));
        self.unresolved_write = None;
        self.failures = 0;
        let is_waiting = |claimant: ClaimantId| {
            self.waiting
                .iter()
                .any(|pending| pending.is_in_flight && pending.claims_for(claimant))
        };
        let mut answers = write.answers;
        answers.retain(|(claimant, _)| is_waiting(*claimant));
        self.waiting.retain(|pending| !pending.is_in_flight);
        answers
    }

    /// Caches the record that was read; a write that was in flight has not taken effect.
    pub(super) fn apply_read_result(&mut self, revision: RecordRevision, value: Option<&[u8]>) {
        let record = match value {
            None => Some(ClaimRecord::default()),
            Some(bytes) => ClaimRecord::decode(bytes),
        };
        if self
            .unresolved_write
            .is_some_and(|expected| expected != revision)
        {
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

    /// Handles an operation of unknown result.
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
                record.record_status(self.bucket, &key, claimant, status);
                None
            }
            RecordCommand::Release(key, claimant) => {
                record.release(self.bucket, &key, claimant);
                None
            }
        }
    }
}
