//! Refuses requests with a prompt part that crashes backend servers.
//!
//! The load pattern: a small share of the requests, from any caller and at any entry, has one
//! part of the prompt in common, and each backend server that begins to answer one of them
//! crashes. Sound requests of the same callers share the other parts, and sound requests that
//! wait at the same backend server lose it with the others.
//!
//! A part is quarantined after a few crashes at which a prompt with it was present unanswered, if
//! no answer to a prompt with it has begun since. Crashes that a quarantined part explains count
//! against no other part.

use std::{
    collections::{HashMap, VecDeque},
    num::NonZeroUsize,
};

use celerycrank_types::{PromptPartId, ServiceId, TimePoint, TimeSpan};
use lru::LruCache;
use rand::Rng;

use crate::{CrashReport, CrashedBackend};

/// Number of crashes from which on a part is quarantined, if no answer to a prompt with it has begun
/// before.
const MIN_CRASHES_OF_NEW_PART: u32 = 2;

/// Number of crashes from which on any other part is quarantined.
const MIN_CRASHES_OF_KNOWN_PART: u32 = 4;

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

/// Time for which a crash counts as evidence.
const EVIDENCE_LIFETIME: TimeSpan = TimeSpan::from_secs(600);

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 128;

/// Maximum number of parts of which the last begun answer is remembered.
const MAX_KNOWN_PARTS: NonZeroUsize = NonZeroUsize::new(8_192).expect("not zero");

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

/// A part at one service; another service may be able to answer prompts with it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PartKey {
    service: ServiceId,
    part: PromptPartId,
}

impl PartKey {
    fn new(service: &ServiceId, part: PromptPartId) -> Self {
        Self {
            service: service.clone(),
            part,
        }
    }
}

/// A crash, and the prompts that all entries together saw at the backend server.
#[derive(Debug)]
struct ObservedCrash {
    report: CrashReport,
    at: TimePoint,
    /// Whether a quarantined part explains it.
    is_explained: bool,
}

impl ObservedCrash {
    fn holds(&self, part: PromptPartId) -> bool {
        self.report.prompts().any(|prompt| prompt.contains(&part))
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

/// The evidence against a part; larger is stronger.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PartEvidence {
    /// Number of crashes at which a prompt with the part was present.
    crashes: u32,
    /// The largest position of the part in these prompts. Fewer sound prompts share a later part.
    position: usize,
    /// Number of these prompts.
    prompts: u32,
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

/// A part that is refused from now on, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedPart {
    /// The part.
    pub part: PromptPartId,
    /// Number of crashes that count against it.
    pub crashes: u32,
    /// Whether an answer to a prompt with it is known to have begun before.
    pub is_known: bool,
}

/// What a crash report changes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Parts that are refused from now on.
    pub added: Vec<RefusedPart>,
    /// Parts that are no longer refused, since too many are.
    pub evicted: Vec<PromptPartId>,
}

/// The prompt parts that one entry refuses, and the crashes on which this is based.
#[derive(Debug)]
pub struct PartQuarantine {
    /// When an answer to a prompt with the part last began.
    begun_at: LruCache<PartKey, TimePoint>,
    /// Recent crashes, oldest first.
    crashes: VecDeque<ObservedCrash>,
    quarantined: LruCache<PartKey, QuarantinedPart>,
}

impl Default for PartQuarantine {
    fn default() -> Self {
        Self {
            begun_at: LruCache::new(MAX_KNOWN_PARTS),
            crashes: VecDeque::new(),
            quarantined: LruCache::new(MAX_QUARANTINED_PARTS),
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

    /// Records that an answer to this prompt has begun, which clears its parts; returns whether one
    /// of them was quarantined.
    pub fn note_begun(&mut self, query: &PromptQuery<'_>, now: TimePoint) -> bool {
        let mut is_released = false;
        for key in query.keys() {
            is_released |= self.quarantined.pop(&key).is_some();
            self.begun_at.put(key, now);
        }
        is_released
    }

    /// Records a crash, as this or another entry saw it.
    pub fn note_crash<R: Rng>(
        &mut self,
        report: CrashReport,
        now: TimePoint,
        random: &mut R,
    ) -> QuarantineChange {
        let mut change = QuarantineChange::default();
        let service = report.crashed.service.clone();
        self.drop_old_crashes(now);
        let Some(index) = self.merge(report, now) else {
            return change;
        };
        self.explain(index, now, random);
        while let Some(refused) = self.most_suspect(&service) {
            let evicted = self.quarantine(&service, refused.part, now, random);
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

    fn drop_old_crashes(&mut self, now: TimePoint) {
        let is_old = |crash: &ObservedCrash| now.since(crash.at) > EVIDENCE_LIFETIME;
        while self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
    }

    /// Adds a report to the known crashes; returns the index of its crash if it has new prompts.
    fn merge(&mut self, report: CrashReport, now: TimePoint) -> Option<usize> {
        let is_same = |crashed: &CrashedBackend| *crashed == report.crashed;
        let known = self
            .crashes
            .iter()
            .position(|crash| is_same(&crash.report.crashed));
        if let Some(index) = known {
            let known = &mut self.crashes[index].report;
            let added = report.prompts().filter(|prompt| known.add(prompt)).count();
            return (added > 0).then_some(index);
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(ObservedCrash {
            report,
            at: now,
            is_explained: false,
        });
        Some(self.crashes.len() - 1)
    }

    /// Checks whether quarantined parts explain a crash; if so, renews their quarantine.
    fn explain<R: Rng>(&mut self, index: usize, now: TimePoint, random: &mut R) {
        let crash = &mut self.crashes[index];
        if crash.is_explained {
            return;
        }
        let service = crash.report.crashed.service.clone();
        let parts = crash.report.prompts().flatten().copied();
        for part in parts.collect::<Vec<_>>() {
            let key = PartKey::new(&service, part);
            let Some(quarantined) = self.quarantined.get_mut(&key) else {
                continue;
            };
            crash.is_explained = true;
            if now.since(quarantined.since) > SETTLING_SPAN {
                quarantined.failed_trials = quarantined.failed_trials.saturating_add(1);
            }
            quarantined.renew(now, random);
        }
    }

    /// The part with the strongest evidence, if it suffices for a quarantine.
    fn most_suspect(&self, service: &ServiceId) -> Option<RefusedPart> {
        let mut evidence = HashMap::<PromptPartId, PartEvidence>::new();
        let crashes = self.crashes.iter();
        let crashes =
            crashes.filter(|it| !it.is_explained && it.report.crashed.service == *service);
        for crash in crashes {
            let mut counted = Vec::new();
            for (position, part) in crash.report.prompts().flat_map(|it| it.iter().enumerate()) {
                let begun_at = self.begun_at.peek(&PartKey::new(service, *part));
                if begun_at.is_some_and(|at| *at >= crash.at) {
                    continue;
                }
                let entry = evidence.entry(*part).or_default();
                entry.prompts += 1;
                entry.position = entry.position.max(position);
                if !counted.contains(part) {
                    entry.crashes += 1;
                    counted.push(*part);
                }
            }
        }
        let suspects = evidence.into_iter().filter(|(part, evidence)| {
            let is_known = self.begun_at.contains(&PartKey::new(service, *part));
            let limit = if is_known {
                MIN_CRASHES_OF_KNOWN_PART
            } else {
                MIN_CRASHES_OF_NEW_PART
            };
            evidence.crashes >= limit
        });
        // The part decides last, so that all entries choose the same one.
        let (part, evidence) = suspects.max_by_key(|(part, evidence)| (*evidence, *part))?;
        Some(RefusedPart {
            part,
            crashes: evidence.crashes,
            is_known: self.begun_at.contains(&PartKey::new(service, part)),
        })
    }

    fn quarantine<R: Rng>(
        &mut self,
        service: &ServiceId,
        part: PromptPartId,
        now: TimePoint,
        random: &mut R,
    ) -> Option<PromptPartId> {
        let mut quarantined = QuarantinedPart {
            failed_trials: 0,
            since: now,
            until: now,
        };
        quarantined.renew(now, random);
        let key = PartKey::new(service, part);
        let evicted = self.quarantined.push(key, quarantined);
        let crashes = self.crashes.iter_mut();
        let crashes = crashes.filter(|it| it.report.crashed.service == *service);
        for crash in crashes.filter(|crash| crash.holds(part)) {
            crash.is_explained = true;
        }
        evicted.map(|(key, _)| key.part)
    }
}
