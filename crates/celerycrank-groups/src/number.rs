//! Identifiers and sequence numbers of steps, maps, members and attempts.

use std::fmt;

use celerycrank_types::{Incarnation, number_type};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

number_type! {
    /// A lock-step step, counted from 0 in each incarnation of a group.
    StepNumber;
    /// The version of a map; a later map of a group has a higher one.
    MapVersion;
    /// Counts the attempts of one leader in one incarnation.
    AttemptNumber;
    /// Numbers the requests of one agent to the key-value service for its group's record.
    RecordRequestId;
    /// One run of an agent process; a later run for the same rank has a higher number.
    AgentIncarnation;
    /// One formation of a group's engines by the platform; the next one begins with the initial
    /// map and no switch in progress.
    ///
    /// [`Incarnation`] in turn numbers the runs of a process and, in the formation protocol, the
    /// records of a group.
    GroupEpoch;
    /// The number of orders that a rank has accepted since it started.
    OrderSequence;
}

/// The index of a member of a group: an agent in the vote protocol, a rank in the arm-and-hold
/// protocol.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemberIndex(pub u16);

impl fmt::Display for MemberIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A set of members of one group, of any size.
#[derive(Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "SmallVec<[u64; 2]>", into = "SmallVec<[u64; 2]>")]
pub struct MemberSet {
    /// One bit a member, the lowest bit of the first word first.
    ///
    /// Invariant: the last word is not 0, so that equal sets are equal word by word.
    words: SmallVec<[u64; 2]>,
}

impl fmt::Debug for MemberSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter().map(|it| it.0)).finish()
    }
}

impl From<SmallVec<[u64; 2]>> for MemberSet {
    fn from(words: SmallVec<[u64; 2]>) -> Self {
        let mut set = Self { words };
        set.trim();
        set
    }
}

impl From<MemberSet> for SmallVec<[u64; 2]> {
    fn from(set: MemberSet) -> Self {
        set.words
    }
}

impl MemberSet {
    /// The set of the first `count` members.
    #[must_use]
    pub fn first_n(count: usize) -> Self {
        let mut words = SmallVec::from_elem(u64::MAX, count / WORD_BITS);
        let rest = count % WORD_BITS;
        if rest > 0 {
            words.push((1 << rest) - 1);
        }
        Self { words }
    }

    /// The set of one member.
    #[must_use]
    pub fn only(member: MemberIndex) -> Self {
        let mut set = Self::default();
        set.insert(member);
        set
    }

    /// The members of either set.
    #[must_use]
    pub fn union(&self, other: &Self) -> Self {
        let (long, short) = if self.words.len() >= other.words.len() {
            (self, other)
        } else {
            (other, self)
        };
        let mut set = long.clone();
        for (word, more) in set.words.iter_mut().zip(&short.words) {
            *word |= more;
        }
        set
    }

    /// The members of both sets.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        let pairs = self.words.iter().zip(&other.words);
        pairs.map(|(a, b)| a & b).collect::<SmallVec<_>>().into()
    }

    /// The members of this set that are not in the other.
    #[must_use]
    pub fn difference(&self, other: &Self) -> Self {
        let mut set = self.clone();
        for (word, removed) in set.words.iter_mut().zip(&other.words) {
            *word &= !removed;
        }
        set.trim();
        set
    }

    /// Whether the set has no member.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// The number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        let ones = self.words.iter().map(|word| word.count_ones() as usize);
        ones.sum()
    }

    /// Whether the set has this member.
    #[must_use]
    pub fn contains(&self, member: MemberIndex) -> bool {
        let (index, bit) = position(member);
        self.words.get(index).is_some_and(|word| word & bit != 0)
    }

    /// Adds a member.
    pub fn insert(&mut self, member: MemberIndex) {
        let (index, bit) = position(member);
        if index >= self.words.len() {
            self.words.resize(index + 1, 0);
        }
        self.words[index] |= bit;
    }

    /// The members in order.
    pub fn iter(&self) -> impl Iterator<Item = MemberIndex> {
        let bits = u16::try_from(self.words.len() * WORD_BITS).unwrap_or(u16::MAX);
        let members = (0..bits).map(MemberIndex);
        members.filter(|member| self.contains(*member))
    }

    /// Restores the invariant of [`Self::words`].
    fn trim(&mut self) {
        while self.words.last() == Some(&0) {
            self.words.pop();
        }
    }
}

/// The number of members in one word of a [`MemberSet`].
const WORD_BITS: usize = u64::BITS as usize;

/// The word and the bit of a member in a [`MemberSet`].
fn position(member: MemberIndex) -> (usize, u64) {
    let index = usize::from(member.0);
    (index / WORD_BITS, 1 << (index % WORD_BITS))
}

/// Identifies one expert map.
///
/// Two leaders may assign the same version to different maps; the digest distinguishes them.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MapId {
    /// The version of the map.
    pub version: MapVersion,
    /// A hash of the map's content.
    pub digest: u64,
}

impl fmt::Display for MapId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.version, self.digest)
    }
}

/// Identifies one attempt to switch a group's map.
///
/// Invariant: a leader uses each number once in an incarnation, in increasing order.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptId {
    /// The group's incarnation; the attempt ends with it.
    pub incarnation: Incarnation,
    /// The member that leads the attempt.
    pub lead: MemberIndex,
    /// The number of the attempt among those of this leader.
    pub number: AttemptNumber,
}
