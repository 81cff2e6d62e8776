//! The record of a group in the key-value service.

use std::sync::Arc;

use celerycrank_types::{Incarnation, VmId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{AgentLife, ExpertMap, MemberIndex};

/// Members of a group that fit without an allocation.
const USUAL_MEMBERS: usize = 8;

/// One incarnation of a group, written once by compare-and-swap.
///
/// Invariant: the incarnation is that of the record it replaced plus one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Who wrote the record; settles a lost answer to the write.
    #[serde(rename = "former")]
    pub writer: AgentLife,
    /// Who takes part, by member index.
    #[serde(rename = "seats")]
    pub assignments: SmallVec<[MemberAssignment; USUAL_MEMBERS]>,
    /// The map in force from step 0 of the incarnation.
    pub map: Arc<ExpertMap>,
}

impl GroupRecord {
    /// The seat of a member.
    #[must_use]
    pub fn assignment(&self, member: MemberIndex) -> Option<&MemberAssignment> {
        self.assignments.get(usize::from(member.0))
    }
}

/// Which agent takes a member's place.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberAssignment {
    /// The VM on which the agent runs.
    pub vm: VmId,
    /// The agent's life.
    #[serde(rename = "life")]
    pub agent_incarnation: AgentLife,
}

/// A group's record with the service's own version of it, 0 if there is none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The version that a compare-and-swap must name.
    pub revision: u64,
    /// The record, if the group was ever formed.
    pub record: Option<Arc<GroupRecord>>,
}

/// What the key-value service answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordAnswer {
    /// The record that was read.
    Found(StoredRecord),
    /// The write took effect.
    Written,
    /// The record had changed; the write had no effect.
    Conflict,
    /// No answer: a write may have taken effect or not.
    Unavailable,
}
