//! Reports of backend servers that crashed, and of the prompts that they held, as entries share them.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

use celerycrank_types::{BackendId, PromptPartId, ServiceId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Maximum number of prompts in the list that entries of earlier versions read.
const MAX_LISTED_PROMPTS: usize = 32;

/// Maximum number of parts of a prompt in that list.
const MAX_LISTED_PARTS: usize = 32;

/// Maximum number of parts in a report: more than fit into the head of a request of usual size.
const MAX_PARTS: usize = 4_096;

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendIncarnation {
    /// The service that it offers.
    pub service: ServiceId,
    /// Its name.
    pub backend: BackendId,
    /// Its incarnation, as in its registration.
    pub incarnation: u64,
}

/// How far the answer to a request had come when its backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProgress {
    /// No part of the answer has been received from this backend server.
    NotBegun,
    /// The backend server has sent a part of the answer.
    Begun,
    /// The backend server has sent the end of the answer.
    Finished,
}

/// A prompt that a backend server held when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PresentPrompt<'prompt> {
    /// The shared parts of the prompt, in order.
    pub parts: &'prompt [PromptPartId],
    /// How far its answer had come.
    pub progress: AnswerProgress,
}

/// The prompts with one part that a backend server held when it crashed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartPresence {
    /// The largest position of the part in these prompts.
    pub(crate) position: u32,
    /// Number of prompts whose answer had not begun.
    pub(crate) unanswered: u32,
    /// Number of prompts of whose answer a part, or all, had been received.
    pub(crate) begun: u32,
    /// Whether the reporting entry knew a whole answer to a prompt with it from before the crash.
    pub(crate) is_answered: bool,
}

impl PartPresence {
    fn add(&mut self, position: u32, prompt: &PresentPrompt<'_>) {
        self.position = self.position.max(position);
        let count = match prompt.progress {
            AnswerProgress::NotBegun => &mut self.unanswered,
            AnswerProgress::Begun | AnswerProgress::Finished => &mut self.begun,
        };
        *count = count.saturating_add(1);
    }

    /// Adds what another report of the same crash says; returns whether it says more.
    fn merge(&mut self, other: Self) -> bool {
        let known = *self;
        self.position = self.position.max(other.position);
        self.unanswered = self.unanswered.max(other.unanswered);
        self.begun = self.begun.max(other.begun);
        self.is_answered |= other.is_answered;
        *self != known
    }

    /// Number of prompts.
    pub(crate) const fn prompts(self) -> u32 {
        self.unanswered.saturating_add(self.begun)
    }
}

/// The prompts that a backend server held when it crashed, as far as one entry knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The backend server.
    pub crashed: BackendIncarnation,
    /// The first shared parts of prompts whose answer had not begun, in order: all that entries of
    /// earlier versions read.
    ///
    /// Invariant: bounded in both dimensions, without duplicates.
    prompts: Vec<Vec<PromptPartId>>,
    /// The parts in this list to which the reporting entry knew whole answers from before the crash;
    /// `None` in records of versions that did not write it.
    #[serde(default)]
    answered: Option<Vec<PromptPartId>>,
    /// The shared parts of all prompts.
    ///
    /// Invariant: bounded, and not empty if `prompts` is not.
    #[serde(default)]
    parts: BTreeMap<PromptPartId, PartPresence>,
    /// The parts of the prompts that this entry saw answered right before the crash, unless many
    /// backend servers crashed at once.
    #[serde(skip)]
    finished: Vec<PromptPartId>,
    /// Whether more backend servers crashed at this moment than crash at the same time by chance, as the
    /// reporting entry saw it.
    #[serde(default)]
    is_joint: bool,
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
    pub const fn new(crashed: BackendIncarnation) -> Self {
        Self {
            crashed,
            prompts: Vec::new(),
            answered: Some(Vec::new()),
            parts: BTreeMap::new(),
            finished: Vec::new(),
            is_joint: false,
        }
    }

    /// The first shared parts of prompts whose answer had not begun, for entries of earlier versions.
    pub fn prompts(&self) -> impl Iterator<Item = &[PromptPartId]> {
        self.prompts.iter().map(Vec::as_slice)
    }

    /// The shared parts of all prompts, each once.
    pub(crate) const fn parts(&self) -> &BTreeMap<PromptPartId, PartPresence> {
        &self.parts
    }

    /// Adds a prompt with shared parts, as far as there is room for its parts.
    pub fn add(&mut self, prompt: &PresentPrompt<'_>) {
        match prompt.progress {
            AnswerProgress::NotBegun => self.list(prompt.parts),
            AnswerProgress::Begun => {}
            AnswerProgress::Finished => self.finished.extend_from_slice(prompt.parts),
        }
        for (position, part) in (0..).zip(prompt.parts) {
            if let Some(presence) = self.presence_mut(*part) {
                presence.add(position, prompt);
            }
        }
    }

    /// The parts whose answers in this report speak for nothing.
    pub(crate) fn finished(&self) -> &[PromptPartId] {
        &self.finished
    }

    /// Whether some entry saw more backend servers crash at this moment than crash at the same time by
    /// chance.
    pub(crate) const fn is_joint(&self) -> bool {
        self.is_joint
    }

    /// Adds another report of the same crash; returns whether it says more about its parts.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        self.is_joint |= other.is_joint;
        let mut is_changed = false;
        for (part, presence) in &other.parts {
            if let Some(known) = self.presence_mut(*part) {
                is_changed |= known.merge(*presence);
            }
        }
        is_changed
    }

    /// The parts to which answers are known from before the crash.
    pub(crate) fn answered(&self) -> impl Iterator<Item = PromptPartId> {
        let answered = self.parts.iter().filter(|(_, it)| it.is_answered);
        answered.map(|(part, _)| *part)
    }

    /// Sets the parts to which whole answers are known.
    pub(crate) fn set_answered(&mut self, is_known: impl Fn(PromptPartId) -> bool) {
        for (part, presence) in &mut self.parts {
            presence.is_answered = is_known(*part);
        }
        let listed = self.prompts.iter().flatten().copied();
        let mut answered = listed.filter(|part| is_known(*part)).collect::<Vec<_>>();
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
        let mut report = decode_record::<Self>(bytes)?;
        let listed = MAX_LISTED_PROMPTS * MAX_LISTED_PARTS;
        let is_too_large = report.prompts.len() > MAX_LISTED_PROMPTS
            || report.prompts().any(|it| it.len() > MAX_LISTED_PARTS)
            || report.answered.iter().flatten().count() > listed
            || report.parts.len() > MAX_PARTS;
        if is_too_large {
            return Err(CrashReportError::TooLarge);
        }
        if report.parts.is_empty() {
            report.read_list();
        }
        Ok(report)
    }

    /// Takes the parts from the list of an earlier version, which has no other.
    ///
    /// If it does not name the parts that were answered before, all of them count as such, since a
    /// part that was served before must not be refused on too little evidence.
    fn read_list(&mut self) {
        let prompts = std::mem::take(&mut self.prompts);
        for parts in &prompts {
            self.add(&PresentPrompt {
                parts,
                progress: AnswerProgress::NotBegun,
            });
        }
        self.prompts = prompts;
        let answered = self.answered.as_deref();
        for (part, presence) in &mut self.parts {
            presence.is_answered = answered.is_none_or(|answered| answered.contains(part));
        }
    }

    /// Adds a prompt to the list for entries of earlier versions, unless it is known or the list is
    /// full.
    fn list(&mut self, prompt: &[PromptPartId]) {
        let prompt = &prompt[..prompt.len().min(MAX_LISTED_PARTS)];
        let is_known = self.prompts().any(|known| known == prompt);
        if !prompt.is_empty() && !is_known && self.prompts.len() < MAX_LISTED_PROMPTS {
            self.prompts.push(prompt.to_vec());
        }
    }

    /// The presence of a part, which is added; `None` if there is no room for it.
    fn presence_mut(&mut self, part: PromptPartId) -> Option<&mut PartPresence> {
        let is_full = self.parts.len() >= MAX_PARTS;
        match self.parts.entry(part) {
            Entry::Occupied(known) => Some(known.into_mut()),
            Entry::Vacant(_) if is_full => None,
            Entry::Vacant(free) => Some(free.insert(PartPresence::default())),
        }
    }

    /// Records that many backend servers share a crash, and drops what cannot be its cause: the parts for which a
    /// condition does not hold, and what speaks against fresh answers.
    pub(crate) fn retain_common(&mut self, is_kept: impl Fn(PromptPartId) -> bool) {
        self.is_joint = true;
        self.finished.clear();
        self.parts.retain(|part, _| is_kept(*part));
        for prompt in std::mem::take(&mut self.prompts) {
            let kept = prompt.into_iter().filter(|part| is_kept(*part));
            self.list(&kept.collect::<Vec<_>>());
        }
    }
}

/// Decodes a record of the key-value service.
pub(crate) fn decode_record<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CrashReportError> {
    serde_json::from_slice(bytes).map_err(|e| CrashReportError::Unreadable(e.to_string().into()))
}
