//! Refuses requests with a prompt part that crashes backend servers.
//!
//! The load pattern: a small share of the requests, from any caller and at any entry, has one
//! part of the prompt in common, and each backend server that begins to answer one of them
//! crashes. Sound requests of the same callers share the other parts, and sound requests that
//! wait at the same backend server lose it with the others.
//!
//! A part is quarantined after a few crashes at which a prompt with it was present, if no prompt with
//! it has been answered since. A prompt is present as long as its answer is not whole: the crash of a
//! backend server that has sent a part of the answer counts like any other, and the beginning of an
//! answer speaks for a part only at crashes before any beginning. Crashes that a quarantined part
//! explains count only against parts that were present at more of them, since a part that was refused
//! by mistake must not take the evidence from the one that crashes backend servers. Entries record both crashes and the answers that follow
//! them, so that a process that starts does not take answered crashes for evidence.

use std::num::NonZeroUsize;

use celerycrank_types::{ModRevision, PromptPartId, ServiceId, TimePoint, TimeSpan};
use lru::LruCache;
use rand::Rng;

use crate::{
    CrashReport, PartClearance, RefusedPart,
    clearance::MAX_CLEARANCES,
    evidence::{CrashEvidence, MAX_KNOWN_PARTS, PartKey},
};

/// The shortest time for which a part is refused before one request with it is tried again.
///
/// A trial may cost all ranks of a lock-step group several seconds.
const INITIAL_QUARANTINE: TimeSpan = TimeSpan::from_secs(120);

/// The longest time between two trials, without the random part.
const MAX_QUARANTINE: TimeSpan = TimeSpan::from_secs(3_600);

/// The largest factor by which a quarantine is prolonged at random, so that entries do not all try
/// a part at the same time.
const MAX_JITTER: f64 = 1.5;

/// Time in which a trial shows a result, before another one is made.
const TRIAL_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);

/// Time after the beginning of a quarantine in which requests that were sent before may still crash
/// backend servers. A later crash is that of a trial.
const SETTLING_SPAN: TimeSpan = TimeSpan::from_secs(30);

/// Maximum number of parts that are refused.
const MAX_QUARANTINED_PARTS: NonZeroUsize = NonZeroUsize::new(256).expect("not zero");

/// The parts of a prompt that other prompts may share, at one service.
#[derive(Debug, Clone, Copy)]
pub struct PromptQuery<'query> {
    /// The requested service.
    pub service: &'query ServiceId,
    /// The shared parts, in order.
    pub parts: &'query [PromptPartId],
}

impl PromptQuery<'_> {
    fn keys(&self) -> impl Iterator<Item = PartKey> {
        let keys = self.parts.iter();
        keys.map(|part| PartKey::new(self.service, *part))
    }
}

/// The quarantine of one part.
#[derive(Debug, Clone, Copy)]
struct QuarantinedPart {
    /// Number of trials that have ended with a crash.
    failed_trials: u32,
    /// When the quarantine began, or was last prolonged after a crash.
    since: TimePoint,
    /// When the next request with the part may be sent.
    until: TimePoint,
}

impl QuarantinedPart {
    /// Begins the quarantine again; it doubles with each failed trial.
    fn renew<R: Rng>(&mut self, now: TimePoint, random: &mut R) {
        let doubled = INITIAL_QUARANTINE
            .0
            .saturating_mul(1_u64.checked_shl(self.failed_trials).unwrap_or(u64::MAX));
        let span = TimeSpan(doubled.min(MAX_QUARANTINE.0));
        let jitter = random.random_range(1.0..MAX_JITTER);
        self.since = now;
        self.until = now + TimeSpan::from_secs_f64(span.as_secs_f64() * jitter);
    }
}

/// A part that is refused, for the operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineStatus {
    /// The service at which it is refused.
    pub service: ServiceId,
    /// The part.
    pub part: PromptPartId,
    /// Number of trials that have ended with a crash.
    pub failed_trials: u32,
    /// Time until a request with it may be sent.
    pub remaining: TimeSpan,
}

/// What a crash report changes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Parts that are refused from now on.
    pub added: Vec<RefusedPart>,
    /// Parts that are no longer refused, since one of those added explains all their crashes.
    pub superseded: Vec<PromptPartId>,
    /// Parts that are no longer refused, since too many are.
    pub evicted: Vec<PromptPartId>,
}

/// The prompt parts that one entry refuses, and the evidence on which this is based.
#[derive(Debug)]
pub struct PartQuarantine {
    evidence: CrashEvidence,
    quarantined: LruCache<PartKey, QuarantinedPart>,
    /// Clearances that this entry has to record.
    pending: LruCache<PartKey, ModRevision>,
}

impl Default for PartQuarantine {
    fn default() -> Self {
        Self {
            evidence: CrashEvidence::default(),
            quarantined: LruCache::new(MAX_QUARANTINED_PARTS),
            pending: LruCache::new(MAX_KNOWN_PARTS),
        }
    }
}

impl PartQuarantine {
    /// Whether a request with this prompt may be sent to a backend server.
    ///
    /// A request that is allowed after a quarantine is its trial: until it has shown a result, the
    /// part stays refused for others.
    ///
    /// # Errors
    ///
    /// Returns the time until the next trial.
    pub fn admit(&mut self, query: &PromptQuery<'_>, now: TimePoint) -> Result<(), TimeSpan> {
        if self.quarantined.is_empty() {
            return Ok(());
        }
        if let Some(remaining) = self.time_refused(query, now) {
            return Err(remaining);
        }
        for key in query.keys() {
            if let Some(part) = self.quarantined.get_mut(&key) {
                part.until = now + TRIAL_TIMEOUT;
            }
        }
        Ok(())
    }

    /// The time until the next trial of this prompt, unless it may be sent now.
    #[must_use]
    pub fn time_refused(&self, query: &PromptQuery<'_>, now: TimePoint) -> Option<TimeSpan> {
        let refused = query.keys().filter_map(|key| self.quarantined.peek(&key));
        let latest = refused.map(|part| part.until).max();
        let until = latest.filter(|until| *until > now)?;
        Some(until.since(now))
    }

    /// Records that an answer to this prompt has begun.
    pub fn note_begun(&mut self, query: &PromptQuery<'_>, now: TimePoint) {
        for key in query.keys() {
            self.evidence.note_begun(key, now);
        }
    }

    /// Records that this prompt was just answered as a whole, which ends the quarantine of its parts;
    /// returns whether one of them was quarantined.
    ///
    /// The crashes that it explained count again, until the backend server has outlived the answer and
    /// [`Self::note_outlived`] is called.
    pub fn note_whole(&mut self, query: &PromptQuery<'_>) -> bool {
        let mut is_released = false;
        for key in query.keys() {
            is_released |= self.release_part(&key);
            self.evidence.note_fresh(key);
        }
        is_released
    }

    /// Records that a backend server has outlived its whole answer of `at` to this prompt, which clears
    /// the parts.
    pub fn note_outlived(&mut self, query: &PromptQuery<'_>, at: TimePoint) {
        for key in query.keys() {
            if let Some(up_to) = self.evidence.note_outlived(&key, at) {
                self.pending.put(key, up_to);
            }
        }
    }

    /// Whether backend servers have outlived whole answers to prompts with each part of this one.
    #[must_use]
    pub fn is_outlived(&self, query: &PromptQuery<'_>) -> bool {
        query.keys().all(|key| self.evidence.is_outlived(&key))
    }

    /// Whether clearances have to be recorded for other entries.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes clearances that have to be recorded, as many as a record may hold.
    pub fn take_pending(&mut self) -> Vec<PartClearance> {
        let pending = std::iter::from_fn(|| self.pending.pop_lru());
        let clearances = pending.map(|(PartKey { service, part }, up_to)| PartClearance {
            service,
            part,
            up_to,
        });
        clearances.take(MAX_CLEARANCES).collect()
    }

    /// Returns clearances that could not be recorded.
    pub fn restore_pending(&mut self, clearances: Vec<PartClearance>) {
        for clearance in clearances {
            let key = PartKey::new(&clearance.service, clearance.part);
            let up_to = self.pending.get_or_insert_mut(key, ModRevision::default);
            *up_to = clearance.up_to.max(*up_to);
        }
    }

    /// Records a clearance of this or another entry; returns whether the part was quarantined.
    ///
    /// A later crash keeps the part quarantined.
    pub fn note_clearance(&mut self, clearance: &PartClearance) -> bool {
        let key = PartKey::new(&clearance.service, clearance.part);
        self.evidence.note_cleared(&key, clearance.up_to);
        let pending = self.pending.peek(&key);
        if pending.is_some_and(|up_to| *up_to <= clearance.up_to) {
            self.pending.pop(&key);
        }
        self.evidence.is_cleared(&key) && self.release_part(&key)
    }

    /// Adds to a report of this entry the parts to which it knows whole answers.
    pub fn describe_parts(&self, report: &mut CrashReport) {
        let service = report.crashed.service.clone();
        report.set_answered(|part| self.evidence.is_known(&PartKey::new(&service, part)));
    }

    /// Records a crash, as this or another entry saw it.
    ///
    /// `recorded` is the revision of the report's record, if it was read from one.
    pub fn note_crash<R: Rng>(
        &mut self,
        report: CrashReport,
        recorded: Option<ModRevision>,
        now: TimePoint,
        random: &mut R,
    ) -> QuarantineChange {
        let mut change = QuarantineChange::default();
        let service = report.crashed.service.clone();
        self.evidence.drop_old_crashes(now);
        let Some(index) = self.evidence.merge(report, recorded, now) else {
            return change;
        };
        self.explain(index, now, random);
        while let Some(refused) = self.most_suspect(index) {
            let key = PartKey::new(&service, refused.part);
            change.superseded.extend(self.release_covered(&key));
            let evicted = self.quarantine(key, now, random);
            change.added.push(refused);
            change.evicted.extend(evicted);
        }
        change
    }

    /// The parts that are refused now.
    #[must_use]
    pub fn status(&self, now: TimePoint) -> Vec<QuarantineStatus> {
        let parts = self.quarantined.iter();
        let parts = parts.map(|(key, part)| QuarantineStatus {
            service: key.service.clone(),
            part: key.part,
            failed_trials: part.failed_trials,
            remaining: part.until.since(now),
        });
        parts.collect()
    }

    /// Number of quarantined parts, including those that may be tried again.
    #[must_use]
    pub fn len(&self) -> usize {
        self.quarantined.len()
    }

    /// Whether no part is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Ends the quarantine of a part; returns whether there was one.
    fn release_part(&mut self, key: &PartKey) -> bool {
        let is_released = self.quarantined.pop(key).is_some();
        if is_released {
            let quarantined = &self.quarantined;
            let explains = |other: &PartKey| quarantined.contains(other);
            self.evidence.withdraw_explanation(key, explains);
        }
        is_released
    }

    /// Checks whether quarantined parts explain a crash; if so, renews their quarantine.
    fn explain<R: Rng>(&mut self, index: usize, now: TimePoint, random: &mut R) {
        for key in self.evidence.unexplained_parts(index) {
            let Some(quarantined) = self.quarantined.get_mut(&key) else {
                continue;
            };
            self.evidence.explain(index, key.part);
            if now.since(quarantined.since) > SETTLING_SPAN {
                quarantined.failed_trials = quarantined.failed_trials.saturating_add(1);
            }
            quarantined.renew(now, random);
        }
    }

    fn most_suspect(&self, index: usize) -> Option<RefusedPart> {
        let is_quarantined = |key: &PartKey| self.quarantined.contains(key);
        self.evidence.most_suspect(index, is_quarantined)
    }

    /// Ends the quarantines of parts that were refused by mistake: those that were present only
    /// together with a part that was present at more crashes.
    fn release_covered(&mut self, suspect: &PartKey) -> Vec<PromptPartId> {
        let quarantined = self.quarantined.iter().map(|(key, _)| key);
        let covered = quarantined
            .filter(|key| key.service == suspect.service && self.evidence.is_covered(key, suspect));
        let covered = covered.cloned().collect::<Vec<_>>();
        for key in &covered {
            self.release_part(key);
        }
        covered.into_iter().map(|key| key.part).collect()
    }

    fn quarantine<R: Rng>(
        &mut self,
        key: PartKey,
        now: TimePoint,
        random: &mut R,
    ) -> Option<PromptPartId> {
        let mut quarantined = QuarantinedPart {
            failed_trials: 0,
            since: now,
            until: now,
        };
        quarantined.renew(now, random);
        self.evidence.explain_all(&key);
        let evicted = self.quarantined.push(key, quarantined);
        evicted.map(|(key, _)| key.part)
    }
}
