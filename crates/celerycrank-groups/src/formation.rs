//! Forming a group: each incarnation is one record, written by compare-and-swap.

mod former;
mod output;
mod record;

pub use self::{
    former::{FormationState, GroupFormer},
    output::{FormationOutput, FormationTimes},
    record::{GroupRecord, MemberSeat, RecordAnswer, StoredRecord},
};
