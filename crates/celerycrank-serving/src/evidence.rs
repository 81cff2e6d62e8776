//! Weighs the crashes at which a prompt part was present against the answers to prompts with it.

use std::{
    collections::{HashMap, VecDeque},
    num::NonZeroUsize,
};

use celerycrank_types::{ModRevision, PromptPartId, ServiceId, TimePoint, TimeSpan};
use lru::LruCache;
use smallvec::SmallVec;

use crate::{
    CrashReport,
    answer_history::{AnswerHistory, CrashMoment},
    crash::PartPresence,
    part_evidence::PartEvidence,
};

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

/// A crash, and the prompts that all entries together saw at the backend server.
#[derive(Debug)]
pub(crate) struct ObservedCrash {
    pub(crate) report: CrashReport,
    pub(crate) moment: CrashMoment,
    /// The quarantined part that explains it.
    explained_by: Option<PromptPartId>,
}

impl ObservedCrash {
    fn holds(&self, key: &PartKey) -> bool {
        let is_same_service = self.report.crashed.service == key.service;
        is_same_service && self.report.parts().contains_key(&key.part)
    }
}

/// A part that is refused from now on, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedPart {
    /// The part.
    pub part: PromptPartId,
    /// Number of crashes that count against it.
    pub crashes: u32,
    /// Whether a whole answer to a prompt with it is known from before.
    pub is_known: bool,
}

/// A crash report that was read from the key-value service.
#[derive(Debug, Clone, Copy)]
struct ReadReport {
    revision: ModRevision,
    read_at: TimePoint,
}

/// The crashes and answers that one entry knows of.
#[derive(Debug)]
pub(crate) struct CrashEvidence {
    answers: LruCache<PartKey, AnswerHistory>,
    /// Recent crashes, oldest first.
    crashes: VecDeque<ObservedCrash>,
    /// The latest report that was read of a crash at which each part was present, until a whole answer
    /// to a prompt with it.
    unanswered: LruCache<PartKey, ReadReport>,
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
    /// Records that an answer to a prompt with this part has begun.
    pub(crate) fn note_begun(&mut self, key: PartKey, now: TimePoint) {
        self.history_mut(key).note_begun(now);
    }

    /// Records that this entry has just seen a whole answer to a prompt with this part.
    pub(crate) fn note_fresh(&mut self, key: PartKey) {
        self.history_mut(key).note_fresh();
    }

    /// Records a whole answer to a prompt with this part, which the backend server has outlived;
    /// returns the latest crash report that it follows, unless an earlier answer has followed it.
    pub(crate) fn note_outlived(&mut self, key: &PartKey, at: TimePoint) -> Option<ModRevision> {
        self.history_mut(key.clone()).note_outlived(at);
        let followed = self.unanswered.peek(key).filter(|it| it.read_at <= at)?;
        let revision = followed.revision;
        self.unanswered.pop(key);
        Some(revision)
    }

    /// Records that an answer has followed all crashes up to a report.
    pub(crate) fn note_cleared(&mut self, key: &PartKey, up_to: ModRevision) {
        self.history_mut(key.clone()).note_cleared(up_to);
        let unanswered = self.unanswered.peek(key);
        if unanswered.is_some_and(|it| it.revision <= up_to) {
            self.unanswered.pop(key);
        }
    }

    /// Whether this entry has seen a whole answer that the backend server has outlived.
    pub(crate) fn is_outlived(&self, key: &PartKey) -> bool {
        let answers = self.answers.peek(key);
        answers.is_some_and(AnswerHistory::is_outlived)
    }

    /// Whether a whole answer to a prompt with this part is known.
    pub(crate) fn is_known(&self, key: &PartKey) -> bool {
        let answers = self.answers.peek(key);
        answers.is_some_and(AnswerHistory::is_known)
    }

    fn history_mut(&mut self, key: PartKey) -> &mut AnswerHistory {
        self.answers.get_or_insert_mut(key, AnswerHistory::default)
    }

    /// Whether crashes are known at which this part was present, and an answer has followed each.
    pub(crate) fn is_cleared(&self, key: &PartKey) -> bool {
        let Some(answers) = self.answers.peek(key) else {
            return false;
        };
        let crashes = self.crashes.iter().filter(|crash| crash.holds(key));
        let mut followed = crashes.map(|crash| answers.has_followed(&crash.moment));
        followed.next() == Some(true) && followed.all(|is_followed| is_followed)
    }

    pub(crate) fn drop_old_crashes(&mut self, now: TimePoint) {
        let is_old = |crash: &ObservedCrash| now.since(crash.moment.at) > EVIDENCE_LIFETIME;
        while self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
    }

    /// Adds a report to the known crashes; returns the index of its crash if it says more.
    ///
    /// `recorded` is the revision of the report's record, if it was read from one.
    pub(crate) fn merge(
        &mut self,
        report: CrashReport,
        recorded: Option<ModRevision>,
        now: TimePoint,
    ) -> Option<usize> {
        let service = report.crashed.service.clone();
        for part in report.finished() {
            self.history_mut(PartKey::new(&service, *part))
                .withdraw_fresh();
        }
        for part in report.answered() {
            self.history_mut(PartKey::new(&service, part)).note_known();
        }
        if let Some(revision) = recorded {
            let read = ReadReport {
                revision,
                read_at: now,
            };
            self.note_unanswered(&report, read);
        }
        let mut known = self.crashes.iter();
        if let Some(index) = known.position(|it| it.report.crashed == report.crashed) {
            let known = &mut self.crashes[index];
            known.moment.recorded = known.moment.recorded.or(recorded);
            let is_changed = known.report.merge(&report);
            return is_changed.then_some(index);
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(ObservedCrash {
            report,
            moment: CrashMoment { at: now, recorded },
            explained_by: None,
        });
        Some(self.crashes.len() - 1)
    }

    /// Records which parts have yet to be answered after a report was read.
    fn note_unanswered(&mut self, report: &CrashReport, read: ReadReport) {
        for part in report.parts().keys() {
            let key = PartKey::new(&report.crashed.service, *part);
            let answers = self.answers.peek(&key);
            if answers.is_some_and(|it| it.is_cleared_up_to(read.revision)) {
                continue;
            }
            let latest = self.unanswered.get_or_insert_mut(key, || read);
            if read.revision > latest.revision {
                *latest = read;
            }
        }
    }

    /// The parts present at a crash, unless it is explained.
    pub(crate) fn unexplained_parts(&self, index: usize) -> Vec<PartKey> {
        let crash = &self.crashes[index];
        if crash.explained_by.is_some() {
            return Vec::new();
        }
        let service = &crash.report.crashed.service;
        let parts = crash.report.parts().keys();
        parts.map(|part| PartKey::new(service, *part)).collect()
    }

    /// Records that a quarantined part explains a crash.
    pub(crate) fn explain(&mut self, index: usize, part: PromptPartId) {
        self.crashes[index].explained_by = Some(part);
    }

    /// Records that a part explains all crashes at which it was present.
    pub(crate) fn explain_all(&mut self, key: &PartKey) {
        for crash in self.crashes.iter_mut().filter(|crash| crash.holds(key)) {
            crash.explained_by = Some(key.part);
        }
    }

    /// Records that a part is no longer quarantined, and that only these other parts explain crashes.
    pub(crate) fn withdraw_explanation(
        &mut self,
        key: &PartKey,
        explains: impl Fn(&PartKey) -> bool,
    ) {
        let held = self.crashes.iter_mut().filter(|crash| crash.holds(key));
        for crash in held.filter(|crash| crash.explained_by == Some(key.part)) {
            let mut parts = crash.report.parts().keys();
            let explaining = parts.find(|part| explains(&PartKey::new(&key.service, **part)));
            crash.explained_by = explaining.copied();
        }
    }

    /// Whether another part was present at all crashes at which this one was, of which there are some.
    pub(crate) fn is_covered(&self, key: &PartKey, other: &PartKey) -> bool {
        let mut held = self.crashes.iter().filter(|crash| crash.holds(key));
        let mut covered = held.by_ref().map(|crash| crash.holds(other));
        covered.next() == Some(true) && covered.all(|is_held| is_held)
    }

    /// The part with the strongest evidence among those present at a crash, if it suffices for a
    /// quarantine.
    ///
    /// The crash says nothing against other parts. Parts that are quarantined already are left out.
    pub(crate) fn most_suspect(
        &self,
        index: usize,
        is_quarantined: impl Fn(&PartKey) -> bool,
    ) -> Option<RefusedPart> {
        let report = &self.crashes[index].report;
        let service = &report.crashed.service;
        let explaining = self.count_explaining(service);
        let mut suspects = Vec::new();
        for part in report.parts().keys() {
            let key = PartKey::new(service, *part);
            let evidence = self.weigh(&key, &explaining);
            if !is_quarantined(&key) && evidence.is_suspect(self.answers.peek(&key)) {
                suspects.push((key, evidence));
            }
        }
        // The part decides last, so that all entries choose the same one.
        let suspects = suspects.into_iter();
        let most = suspects.max_by_key(|(key, evidence)| (evidence.strength(), key.part));
        most.map(|(key, evidence)| RefusedPart {
            part: key.part,
            crashes: evidence.crashes(),
            is_known: self.is_known(&key),
        })
    }

    /// The crashes at which a part was present, and that no whole answer has followed.
    fn unanswered_crashes(
        &self,
        key: &PartKey,
    ) -> impl Iterator<Item = (&ObservedCrash, &PartPresence)> {
        let answers = self.answers.peek(key);
        let crashes = self.crashes.iter().filter_map(move |crash| {
            let is_same_service = crash.report.crashed.service == key.service;
            let presence = crash.report.parts().get(&key.part)?;
            is_same_service.then_some((crash, presence))
        });
        crashes.filter(move |(crash, _)| !answers.is_some_and(|it| it.has_followed(&crash.moment)))
    }

    /// The number of crashes at which each part was present that explains some at a service.
    fn count_explaining(&self, service: &ServiceId) -> HashMap<PromptPartId, usize> {
        let mut counts = HashMap::new();
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|crash| crash.report.crashed.service == *service);
        for part in crashes.filter_map(|crash| crash.explained_by) {
            counts.entry(part).or_insert_with(|| {
                let key = PartKey::new(service, part);
                self.unanswered_crashes(&key).count()
            });
        }
        counts
    }

    /// The evidence against a part.
    ///
    /// A crash that a quarantined part explains counts only against parts that were present at more
    /// crashes than that one, which may have been quarantined by mistake.
    fn weigh(&self, key: &PartKey, explaining: &HashMap<PromptPartId, usize>) -> PartEvidence {
        let answers = self.answers.peek(key);
        let crashes = self.unanswered_crashes(key).collect::<SmallVec<[_; 8]>>();
        let mut evidence = PartEvidence::default();
        for (crash, presence) in &crashes {
            let explained = crash.explained_by.map(|part| explaining[&part]);
            if explained.is_none_or(|explained| crashes.len() > explained) {
                evidence.add(crash, presence, answers);
            }
        }
        evidence
    }
}
