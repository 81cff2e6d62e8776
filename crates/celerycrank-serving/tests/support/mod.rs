//! Entries, crashes and prompts for the tests of the quarantine.

#![allow(dead_code, reason = "no test file uses every item")]

use celerycrank_serving::{
    AnswerProgress, BackendIncarnation, CrashReport, PartQuarantine, PresentPrompt, PromptQuery,
    QuarantineChange,
};
use celerycrank_types::{ModRevision, PromptPartId, ServiceId, TimePoint, TimeSpan};
use rand::{SeedableRng, rngs::StdRng};

pub const COMMON: u128 = 1;
pub const DEADLY: u128 = 666;

pub fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::from_millis(millis)
}

pub fn service() -> ServiceId {
    "llm".parse().expect("a valid name")
}

pub fn crashed(backend: u64) -> BackendIncarnation {
    BackendIncarnation {
        service: service(),
        backend: format!("w{backend}").parse().expect("a valid name"),
        incarnation: 1,
    }
}

pub fn ids(parts: &[u128]) -> Vec<PromptPartId> {
    parts.iter().copied().map(PromptPartId).collect()
}

/// An entry's quarantine with its random numbers.
pub struct TestEntry {
    pub quarantine: PartQuarantine,
    random: StdRng,
}

impl TestEntry {
    pub fn new(seed: u64) -> Self {
        Self {
            quarantine: PartQuarantine::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub fn crash(&mut self, backend: u64, prompts: &[&[u128]], now: TimePoint) -> QuarantineChange {
        self.crash_report(report(backend, prompts), now)
    }

    pub fn crash_report(&mut self, report: CrashReport, now: TimePoint) -> QuarantineChange {
        self.quarantine
            .note_crash(report, None, now, &mut self.random)
    }

    /// Reads a report with this revision from the store.
    pub fn read_report(
        &mut self,
        report: &CrashReport,
        revision: u64,
        now: TimePoint,
    ) -> QuarantineChange {
        let recorded = Some(ModRevision(revision));
        self.quarantine
            .note_crash(report.clone(), recorded, now, &mut self.random)
    }

    /// Sees a crash, and returns the report for the store.
    pub fn see_crash(&mut self, backend: u64, prompts: &[&[u128]], now: TimePoint) -> CrashReport {
        let mut report = report(backend, prompts);
        self.quarantine.describe_parts(&mut report);
        self.crash_report(report.clone(), now);
        report
    }

    pub fn admit(&mut self, parts: &[u128], now: TimePoint) -> Result<(), TimeSpan> {
        let query = PromptQuery {
            service: &service(),
            parts: &ids(parts),
        };
        self.quarantine.admit(&query, now)
    }

    /// Sees a whole answer, which the backend server outlives; returns whether this ends a quarantine.
    pub fn answer(&mut self, parts: &[u128], now: TimePoint) -> bool {
        self.begin(parts, now);
        let is_released = self.finish(parts);
        self.outlive(parts, now);
        is_released
    }

    /// Sees the end of a whole answer; returns whether this ends a quarantine.
    pub fn finish(&mut self, parts: &[u128]) -> bool {
        let query = PromptQuery {
            service: &service(),
            parts: &ids(parts),
        };
        self.quarantine.note_whole(&query)
    }

    /// Sees that a backend server has outlived its whole answer of `at`.
    pub fn outlive(&mut self, parts: &[u128], at: TimePoint) {
        let query = PromptQuery {
            service: &service(),
            parts: &ids(parts),
        };
        self.quarantine.note_outlived(&query, at);
    }

    /// Sees an answer begin.
    pub fn begin(&mut self, parts: &[u128], now: TimePoint) {
        let query = PromptQuery {
            service: &service(),
            parts: &ids(parts),
        };
        self.quarantine.note_begun(&query, now);
    }
}

/// A prompt whose answer had not begun.
pub fn unanswered(parts: &[PromptPartId]) -> PresentPrompt<'_> {
    PresentPrompt {
        parts,
        progress: AnswerProgress::NotBegun,
    }
}

pub fn refused(change: &QuarantineChange) -> Vec<PromptPartId> {
    change.added.iter().map(|refused| refused.part).collect()
}

pub fn report(backend: u64, prompts: &[&[u128]]) -> CrashReport {
    let mut report = CrashReport::new(crashed(backend));
    for prompt in prompts {
        report.add(&unanswered(&ids(prompt)));
    }
    report
}
