//! The switch protocol: one expert map in each step, by unanimity.

mod board;
mod chart;
mod lead;
mod member;
mod output;
mod time;

pub use self::{
    board::{BoardHistory, SwitchVerdict, VoteBoard},
    chart::MemberState,
    lead::SwitchLead,
    member::SwitchMember,
    output::MemberOutput,
    time::SwitchTimes,
};
