//! The switch protocol: one expert map in each step, by unanimity.

mod board;
mod lead;
mod member;
mod time;

pub use self::{
    board::{BoardHistory, SwitchVerdict, VoteBoard},
    lead::SwitchLead,
    member::{MemberOutput, MemberState, SwitchMember},
    time::SwitchTimes,
};
