//! Forming a group: each incarnation is one record, written by compare-and-swap.

mod former;
mod record;

pub use self::{
    former::{FormationOutput, FormationState, FormationTimes, GroupFormer},
    record::{GroupRecord, MemberSeat, RecordAnswer, StoredRecord},
};
