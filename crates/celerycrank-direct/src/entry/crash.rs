//! Records which prompts backend servers held when they crashed.

use std::sync::Arc;

use celerycrank_serving::{
    AnswerProgress, BackendIncarnation, BackendRegistration, IncarnationFate, PresentPrompt,
};
use celerycrank_types::{PromptPartId, TimePoint};
use smallvec::SmallVec;

use super::state::EntryState;

/// An attempt that broke off.
#[derive(Debug)]
pub(super) struct BrokenAttempt {
    /// The caller's ID of the request.
    pub(super) attempt: Arc<str>,
    /// The shared parts of its prompt.
    pub(super) parts: SmallVec<[PromptPartId; 4]>,
    pub(super) progress: AnswerProgress,
    /// When it broke off.
    pub(super) at: TimePoint,
}

impl BrokenAttempt {
    fn prompt(&self) -> PresentPrompt<'_> {
        PresentPrompt {
            parts: &self.parts,
            progress: self.progress,
        }
    }
}

impl EntryState {
    /// Records that an attempt broke off, upon which its backend server is checked.
    pub(super) fn note_broken_attempt(&self, sent_to: &BackendRegistration, broken: BrokenAttempt) {
        if !broken.parts.is_empty() {
            let now = broken.at;
            let incarnation = sent_to.to_incarnation();
            let address = sent_to.address;
            self.crash_checks
                .add(incarnation, address, Some(broken), now);
        }
    }

    /// Records that a backend server was unreachable, upon which it is checked if it has just
    /// answered prompts.
    pub(super) fn note_unreachable(&self, sent_to: &BackendRegistration) {
        let incarnation = sent_to.to_incarnation();
        if self.finished_answers.borrow().holds(&incarnation) {
            let now = self.clock.now();
            self.crash_checks
                .add(incarnation, sent_to.address, None, now);
        }
    }

    /// Checks a backend server if it has ended connections that were idle; returns whether it has.
    ///
    /// One that was replaced may still finish its answers, so that the replacement alone shows nothing.
    pub(super) fn suspect_ended(&self, incarnation: &BackendIncarnation) -> bool {
        let backends = self.backends.borrow();
        let has_ended = match backends.fate(incarnation) {
            IncarnationFate::Running | IncarnationFate::Replaced => {
                self.pool.close_ended(&incarnation.backend)
            }
            IncarnationFate::Departing => false,
        };
        if has_ended && let Some(registration) = backends.registration(&incarnation.backend) {
            let now = self.clock.now();
            let address = registration.address;
            self.crash_checks
                .add(incarnation.clone(), address, None, now);
        }
        has_ended
    }

    /// Records that a backend server crashed, with the prompts that it held, and with those whose
    /// answers it did not outlive.
    pub(super) fn note_crashed_backend(
        &self,
        crashed: &BackendIncarnation,
        attempts: &[BrokenAttempt],
        outlived: Option<TimePoint>,
    ) {
        let backend = &crashed.backend;
        for broken in attempts {
            let BrokenAttempt {
                attempt, progress, ..
            } = broken;
            let parts = parts_text(&broken.parts);
            self.metrics.crashes.inc();
            match progress {
                AnswerProgress::NotBegun => {
                    tracing::warn!(request = %attempt, %backend, parts, "backend server crashed before it answered");
                }
                AnswerProgress::Begun | AnswerProgress::Finished => {
                    tracing::warn!(request = %attempt, %backend, parts, "backend server crashed while it answered");
                }
            }
            self.note_crash(crashed, &broken.prompt());
        }
        let answered = self.finished_answers.borrow_mut().take_of(crashed);
        let answered = answered.into_iter();
        for answer in answered.filter(|it| outlived.is_none_or(|outlived| it.at > outlived)) {
            let parts = parts_text(&answer.parts);
            tracing::warn!(%backend, parts, "backend server crashed right after it answered");
            let prompt = PresentPrompt {
                parts: &answer.parts,
                progress: AnswerProgress::Finished,
            };
            self.note_crash(crashed, &prompt);
        }
    }
}

/// The shared parts of a prompt, for log lines; `None` if there are none.
pub(super) fn parts_text(parts: &[PromptPartId]) -> Option<String> {
    let parts = parts.iter().map(PromptPartId::to_string);
    let parts = parts.collect::<Vec<_>>();
    (!parts.is_empty()).then(|| parts.join(","))
}
