//! The record of a group in the key-value service.

use std::sync::Arc;

use celerycrank_types::{Incarnation, VmId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{AgentIncarnation, ExpertMap, MemberIndex};

/// The number of members that are stored without a heap allocation.
const USUAL_MEMBERS: usize = 8;

/// The record of one incarnation of a group, written once by compare-and-swap.
///
/// Invariant: the incarnation is one higher than that of the record it replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The incarnation of the group.
    pub incarnation: Incarnation,
    /// The agent incarnation that wrote the record. An agent whose write got no answer
    /// recognizes its own record by this field.
    #[serde(rename = "former")]
    pub writer: AgentIncarnation,
    /// The assignment of each member, by member index.
    #[serde(rename = "seats")]
    pub assignments: SmallVec<[MemberAssignment; USUAL_MEMBERS]>,
    /// The active map from step 0 of the incarnation.
    pub map: Arc<ExpertMap>,
}

impl GroupRecord {
    /// The assignment of a member.
    #[must_use]
    pub fn assignment(&self, member: MemberIndex) -> Option<&MemberAssignment> {
        self.assignments.get(usize::from(member.0))
    }
}

/// The agent that is assigned to a member index.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberAssignment {
    /// The VM on which the agent runs.
    pub vm: VmId,
    /// The incarnation of the agent.
    #[serde(rename = "life")]
    pub agent_incarnation: AgentIncarnation,
}

/// A group's record with its revision in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The revision that a compare-and-swap must name; 0 if there is no record.
    pub revision: u64,
    /// The record, or `None` if the group was never formed.
    pub record: Option<Arc<GroupRecord>>,
}

/// An answer of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordAnswer {
    /// The record was read.
    Found(StoredRecord),
    /// The write took effect.
    Written,
    /// The stored revision differed, so the write had no effect.
    Conflict,
    /// No answer arrived; a write may or may not have taken effect.
    Unavailable,
}
