//! Reports of backend servers that crashed before they answered, as entries share them.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use celerycrank_types::{BackendId, PromptPartId, ServiceId, TimePoint, TimeSpan};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Time over which an entry collects what it sees of crashes, since all connections of a backend
/// server break at the same time.
const COLLECTION_SPAN: TimeSpan = TimeSpan::from_millis(50);

/// The largest number of backend servers that crash at the same time by chance. More of them have a
/// cause in common: a part that is present at most of them, or another one, such as a power failure.
pub(crate) const MAX_SIMULTANEOUS_CRASHES: u32 = 2;

/// Maximum number of prompts in a report.
const MAX_PROMPTS: usize = 32;

/// Maximum number of parts of a prompt in a report.
const MAX_PARTS: usize = 32;

/// One incarnation of a backend server that has crashed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashedBackend {
    /// The service that it offered.
    pub service: ServiceId,
    /// Its name.
    pub backend: BackendId,
    /// Its incarnation, as in its registration.
    pub incarnation: u64,
}

/// The prompts that a backend server held, unanswered, when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The backend server.
    pub crashed: CrashedBackend,
    /// The shared parts of each prompt whose answer had not begun, in order.
    ///
    /// Invariant: bounded in both dimensions, without duplicates.
    prompts: Vec<Vec<PromptPartId>>,
    /// The parts among them to which the reporting entry knew answers before the crash; `None` in
    /// reports of versions that did not write it.
    #[serde(default)]
    answered: Option<Vec<PromptPartId>>,
}

/// Why a record of crashes or clearances cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum CrashReportError {
    /// the record cannot be parsed: {0}
    Unreadable(Arc<str>),
    /// the record names more prompts or parts than allowed
    TooLarge,
}

impl std::error::Error for CrashReportError {}

impl CrashReport {
    /// Creates a report without prompts.
    #[must_use]
    pub const fn new(crashed: CrashedBackend) -> Self {
        Self {
            crashed,
            prompts: Vec::new(),
            answered: Some(Vec::new()),
        }
    }

    /// The shared parts of each prompt.
    pub fn prompts(&self) -> impl Iterator<Item = &[PromptPartId]> {
        self.prompts.iter().map(Vec::as_slice)
    }

    /// Adds a prompt with shared parts, unless it is known or there are too many; returns whether it
    /// was added.
    pub fn add(&mut self, prompt: &[PromptPartId]) -> bool {
        let prompt = &prompt[..prompt.len().min(MAX_PARTS)];
        let is_known = self.prompts().any(|known| known == prompt);
        let is_added = !prompt.is_empty() && !is_known && self.prompts.len() < MAX_PROMPTS;
        if is_added {
            self.prompts.push(prompt.to_vec());
        }
        is_added
    }

    /// The parts to which answers may have begun before the crash.
    ///
    /// Those of a report that does not say so are all such parts, since a part that was served
    /// before must not be refused on too little evidence.
    pub fn answered(&self) -> impl Iterator<Item = PromptPartId> {
        let named = self.answered.iter().flatten();
        let all = self.prompts.iter().flatten();
        let all = all.filter(|_| self.answered.is_none());
        named.chain(all).copied()
    }

    /// Sets the parts to which answers are known.
    pub(crate) fn set_answered(&mut self, is_known: impl Fn(PromptPartId) -> bool) {
        let parts = self.prompts.iter().flatten().copied();
        let mut answered = parts.filter(|part| is_known(*part)).collect::<Vec<_>>();
        answered.sort_unstable();
        answered.dedup();
        self.answered = Some(answered);
    }

    /// Encodes the report for the key-value service.
    ///
    /// # Panics
    ///
    /// Never, since plain fields encode into memory.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain fields encode into memory")
    }

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no report, or one of a size that no entry writes.
    pub fn decode(bytes: &[u8]) -> Result<Self, CrashReportError> {
        let report = decode_record::<Self>(bytes)?;
        let is_too_large = report.prompts.len() > MAX_PROMPTS
            || report.prompts().any(|prompt| prompt.len() > MAX_PARTS)
            || report.answered.iter().flatten().count() > MAX_PROMPTS * MAX_PARTS;
        if is_too_large {
            return Err(CrashReportError::TooLarge);
        }
        Ok(report)
    }
}

/// Decodes a record of the key-value service.
pub(crate) fn decode_record<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CrashReportError> {
    serde_json::from_slice(bytes).map_err(|e| CrashReportError::Unreadable(e.to_string().into()))
}

/// Collects what one entry sees of crashes that happen at the same time.
#[derive(Debug, Default)]
pub struct CrashCollector {
    reports: Vec<CrashReport>,
    first_at: TimePoint,
}

impl CrashCollector {
    /// Records that a backend server crashed while it held this prompt; returns whether it is the
    /// first crash to be collected.
    pub fn note(
        &mut self,
        crashed: &CrashedBackend,
        prompt: &[PromptPartId],
        now: TimePoint,
    ) -> bool {
        let is_first = self.reports.is_empty();
        if is_first {
            self.first_at = now;
        }
        let mut known = self.reports.iter_mut();
        if let Some(report) = known.find(|report| report.crashed == *crashed) {
            report.add(prompt);
        } else {
            let mut report = CrashReport::new(crashed.clone());
            report.add(prompt);
            self.reports.push(report);
        }
        is_first
    }

    /// When the collected reports are complete; `None` if there are none.
    #[must_use]
    pub fn due_at(&self) -> Option<TimePoint> {
        (!self.reports.is_empty()).then(|| self.first_at + COLLECTION_SPAN)
    }

    /// Takes the collected reports, without what cannot be the cause of the crashes.
    pub fn take(&mut self) -> Vec<CrashReport> {
        let mut reports = std::mem::take(&mut self.reports);
        if reports.len() > MAX_SIMULTANEOUS_CRASHES as usize {
            keep_common_parts(&mut reports);
        }
        reports
    }
}

/// Drops the parts that are not present at more than half of the crashes.
fn keep_common_parts(reports: &mut Vec<CrashReport>) {
    let mut presence = HashMap::<PromptPartId, usize>::new();
    for report in reports.iter() {
        let parts = report.prompts().flatten().collect::<HashSet<_>>();
        for part in parts {
            *presence.entry(*part).or_default() += 1;
        }
    }
    let is_common = |part: &PromptPartId| presence[part] * 2 > reports.len();
    let common = reports.iter().filter_map(|report| {
        let mut kept = CrashReport::new(report.crashed.clone());
        for prompt in report.prompts() {
            let parts = prompt.iter().copied().filter(is_common);
            kept.add(&parts.collect::<Vec<_>>());
        }
        (!kept.prompts.is_empty()).then_some(kept)
    });
    *reports = common.collect();
}
