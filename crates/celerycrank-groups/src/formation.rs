//! Forming a group: each incarnation is one record, written by compare-and-swap.

mod chart;
mod former;
mod output;
mod record;

pub use self::{
    chart::FormationState,
    former::GroupFormer,
    output::{FormationOutput, FormationTimes},
    record::{GroupRecord, MemberSeat, RecordAnswer, StoredRecord},
};
