//! Holds finished answers back until their backend servers have outlived them.
//!
//! A backend server may crash right after it has sent the end of an answer. Such an answer does not
//! clear the parts of its prompt, and the prompt counts as present at the crash.

use std::collections::VecDeque;

use celerycrank_types::{PromptPartId, TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::BackendIncarnation;

/// Time for which a backend server has to outlive an answer.
const SURVIVAL_SPAN: TimeSpan = TimeSpan::from_millis(250);

/// Maximum number of parts of the answers that are held back.
const MAX_HELD_PARTS: usize = 16_384;

/// The answer to a prompt with shared parts, of which a backend server has sent the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedAnswer {
    /// The backend server.
    pub backend: BackendIncarnation,
    /// The shared parts of the prompt, in order.
    pub parts: SmallVec<[PromptPartId; 4]>,
    /// Whether it has sent the answer from its beginning.
    pub is_whole: bool,
    /// When it sent the end.
    pub at: TimePoint,
}

/// The finished answers of which it is not known yet whether their backend servers outlive them.
#[derive(Debug, Default)]
pub struct AnswerCollector {
    /// The answers, oldest first.
    answers: VecDeque<FinishedAnswer>,
    /// Number of their parts.
    ///
    /// Invariant: at most `MAX_HELD_PARTS`, unless there is only one answer.
    parts: usize,
}

impl AnswerCollector {
    /// Holds an answer back; returns whether it is the only one.
    ///
    /// The oldest answers are dropped if there are too many, and speak for no part.
    pub fn note(&mut self, answer: FinishedAnswer) -> bool {
        self.parts += answer.parts.len();
        self.answers.push_back(answer);
        while self.parts > MAX_HELD_PARTS && self.answers.len() > 1 {
            self.pop_first();
        }
        self.answers.len() == 1
    }

    /// When the first answer is outlived; `None` if there is none.
    #[must_use]
    pub fn due_at(&self) -> Option<TimePoint> {
        self.answers.front().map(|it| it.at + SURVIVAL_SPAN)
    }

    /// Takes the answers that their backend servers have outlived.
    pub fn take_outlived(&mut self, now: TimePoint) -> Vec<FinishedAnswer> {
        let mut outlived = Vec::new();
        while self.due_at().is_some_and(|due_at| due_at <= now) {
            outlived.extend(self.pop_first());
        }
        outlived
    }

    /// Whether answers of this backend server are held back.
    #[must_use]
    pub fn holds(&self, backend: &BackendIncarnation) -> bool {
        self.answers.iter().any(|it| it.backend == *backend)
    }

    /// Takes the answers of a backend server that has crashed.
    pub fn take_of(&mut self, crashed: &BackendIncarnation) -> Vec<FinishedAnswer> {
        let answers = std::mem::take(&mut self.answers).into_iter();
        let (taken, kept) = answers.partition::<Vec<_>, _>(|it| it.backend == *crashed);
        self.answers = kept.into();
        self.parts -= taken.iter().map(|it| it.parts.len()).sum::<usize>();
        taken
    }

    fn pop_first(&mut self) -> Option<FinishedAnswer> {
        let first = self.answers.pop_front()?;
        self.parts -= first.parts.len();
        Some(first)
    }
}
