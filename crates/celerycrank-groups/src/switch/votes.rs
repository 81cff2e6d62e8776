//! Votes on one attempt, and the verdict that follows from them.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{AttemptId, MemberIndex, MemberSet, StepNumber};

/// What the votes on an attempt amount to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwitchVerdict {
    /// Every member voted yes: the new map is in force from its first step.
    Commit,
    /// Some member voted no: the old map stays in force.
    Abort,
}

/// The votes on one attempt, as far as they are known to one process.
///
/// A vote is never taken back, so boards merge by union in any order and any number of
/// times, and the verdict is a function of the votes alone: nobody decides it.
///
/// Invariant: no member is in both sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteSet {
    /// The attempt.
    pub attempt: AttemptId,
    /// The first step that the attempt's map would be used in, once it is known.
    pub first: Option<StepNumber>,
    /// Who holds the weights and will not pass the first step without the verdict.
    pub yes: MemberSet,
    /// Who will never vote yes.
    pub no: MemberSet,
}

impl VoteSet {
    /// A votes without votes.
    #[must_use]
    pub const fn new(attempt: AttemptId, first: Option<StepNumber>) -> Self {
        Self {
            attempt,
            first,
            yes: MemberSet::first(0),
            no: MemberSet::first(0),
        }
    }

    /// Records a member's vote.
    ///
    /// # Panics
    ///
    /// Panics if the member has voted otherwise: two maps could come into force.
    pub fn vote(&mut self, member: MemberIndex, verdict: SwitchVerdict) {
        match verdict {
            SwitchVerdict::Commit => self.yes.insert(member),
            SwitchVerdict::Abort => self.no.insert(member),
        }
        self.check();
    }

    /// Adds the votes of another votes of the same attempt.
    ///
    /// # Panics
    ///
    /// Panics if the boards contradict each other.
    pub fn merge(&mut self, other: &Self) {
        assert_eq!(self.attempt, other.attempt, "boards of two attempts");
        self.first = match (self.first, other.first) {
            (Some(mine), Some(theirs)) => {
                assert_eq!(mine, theirs, "two first steps in one attempt");
                Some(mine)
            }
            (mine, theirs) => mine.or(theirs),
        };
        self.yes = self.yes.union(other.yes);
        self.no = self.no.union(other.no);
        self.check();
    }

    /// What the votes amount to, if they suffice, in a group of these members.
    #[must_use]
    pub fn verdict(&self, members: MemberSet) -> Option<SwitchVerdict> {
        if !self.no.is_empty() {
            return Some(SwitchVerdict::Abort);
        }
        (self.yes == members).then_some(SwitchVerdict::Commit)
    }

    /// Whether this votes has a vote that the other lacks.
    #[must_use]
    pub const fn has_votes_missing_from(&self, other: &Self) -> bool {
        !self.yes.difference(other.yes).is_empty() || !self.no.difference(other.no).is_empty()
    }

    fn check(&self) {
        let both = self.yes.intersection(self.no);
        assert!(both.is_empty(), "a member voted both ways: {self:?}");
    }
}

/// Boards that a member remembers, so that late askers get the votes they missed.
const MAX_VOTE_SETS: usize = 8;

/// The latest boards of one member.
///
/// A votes that was dropped only costs its asker a re-formed group.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct VoteHistory(SmallVec<[VoteSet; MAX_VOTE_SETS]>);

impl VoteHistory {
    /// The votes of an attempt, for reading.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&VoteSet> {
        self.0.iter().find(|votes| votes.attempt == attempt)
    }

    /// The votes of an attempt, for adding votes.
    pub fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut VoteSet> {
        self.0.iter_mut().find(|votes| votes.attempt == attempt)
    }

    /// Adds the votes of a new attempt; beyond the limit the oldest but `kept` is dropped.
    ///
    /// # Panics
    ///
    /// Never: of several boards at most one is kept.
    pub fn insert(&mut self, votes: VoteSet, kept: Option<AttemptId>) {
        if self.0.len() == MAX_VOTE_SETS {
            let oldest = self.0.iter().position(|votes| Some(votes.attempt) != kept);
            self.0
                .remove(oldest.expect("one of several boards is not kept"));
        }
        self.0.push(votes);
    }
}
