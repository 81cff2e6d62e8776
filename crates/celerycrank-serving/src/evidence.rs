//! Weighs the crashes at which a prompt part was present against the answers to prompts with it.

use std::{
    collections::{HashMap, VecDeque},
    num::NonZeroUsize,
};

use celerycrank_types::{ModRevision, PromptPartId, ServiceId, TimePoint, TimeSpan};
use lru::LruCache;

use crate::{CrashReport, occasion::OccasionCount};

/// Number of crashes from which on a part is suspect, if no answer to a prompt with it has begun
/// before.
const MIN_CRASHES_OF_NEW_PART: u32 = 2;

/// Number of occasions of crashes from which on any other part is suspect.
const MIN_OCCASIONS_OF_KNOWN_PART: u32 = 4;

/// Time for which a crash counts as evidence.
const EVIDENCE_LIFETIME: TimeSpan = TimeSpan::from_secs(600);

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 128;

/// Maximum number of parts of which the answers, or the crashes that no answer has followed, are
/// remembered.
pub(crate) const MAX_KNOWN_PARTS: NonZeroUsize = NonZeroUsize::new(8_192).expect("not zero");

/// A part at one service; another service may be able to answer prompts with it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PartKey {
    pub(crate) service: ServiceId,
    pub(crate) part: PromptPartId,
}

impl PartKey {
    pub(crate) fn new(service: &ServiceId, part: PromptPartId) -> Self {
        Self {
            service: service.clone(),
            part,
        }
    }
}

/// The answers to prompts with one part that are known to have begun.
#[derive(Debug, Default, Clone, Copy)]
struct AnswerHistory {
    /// When this entry last saw an answer begin.
    begun_at: Option<TimePoint>,
    /// The latest crash report after which an answer began at any entry; zero if there is none.
    cleared_up_to: ModRevision,
}

impl AnswerHistory {
    /// Whether an answer began after a crash.
    fn has_followed(&self, crash: &ObservedCrash) -> bool {
        let is_seen = self.begun_at.is_some_and(|at| at >= crash.at);
        let is_cleared = crash.recorded.is_some_and(|it| it <= self.cleared_up_to);
        is_seen || is_cleared
    }
}

/// A crash, and the prompts that all entries together saw at the backend server.
#[derive(Debug)]
struct ObservedCrash {
    report: CrashReport,
    /// When this entry saw the crash, or first read a report of it.
    at: TimePoint,
    /// The revision of the first report that was read; `None` if there is none yet.
    recorded: Option<ModRevision>,
    /// Whether a quarantined part explains it.
    is_explained: bool,
}

impl ObservedCrash {
    fn holds(&self, key: &PartKey) -> bool {
        let is_same_service = self.report.crashed.service == key.service;
        is_same_service
            && self
                .report
                .prompts()
                .flatten()
                .any(|part| *part == key.part)
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

/// The evidence against each part.
type EvidenceMap = HashMap<PromptPartId, (PartEvidence, OccasionCount)>;

/// The crashes and answers that one entry knows of.
#[derive(Debug)]
pub(crate) struct CrashEvidence {
    answers: LruCache<PartKey, AnswerHistory>,
    /// Recent crashes, oldest first.
    crashes: VecDeque<ObservedCrash>,
    /// The latest report that was read of a crash at which each part was present, until an answer to
    /// a prompt with it begins.
    unanswered: LruCache<PartKey, ModRevision>,
}

impl Default for CrashEvidence {
    fn default() -> Self {
        Self {
            answers: LruCache::new(MAX_KNOWN_PARTS),
            crashes: VecDeque::new(),
            unanswered: LruCache::new(MAX_KNOWN_PARTS),
        }
    }
}

impl CrashEvidence {
    /// Records that an answer to a prompt with this part has begun; returns the latest crash report
    /// that it follows, unless an earlier answer has followed it.
    pub(crate) fn note_begun(&mut self, key: &PartKey, now: TimePoint) -> Option<ModRevision> {
        let answers = self
            .answers
            .get_or_insert_mut(key.clone(), AnswerHistory::default);
        answers.begun_at = Some(now);
        self.unanswered.pop(key)
    }

    /// Records that answers to prompts with this part began before, at any entry.
    pub(crate) fn note_known(&mut self, key: PartKey) {
        self.answers.get_or_insert(key, AnswerHistory::default);
    }

    /// Records that an answer has followed all crashes up to a report.
    pub(crate) fn note_cleared(&mut self, key: &PartKey, up_to: ModRevision) {
        let answers = self
            .answers
            .get_or_insert_mut(key.clone(), AnswerHistory::default);
        answers.cleared_up_to = answers.cleared_up_to.max(up_to);
        if self.unanswered.peek(key).is_some_and(|it| *it <= up_to) {
            self.unanswered.pop(key);
        }
    }

    /// Whether an answer to a prompt with this part is known to have begun.
    pub(crate) fn is_known(&self, key: &PartKey) -> bool {
        self.answers.contains(key)
    }

    /// Whether crashes are known at which this part was present, and an answer has followed each.
    pub(crate) fn is_cleared(&self, key: &PartKey) -> bool {
        let Some(answers) = self.answers.peek(key) else {
            return false;
        };
        let crashes = self.crashes.iter().filter(|crash| crash.holds(key));
        let mut followed = crashes.map(|crash| answers.has_followed(crash));
        followed.next() == Some(true) && followed.all(|is_followed| is_followed)
    }

    pub(crate) fn drop_old_crashes(&mut self, now: TimePoint) {
        let is_old = |crash: &ObservedCrash| now.since(crash.at) > EVIDENCE_LIFETIME;
        while self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
    }

    /// Adds a report to the known crashes; returns the index of its crash if it has new prompts.
    ///
    /// `recorded` is the revision of the report's record, if it was read from one.
    pub(crate) fn merge(
        &mut self,
        report: CrashReport,
        recorded: Option<ModRevision>,
        now: TimePoint,
    ) -> Option<usize> {
        let service = report.crashed.service.clone();
        for part in report.answered() {
            self.note_known(PartKey::new(&service, part));
        }
        if let Some(revision) = recorded {
            self.note_unanswered(&report, revision);
        }
        let mut known = self.crashes.iter();
        if let Some(index) = known.position(|it| it.report.crashed == report.crashed) {
            let known = &mut self.crashes[index];
            known.recorded = known.recorded.or(recorded);
            let prompts = report.prompts();
            let added = prompts.filter(|prompt| known.report.add(prompt)).count();
            return (added > 0).then_some(index);
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(ObservedCrash {
            report,
            at: now,
            recorded,
            is_explained: false,
        });
        Some(self.crashes.len() - 1)
    }

    /// Records which parts an answer has yet to begin for after a report was read.
    fn note_unanswered(&mut self, report: &CrashReport, revision: ModRevision) {
        for part in report.prompts().flatten() {
            let key = PartKey::new(&report.crashed.service, *part);
            let answers = self.answers.peek(&key);
            if answers.is_some_and(|it| it.cleared_up_to >= revision) {
                continue;
            }
            let latest = self.unanswered.get_or_insert_mut(key, ModRevision::default);
            *latest = revision.max(*latest);
        }
    }

    /// The parts present at a crash, unless it is explained.
    pub(crate) fn unexplained_parts(&self, index: usize) -> Vec<PartKey> {
        let crash = &self.crashes[index];
        if crash.is_explained {
            return Vec::new();
        }
        let service = &crash.report.crashed.service;
        let parts = crash.report.prompts().flatten();
        parts.map(|part| PartKey::new(service, *part)).collect()
    }

    /// Records that a quarantined part explains a crash.
    pub(crate) fn explain(&mut self, index: usize) {
        self.crashes[index].is_explained = true;
    }

    /// Records that a part explains all crashes at which it was present.
    pub(crate) fn explain_all(&mut self, key: &PartKey) {
        for crash in self.crashes.iter_mut().filter(|crash| crash.holds(key)) {
            crash.is_explained = true;
        }
    }

    /// The part with the strongest evidence, if it suffices for a quarantine.
    pub(crate) fn most_suspect(&self, service: &ServiceId) -> Option<RefusedPart> {
        let mut evidence = EvidenceMap::new();
        let crashes = self.crashes.iter();
        let crashes =
            crashes.filter(|it| !it.is_explained && it.report.crashed.service == *service);
        for crash in crashes {
            self.add_evidence(crash, &mut evidence);
        }
        let suspects = evidence
            .into_iter()
            .filter_map(|(part, (evidence, occasions))| {
                let is_known = self.is_known(&PartKey::new(service, part));
                let is_suspect = if is_known {
                    occasions.total() >= MIN_OCCASIONS_OF_KNOWN_PART
                } else {
                    evidence.crashes >= MIN_CRASHES_OF_NEW_PART
                };
                let refused = RefusedPart {
                    part,
                    crashes: evidence.crashes,
                    is_known,
                };
                is_suspect.then_some((evidence, refused))
            });
        // The part decides last, so that all entries choose the same one.
        let most = suspects.max_by_key(|(evidence, refused)| (*evidence, refused.part));
        most.map(|(_, refused)| refused)
    }

    /// Adds a crash to the evidence against the parts that no answer has followed.
    fn add_evidence(&self, crash: &ObservedCrash, evidence: &mut EvidenceMap) {
        let service = &crash.report.crashed.service;
        let mut counted = Vec::new();
        for (position, part) in crash.report.prompts().flat_map(|it| it.iter().enumerate()) {
            let answers = self.answers.peek(&PartKey::new(service, *part));
            if answers.is_some_and(|answers| answers.has_followed(crash)) {
                continue;
            }
            let (entry, occasions) = evidence.entry(*part).or_default();
            entry.prompts += 1;
            entry.position = entry.position.max(position);
            if !counted.contains(part) {
                entry.crashes += 1;
                occasions.add(crash.at);
                counted.push(*part);
            }
        }
    }
}
