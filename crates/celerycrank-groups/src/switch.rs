//! The vote protocol, for engines that the agents switch: an atomic commit by unanimous vote, so
//! that all ranks use the same expert map in each step.

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
