//! The crashes that count against one prompt part, and whether they suffice to refuse it.

use crate::{
    answer_history::AnswerHistory,
    crash::PartPresence,
    evidence::ObservedCrash,
    occasion::{OccasionCount, SeparateCount},
};

/// Number of crashes before an answer from which on a part is suspect, if no answer to a prompt with
/// it has begun before.
const MIN_CRASHES_OF_NEW_PART: u32 = 2;

/// Number of separate crashes, before or in an answer, from which on a part is suspect, if no whole
/// answer to a prompt with it is known.
///
/// More, since sound prompts are in the middle of an answer longer than before it, and one that is cut
/// off twice must not be refused.
const MIN_CRASHES_WITHOUT_WHOLE_ANSWER: u32 = 4;

/// Number of occasions of crashes before an answer from which on any other part is suspect.
const MIN_OCCASIONS_OF_KNOWN_PART: u32 = 4;

/// Number of occasions of crashes, before or in an answer, from which on any other part is suspect.
const MIN_OCCASIONS_DESPITE_WHOLE_ANSWER: u32 = 6;

/// Crashes of one kind at which a part was present.
#[derive(Debug, Default, Clone, Copy)]
struct CrashCount {
    crashes: u32,
    occasions: OccasionCount,
    separate: SeparateCount,
}

impl CrashCount {
    fn add(&mut self, crash: &ObservedCrash) {
        let at = crash.moment.at;
        self.crashes += 1;
        self.occasions.add(at);
        self.separate.add(at, crash.report.is_joint());
    }
}

/// The crashes that count against a part.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct PartEvidence {
    /// Those at which an answer had not begun, and since which none has.
    unanswered: CrashCount,
    /// Those that no whole answer has followed, whether or not answers had begun.
    all: CrashCount,
    /// The largest position of the part in the prompts of these crashes.
    position: u32,
    /// Number of these prompts.
    prompts: u32,
}

impl PartEvidence {
    /// Adds a crash that no whole answer has followed.
    pub(crate) fn add(
        &mut self,
        crash: &ObservedCrash,
        presence: &PartPresence,
        answers: Option<&AnswerHistory>,
    ) {
        self.all.add(crash);
        self.position = self.position.max(presence.position);
        self.prompts = self.prompts.saturating_add(presence.prompts());
        let has_begun = answers.is_some_and(|it| it.has_begun_after(&crash.moment));
        if presence.unanswered > 0 && !has_begun {
            self.unanswered.add(crash);
        }
    }

    /// Whether the part is refused, in view of the answers that are known.
    pub(crate) fn is_suspect(&self, answers: Option<&AnswerHistory>) -> bool {
        let is_suspect_before = if answers.is_some() {
            self.unanswered.occasions.total() >= MIN_OCCASIONS_OF_KNOWN_PART
        } else {
            self.unanswered.crashes >= MIN_CRASHES_OF_NEW_PART
        };
        let is_suspect_within = if answers.is_some_and(AnswerHistory::has_whole) {
            self.all.occasions.total() >= MIN_OCCASIONS_DESPITE_WHOLE_ANSWER
        } else {
            self.all.separate.total() >= MIN_CRASHES_WITHOUT_WHOLE_ANSWER
        };
        is_suspect_before || is_suspect_within
    }

    /// Number of crashes that no whole answer has followed.
    pub(crate) const fn crashes(&self) -> u32 {
        self.all.crashes
    }

    /// The strength of the evidence; larger is stronger.
    ///
    /// Fewer sound prompts share a later part.
    pub(crate) const fn strength(&self) -> (u32, u32, u32) {
        (self.all.crashes, self.position, self.prompts)
    }
}
