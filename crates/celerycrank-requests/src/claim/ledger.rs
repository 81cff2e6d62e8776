//! Group commit of claims to the key-value service.

use std::collections::BTreeMap;

use celerycrank_types::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    answer::{CallStatus, ClaimAnswer},
    key::CallKey,
    operation::{ClaimOperation, ClaimReply, OperationId},
    page::{ClaimOrder, ClaimPage, PageCommand, PageFlight, PageStep, PageWrite, PendingCommand},
    record::{ClaimLayout, ClaimantId, RecordName},
};

/// Doublings of the hold after which it has long reached its limit.
const MOST_DOUBLINGS: u32 = 16;

/// Settings of a claim ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, bon::Builder)]
pub struct ClaimSettings {
    /// How claims are spread over records, the same in every process.
    #[builder(default = ClaimLayout::builder().build())]
    pub layout: ClaimLayout,
    /// Longest wait of a claim for others that join its write.
    #[builder(default = TimeSpan::from_millis(50))]
    pub window: TimeSpan,
    /// Longest wait of a status or a release for others that join its write.
    #[builder(default = TimeSpan::from_millis(500))]
    pub late_window: TimeSpan,
    /// Time after which an operation counts as failed.
    #[builder(default = TimeSpan::from_millis(300))]
    pub timeout: TimeSpan,
    /// Longest wait after a failed operation.
    #[builder(default = TimeSpan::from_secs(2))]
    pub hold_limit: TimeSpan,
    /// Most commands that wait.
    #[builder(default = 16_384)]
    pub capacity: usize,
}

/// What a claim ledger has to say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutput {
    /// Carry out this operation and hand its reply to [`ClaimLedger::handle`].
    Operation(ClaimOperation),
    /// Tell the claimant what became of its claim; said once for each order.
    Answer(ClaimantId, ClaimAnswer),
}

/// Group commit of claims to the key-value service.
///
/// The record is the authority: an attempt has won only if the record is known to hold
/// its claim. A write that got no answer is settled by reading the record back and, if
/// its revision has not moved, by writing again against the same revision, so that at
/// most one of the two takes effect.
#[derive(Debug)]
pub struct ClaimLedger {
    settings: ClaimSettings,
    random: SmallRng,
    pages: BTreeMap<RecordName, ClaimPage>,
    latest: OperationId,
    /// Invariant: the number of commands that wait in all pages.
    waiting: usize,
}

impl ClaimLedger {
    /// A ledger that has read nothing yet; `seed` spreads its writes in time.
    #[must_use]
    pub fn new(settings: ClaimSettings, seed: u64) -> Self {
        Self {
            settings,
            random: SmallRng::seed_from_u64(seed),
            pages: BTreeMap::new(),
            latest: OperationId::default(),
            waiting: 0,
        }
    }

    /// Asks for a claim.
    pub fn claim(&mut self, order: ClaimOrder, now: TimePoint) -> Vec<ClaimOutput> {
        if self.waiting >= self.settings.capacity {
            return vec![ClaimOutput::Answer(
                order.claimant,
                ClaimAnswer::Unavailable,
            )];
        }
        self.submit(
            &order.key,
            PageCommand::Claim(order),
            self.settings.window,
            now,
        )
    }

    /// Records how a claimed call was answered.
    pub fn finish(
        &mut self,
        key: CallKey,
        claimant: ClaimantId,
        status: CallStatus,
        now: TimePoint,
    ) -> Vec<ClaimOutput> {
        let command = PageCommand::Finish(key, claimant, status);
        self.submit(&key, command, self.settings.late_window, now)
    }

    /// Gives a claim back whose call was not started and never will be.
    pub fn release(
        &mut self,
        key: CallKey,
        claimant: ClaimantId,
        now: TimePoint,
    ) -> Vec<ClaimOutput> {
        let command = PageCommand::Release(key, claimant);
        self.submit(&key, command, self.settings.late_window, now)
    }

    /// Takes in the reply to an operation; a reply that comes too late is dropped.
    pub fn handle(
        &mut self,
        operation: OperationId,
        reply: ClaimReply,
        now: TimePoint,
    ) -> Vec<ClaimOutput> {
        let is_awaited = |page: &ClaimPage| {
            page.flight
                .as_ref()
                .is_some_and(|flight| flight.operation == operation)
        };
        let Some(name) = self
            .pages
            .iter()
            .find_map(|(name, page)| is_awaited(page).then_some(*name))
        else {
            return Vec::new();
        };
        let mut outputs = self.settle(name, reply, now);
        outputs.extend(self.advance(name, now));
        outputs
    }

    /// Sends what is due and gives up on what is overdue.
    pub fn tick(&mut self, now: TimePoint) -> Vec<ClaimOutput> {
        let names = self.pages.keys().copied().collect::<Vec<_>>();
        let mut outputs = Vec::new();
        for name in names {
            if self.is_overdue(name, now) {
                outputs.extend(self.settle(name, ClaimReply::Failed, now));
            }
            outputs.extend(self.advance(name, now));
        }
        self.drop_idle(now);
        outputs
    }

    /// When [`ClaimLedger::tick`] is due, if ever.
    #[must_use]
    pub fn wake_at(&self) -> Option<TimePoint> {
        let timeout = self.settings.timeout;
        self.pages
            .values()
            .filter_map(|page| page.wake_at(timeout))
            .min()
    }

    /// How many commands wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    fn submit(
        &mut self,
        key: &CallKey,
        command: PageCommand,
        window: TimeSpan,
        now: TimePoint,
    ) -> Vec<ClaimOutput> {
        if self.waiting >= self.settings.capacity {
            return Vec::new();
        }
        let (name, bucket) = self.settings.layout.place(key);
        let page = self.pages.entry(name).or_default();
        page.is_fresh &= !matches!(command, PageCommand::Claim(_));
        page.waiting.push(PendingCommand {
            command,
            bucket,
            commit_at: now + window,
            was_sent: false,
            is_held: false,
        });
        self.waiting += 1;
        self.advance(name, now)
    }

    fn is_overdue(&self, name: RecordName, now: TimePoint) -> bool {
        self.pages
            .get(&name)
            .and_then(|page| page.flight.as_ref())
            .is_some_and(|flight| flight.sent + self.settings.timeout <= now)
    }

    /// Takes in what became of a page's operation.
    fn settle(&mut self, name: RecordName, reply: ClaimReply, now: TimePoint) -> Vec<ClaimOutput> {
        let Some(page) = self.pages.get_mut(&name) else {
            return Vec::new();
        };
        let Some(flight) = page.flight.take() else {
            return Vec::new();
        };
        let before = page.waiting.len();
        let answers = match (reply, flight.write) {
            (ClaimReply::Swapped(revision), Some(write)) => page.note_written(revision, write),
            (ClaimReply::Value { revision, value }, write) => {
                page.note_read(revision, value.as_deref());
                if write.is_some() {
                    let wait = self.random.random_range(0..=self.settings.window.0);
                    page.hold_until = now + TimeSpan(wait);
                }
                Vec::new()
            }
            (ClaimReply::Failed | ClaimReply::Swapped(_), write) => {
                page.note_failed(write);
                Vec::new()
            }
        };
        if page.failures > 0 {
            let doublings = page.failures.min(MOST_DOUBLINGS);
            let bound = (self.settings.window.0 << doublings).min(self.settings.hold_limit.0);
            let wait = self.random.random_range(bound / 2..=bound);
            page.hold_until = now + TimeSpan(wait);
        }
        self.waiting -= before - page.waiting.len();
        answers.into_iter().map(into_output).collect()
    }

    /// Gives up on what is overdue, and sends what is due.
    fn advance(&mut self, name: RecordName, now: TimePoint) -> Vec<ClaimOutput> {
        let Some(page) = self.pages.get_mut(&name) else {
            return Vec::new();
        };
        let before = page.waiting.len();
        let mut answers = page.give_up(now);
        let mut next = None;
        if page.is_due(now) {
            page.last_used = now;
            match page.decide(self.settings.layout.record_limit) {
                PageStep::Answer(settled) => {
                    page.waiting.clear();
                    answers.extend(settled);
                }
                PageStep::Read => next = Some(None),
                PageStep::Write(write) => {
                    page.mark_held();
                    next = Some(Some(write));
                }
            }
        }
        self.waiting -= before - page.waiting.len();
        let mut outputs = answers.into_iter().map(into_output).collect::<Vec<_>>();
        if let Some(write) = next {
            outputs.extend(self.send(name, write, now));
        }
        outputs
    }

    fn send(
        &mut self,
        name: RecordName,
        write: Option<PageWrite>,
        now: TimePoint,
    ) -> Option<ClaimOutput> {
        self.latest = OperationId(self.latest.0 + 1);
        let operation = self.latest;
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
        self.pages.get_mut(&name)?.flight = Some(PageFlight {
            operation,
            sent: now,
            write,
        });
        Some(ClaimOutput::Operation(value))
    }

    /// Forgets what was read of records that are not in use any more.
    fn drop_idle(&mut self, now: TimePoint) {
        let keep = self.settings.layout.bucket + self.settings.layout.bucket;
        self.pages
            .retain(|_, page| !page.is_idle() || page.last_used + keep > now);
    }
}

fn into_output((claimant, answer): (ClaimantId, ClaimAnswer)) -> ClaimOutput {
    ClaimOutput::Answer(claimant, answer)
}
