//! The answers to prompts with one part, and whether they followed a crash.

use celerycrank_types::{ModRevision, TimePoint};

/// When a crash happened, as far as one entry knows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashMoment {
    /// When this entry saw the crash, or first read a report of it.
    pub(crate) at: TimePoint,
    /// The revision of the first report that was read; `None` if there is none yet.
    pub(crate) recorded: Option<ModRevision>,
}

/// Whether whole answers to prompts with one part are known.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum WholeAnswers {
    /// None is known.
    #[default]
    Unknown,
    /// This entry has seen some, but not that a backend server has outlived one.
    Fresh,
    /// Some entry has seen one.
    Known,
}

/// The answers to prompts with one part that are known.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct AnswerHistory {
    /// When this entry last saw an answer begin.
    begun_at: Option<TimePoint>,
    /// When this entry last saw a whole answer that its backend server has outlived.
    whole_at: Option<TimePoint>,
    whole: WholeAnswers,
    /// The latest crash report after which any entry saw a whole answer; zero if there is none.
    cleared_up_to: ModRevision,
}

impl AnswerHistory {
    /// Records that an answer has begun.
    pub(crate) fn note_begun(&mut self, now: TimePoint) {
        self.begun_at = Some(now);
    }

    /// Records that this entry has just seen a whole answer.
    pub(crate) fn note_fresh(&mut self) {
        if self.whole == WholeAnswers::Unknown {
            self.whole = WholeAnswers::Fresh;
        }
    }

    /// Records that a backend server did not outlive its answer.
    pub(crate) fn withdraw_fresh(&mut self) {
        if self.whole == WholeAnswers::Fresh {
            self.whole = WholeAnswers::Unknown;
        }
    }

    /// Records that a backend server has outlived its whole answer of `at`.
    pub(crate) fn note_outlived(&mut self, at: TimePoint) {
        self.whole_at = self.whole_at.max(Some(at));
        self.whole = WholeAnswers::Known;
    }

    /// Records that some entry has seen a whole answer.
    pub(crate) fn note_known(&mut self) {
        self.whole = WholeAnswers::Known;
    }

    /// Records that a whole answer has followed all crashes up to a report.
    pub(crate) fn note_cleared(&mut self, up_to: ModRevision) {
        self.whole = WholeAnswers::Known;
        self.cleared_up_to = self.cleared_up_to.max(up_to);
    }

    /// Whether a whole answer is known, be it one that a backend server has yet to outlive.
    pub(crate) fn has_whole(&self) -> bool {
        self.whole != WholeAnswers::Unknown
    }

    /// Whether some entry has seen a whole answer that its backend server has outlived.
    pub(crate) fn is_known(&self) -> bool {
        self.whole == WholeAnswers::Known
    }

    /// Whether this entry has seen such an answer.
    pub(crate) fn is_outlived(&self) -> bool {
        self.whole_at.is_some()
    }

    /// Whether a whole answer is known to have followed all crashes up to a report.
    pub(crate) fn is_cleared_up_to(&self, revision: ModRevision) -> bool {
        self.cleared_up_to >= revision
    }

    /// Whether an answer began after a crash.
    pub(crate) fn has_begun_after(&self, crash: &CrashMoment) -> bool {
        self.begun_at.is_some_and(|at| at >= crash.at) || self.has_followed(crash)
    }

    /// Whether a whole answer followed a crash.
    pub(crate) fn has_followed(&self, crash: &CrashMoment) -> bool {
        let is_seen = self.whole_at.is_some_and(|at| at >= crash.at);
        let is_cleared = crash.recorded.is_some_and(|it| self.is_cleared_up_to(it));
        is_seen || is_cleared
    }
}
