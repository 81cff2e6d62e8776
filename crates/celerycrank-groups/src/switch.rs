//! The switch protocol: one expert map in each step, by unanimity.

mod chart;
mod leader;
mod member;
mod output;
mod time;
mod votes;

pub use self::{
    chart::MemberState,
    leader::SwitchLeader,
    member::SwitchMember,
    output::SwitchOutput,
    time::SwitchTimes,
    votes::{SwitchVerdict, VoteHistory, VoteSet},
};
