//! Group commit of claims to the key-value service.

use std::collections::BTreeMap;

use celerycrank_types::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    answer::{CallStatus, ClaimAnswer},
    key::CallKey,
    operation::{ClaimOperation, ClaimReply, OperationId},
    record::{ClaimLayout, ClaimantId, RecordName},
    record_state::{
        ClaimOrder, InFlightOperation, PendingCommand, RecordCommand, RecordState, RecordStep,
        RecordWrite,
    },
};

/// Limits the exponent of the backoff to avoid overflow; it reaches its limit well before.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Settings of a claim ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct ClaimSettings {
    /// How claims are distributed over records; must be equal in all processes.
    #[builder(default = ClaimLayout::builder().build())]
    pub layout: ClaimLayout,
    /// Maximum time that a claim waits for others to share its write.
    #[builder(default = TimeSpan::from_millis(50))]
    pub window: TimeSpan,
    /// Maximum time that a status or a release waits for others to share its write.
    #[builder(default = TimeSpan::from_millis(500))]
    pub completion_window: TimeSpan,
    /// Time without a reply after which an operation counts as failed.
    #[builder(default = TimeSpan::from_millis(300))]
    pub timeout: TimeSpan,
    /// Maximum backoff after a failed operation.
    #[builder(default = TimeSpan::from_secs(2))]
    pub backoff_limit: TimeSpan,
    /// Maximum number of waiting commands.
    #[builder(default = 16_384)]
    pub capacity: usize,
}

/// An output of a claim ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutput {
    /// Carry out this operation and pass its reply to [`ClaimLedger::handle`].
    Operation(ClaimOperation),
    /// Tell the claimant the result of its claim; emitted once per order.
    Answer(ClaimantId, ClaimAnswer),
}

/// Group commit of claims to the key-value service.
///
/// The record in the service is authoritative: a claim succeeds only if the record is known to
/// contain it. After a write without an answer, the ledger reads the record back and, if its
/// revision has not changed, writes again against the same revision, so that at most one of the
/// two writes takes effect.
#[derive(Debug)]
pub struct ClaimLedger {
    settings: ClaimSettings,
    random: SmallRng,
    records: BTreeMap<RecordName, RecordState>,
    last_operation: OperationId,
    /// Invariant: equals the number of commands that wait in all records.
    waiting: usize,
}

impl ClaimLedger {
    /// Creates a ledger that has read no record yet; `seed` seeds its backoff jitter.
    #[must_use]
    pub fn new(settings: ClaimSettings, seed: u64) -> Self {
        Self {
            settings,
            random: SmallRng::seed_from_u64(seed),
            records: BTreeMap::new(),
            last_operation: OperationId::default(),
            waiting: 0,
        }
    }

    /// Submits a claim.
    pub fn claim(&mut self, order: ClaimOrder, now: TimePoint) -> Vec<ClaimOutput> {
        if self.waiting >= self.settings.capacity {
            return vec![ClaimOutput::Answer(
                order.claimant,
                ClaimAnswer::Unavailable,
            )];
        }
        self.submit(
            &order.key,
            RecordCommand::Claim(order),
            self.settings.window,
            now,
        )
    }

    /// Records the status of a claimed call.
    ///
    /// Dropped without effect while the ledger is full: the claim then stays open, and a later call
    /// with its key is answered as claimed elsewhere instead of running again.
    pub fn record_status(
        &mut self,
        key: CallKey,
        claimant: ClaimantId,
        status: CallStatus,
        now: TimePoint,
    ) -> Vec<ClaimOutput> {
        let command = RecordCommand::Finish(key, claimant, status);
        self.submit(&key, command, self.settings.completion_window, now)
    }

    /// Releases a claim whose call was not started and never will be.
    ///
    /// Dropped without effect while the ledger is full, as in [`Self::record_status`].
    pub fn release(
        &mut self,
        key: CallKey,
        claimant: ClaimantId,
        now: TimePoint,
    ) -> Vec<ClaimOutput> {
        let command = RecordCommand::Release(key, claimant);
        self.submit(&key, command, self.settings.completion_window, now)
    }

    /// Handles the reply to an operation; drops a reply that arrives after the timeout.
    pub fn handle(
        &mut self,
        operation: OperationId,
        reply: ClaimReply,
        now: TimePoint,
    ) -> Vec<ClaimOutput> {
        let is_awaited = |state: &RecordState| {
            state
                .in_flight
                .as_ref()
                .is_some_and(|flight| flight.operation == operation)
        };
        let Some(name) = self
            .records
            .iter()
            .find_map(|(name, state)| is_awaited(state).then_some(*name))
        else {
            return Vec::new();
        };
        let mut outputs = self.handle_reply(name, reply, now);
        outputs.extend(self.advance(name, now));
        outputs
    }

    /// Sends the operations that are due and handles timeouts.
    pub fn tick(&mut self, now: TimePoint) -> Vec<ClaimOutput> {
        let names = self.records.keys().copied().collect::<Vec<_>>();
        let mut outputs = Vec::new();
        for name in names {
            if self.is_overdue(name, now) {
                outputs.extend(self.handle_reply(name, ClaimReply::Failed, now));
            }
            outputs.extend(self.advance(name, now));
        }
        self.drop_idle(now);
        outputs
    }

    /// Returns when [`ClaimLedger::tick`] is due, if at all.
    #[must_use]
    pub fn wake_at(&self) -> Option<TimePoint> {
        let timeout = self.settings.timeout;
        self.records
            .values()
            .filter_map(|state| state.wake_at(timeout))
            .min()
    }

    /// Returns the number of waiting commands.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    fn submit(
        &mut self,
        key: &CallKey,
        command: RecordCommand,
        window: TimeSpan,
        now: TimePoint,
    ) -> Vec<ClaimOutput> {
        if self.waiting >= self.settings.capacity {
            return Vec::new();
        }
        let (name, bucket) = self.settings.layout.place(key);
        let state = self.records.entry(name).or_default();
        state.is_fresh &= !matches!(command, RecordCommand::Claim(_));
        state.waiting.push(PendingCommand {
            command,
            bucket,
            commit_at: now + window,
            was_sent: false,
            is_in_flight: false,
        });
        self.waiting += 1;
        self.advance(name, now)
    }

    fn is_overdue(&self, name: RecordName, now: TimePoint) -> bool {
        self.records
            .get(&name)
            .and_then(|state| state.in_flight.as_ref())
            .is_some_and(|flight| flight.sent + self.settings.timeout <= now)
    }

    /// Applies the result of a record's operation in flight.
    fn handle_reply(
        &mut self,
        name: RecordName,
        reply: ClaimReply,
        now: TimePoint,
    ) -> Vec<ClaimOutput> {
        let Some(state) = self.records.get_mut(&name) else {
            return Vec::new();
        };
        let Some(flight) = state.in_flight.take() else {
            return Vec::new();
        };
        let before = state.waiting.len();
        let answers = match (reply, flight.write) {
            (ClaimReply::Swapped(revision), Some(write)) => {
                state.apply_write_result(revision, write)
            }
            (ClaimReply::Value { revision, value }, write) => {
                state.apply_read_result(revision, value.as_deref());
                if write.is_some() {
                    let wait = self.random.random_range(0..=self.settings.window.0);
                    state.backoff_until = now + TimeSpan(wait);
                }
                Vec::new()
            }
            (ClaimReply::Failed | ClaimReply::Swapped(_), write) => {
                state.apply_failure(write);
                Vec::new()
            }
        };
        if state.failures > 0 {
            let doublings = state.failures.min(MAX_BACKOFF_DOUBLINGS);
            let bound = (self.settings.window.0 << doublings).min(self.settings.backoff_limit.0);
            let wait = self.random.random_range(bound / 2..=bound);
            state.backoff_until = now + TimeSpan(wait);
        }
        self.waiting -= before - state.waiting.len();
        answers.into_iter().map(into_output).collect()
    }

    /// Expires claims past their deadline and sends the record's next operation if it is due.
    fn advance(&mut self, name: RecordName, now: TimePoint) -> Vec<ClaimOutput> {
        let Some(state) = self.records.get_mut(&name) else {
            return Vec::new();
        };
        let before = state.waiting.len();
        let mut answers = state.expire_claims(now);
        let mut next = None;
        if state.is_due(now) {
            state.last_used = now;
            match state.decide(self.settings.layout.record_limit) {
                RecordStep::Answer(decided) => {
                    state.waiting.clear();
                    answers.extend(decided);
                }
                RecordStep::Read => next = Some(None),
                RecordStep::Write(write) => {
                    state.mark_in_flight();
                    next = Some(Some(write));
                }
            }
        }
        self.waiting -= before - state.waiting.len();
        let mut outputs = answers.into_iter().map(into_output).collect::<Vec<_>>();
        if let Some(write) = next {
            outputs.extend(self.send(name, write, now));
        }
        outputs
    }

    fn send(
        &mut self,
        name: RecordName,
        write: Option<RecordWrite>,
        now: TimePoint,
    ) -> Option<ClaimOutput> {
        self.last_operation = OperationId(self.last_operation.0 + 1);
        let operation = self.last_operation;
        let value = match &write {
            None => ClaimOperation::Get {
                operation,
                record: name,
            },
            Some(write) => ClaimOperation::Swap {
                operation,
                record: name,
                expected: write.expected,
                value: write.record.encode(),
            },
        };
        self.records.get_mut(&name)?.in_flight = Some(InFlightOperation {
            operation,
            sent: now,
            write,
        });
        Some(ClaimOutput::Operation(value))
    }

    /// Drops the cached state of records that are no longer in use.
    fn drop_idle(&mut self, now: TimePoint) {
        let keep = self.settings.layout.bucket + self.settings.layout.bucket;
        self.records
            .retain(|_, state| !state.is_idle() || state.last_used + keep > now);
    }
}

fn into_output((claimant, answer): (ClaimantId, ClaimAnswer)) -> ClaimOutput {
    ClaimOutput::Answer(claimant, answer)
}
