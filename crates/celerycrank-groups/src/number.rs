//! Identifiers and sequence numbers of steps, maps, members and attempts.

use std::fmt;

use celerycrank_types::{Incarnation, number_type};
use serde::{Deserialize, Serialize};

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
///
/// Invariant: below [`MemberSet::CAPACITY`].
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemberIndex(pub u8);

impl fmt::Display for MemberIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A set of members of one group.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemberSet(u64);

impl MemberSet {
    /// The largest number of members in one group.
    pub const CAPACITY: usize = u64::BITS as usize;

    /// The set of the first `count` members.
    ///
    /// # Panics
    ///
    /// Panics if the count exceeds [`Self::CAPACITY`].
    #[must_use]
    pub const fn first_n(count: usize) -> Self {
        assert!(count <= Self::CAPACITY, "a group has at most 64 members");
        if count == Self::CAPACITY {
            return Self(u64::MAX);
        }
        Self((1 << count) - 1)
    }

    /// The set of one member.
    #[must_use]
    pub const fn only(member: MemberIndex) -> Self {
        Self(1 << member.0)
    }

    /// The members of either set.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// The members of both sets.
    #[must_use]
    pub const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// The members of this set that are not in the other.
    #[must_use]
    pub const fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Whether the set has no member.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether the set has this member.
    #[must_use]
    pub const fn contains(self, member: MemberIndex) -> bool {
        self.0 & (1 << member.0) != 0
    }

    /// Adds a member.
    pub const fn insert(&mut self, member: MemberIndex) {
        self.0 |= 1 << member.0;
    }

    /// The members in order.
    pub fn iter(self) -> impl Iterator<Item = MemberIndex> {
        (0..=u8::MAX)
            .take(Self::CAPACITY)
            .map(MemberIndex)
            .filter(move |member| self.contains(*member))
    }
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
