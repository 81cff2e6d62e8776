//! The votes on an attempt and the verdict that they imply.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{AttemptId, MemberIndex, MemberSet, StepNumber};

/// The outcome of the votes on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwitchVerdict {
    /// Every member voted yes: the new map is active from its first step.
    Commit,
    /// A member voted no: the old map stays active.
    Abort,
}

/// The votes on one attempt that one process knows of.
///
/// A vote is never revoked. Vote sets can therefore be merged by union in any order and any
/// number of times, and the verdict depends on the votes alone: there is no coordinator that
/// decides it.
///
/// Invariant: no member is in both sets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteSet {
    /// The attempt.
    pub attempt: AttemptId,
    /// The first step that would use the attempt's map, once it is known.
    pub first: Option<StepNumber>,
    /// Members that have loaded the weights and will not begin the first step until the verdict is
    /// known.
    pub yes: MemberSet,
    /// Members that have voted no.
    pub no: MemberSet,
}

impl VoteSet {
    /// Creates an empty vote set.
    #[must_use]
    pub fn new(attempt: AttemptId, first: Option<StepNumber>) -> Self {
        Self {
            attempt,
            first,
            yes: MemberSet::default(),
            no: MemberSet::default(),
        }
    }

    /// Records a member's vote, given as the verdict that it supports: commit for yes, abort for
    /// no.
    ///
    /// # Panics
    ///
    /// Panics if the member has cast the opposite vote, since two maps could then be active.
    pub fn vote(&mut self, member: MemberIndex, verdict: SwitchVerdict) {
        match verdict {
            SwitchVerdict::Commit => self.yes.insert(member),
            SwitchVerdict::Abort => self.no.insert(member),
        }
        self.assert_disjoint();
    }

    /// Adds the votes of another vote set of the same attempt.
    ///
    /// # Panics
    ///
    /// Panics if the vote sets contradict each other.
    pub fn merge(&mut self, other: &Self) {
        assert_eq!(self.attempt, other.attempt, "vote sets of two attempts");
        self.first = match (self.first, other.first) {
            (Some(mine), Some(theirs)) => {
                assert_eq!(mine, theirs, "an attempt has two first steps");
                Some(mine)
            }
            (mine, theirs) => mine.or(theirs),
        };
        self.yes = self.yes.union(&other.yes);
        self.no = self.no.union(&other.no);
        self.assert_disjoint();
    }

    /// The verdict in a group of these members, if the votes suffice for one.
    #[must_use]
    pub fn verdict(&self, members: &MemberSet) -> Option<SwitchVerdict> {
        if !self.no.is_empty() {
            return Some(SwitchVerdict::Abort);
        }
        (self.yes == *members).then_some(SwitchVerdict::Commit)
    }

    /// Whether this vote set has a vote that the other lacks.
    #[must_use]
    pub fn has_votes_missing_from(&self, other: &Self) -> bool {
        !self.yes.difference(&other.yes).is_empty() || !self.no.difference(&other.no).is_empty()
    }

    fn assert_disjoint(&self) {
        let both = self.yes.intersection(&self.no);
        assert!(both.is_empty(), "a member voted both yes and no: {self:?}");
    }
}

/// The number of vote sets that a member retains, so that a member that asks late still gets
/// the votes that it missed.
const MAX_VOTE_SETS: usize = 8;

/// The latest vote sets of one member.
///
/// If a member asks for a vote set that was evicted, the only cost is that the group has to be
/// formed again.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct VoteHistory(SmallVec<[VoteSet; MAX_VOTE_SETS]>);

impl VoteHistory {
    /// The votes on an attempt.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&VoteSet> {
        self.0.iter().find(|votes| votes.attempt == attempt)
    }

    /// The votes on an attempt, for modification.
    pub fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut VoteSet> {
        self.0.iter_mut().find(|votes| votes.attempt == attempt)
    }

    /// Adds the votes on a new attempt. If full, evicts the oldest vote set other than that of
    /// `kept`.
    ///
    /// # Panics
    ///
    /// Panics if every vote set is that of `kept`, which a history without duplicates rules out.
    pub fn insert(&mut self, votes: VoteSet, kept: Option<AttemptId>) {
        if self.0.len() == MAX_VOTE_SETS {
            let oldest = self.0.iter().position(|votes| Some(votes.attempt) != kept);
            self.0
                .remove(oldest.expect("at most one vote set is exempt from eviction"));
        }
        self.0.push(votes);
    }
}
