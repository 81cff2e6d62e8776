//! The formation protocol: each incarnation of a group is one record, written by
//! compare-and-swap.

mod chart;
mod member;
mod output;
mod record;

pub use self::{
    chart::FormationState,
    member::FormationMember,
    output::{FormationOutput, FormationTimes},
    record::{GroupRecord, MemberAssignment, RecordAnswer, StoredRecord},
};
