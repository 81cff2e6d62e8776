//! The switch protocol: one expert map in each step, by unanimity.

mod board;
mod lead;
mod member;
mod output;
mod time;

pub use self::{
    board::{BoardHistory, SwitchVerdict, VoteBoard},
    lead::SwitchLead,
    member::{MemberState, SwitchMember},
    output::MemberOutput,
    time::SwitchTimes,
};
