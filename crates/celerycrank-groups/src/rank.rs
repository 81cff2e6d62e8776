//! Moves of experts in a group whose engines switch maps by themselves.
//!
//! The engines form the group and count its steps. An agent beside each rank orders that rank
//! alone, and the agent of the first rank leads: it has every rank prepare a map, lets the
//! group hold before a step, has every rank armed for that step, and releases the group once
//! all are. An order may get no answer and be carried out seconds later, so every order names
//! the number of orders that the rank has accepted: of all orders that name the same number,
//! at most one is ever carried out.
//!
//! Nothing here does I/O or reads a clock.

mod agent;
mod leader;
mod liveness;
mod map_tracker;
mod member;
mod message;
mod monitor;
mod order;
mod output;
mod report;
mod version;

pub use crate::rank::{
    agent::RankAgent,
    leader::{LeaderEvent, RankLeader},
    member::RankMember,
    message::{RankAttemptId, RankMessage},
    monitor::{CountWindow, LoadMonitor, MapProposal},
    order::{OrderAnswer, RankAction, RankOrder},
    output::{RankOutput, RankOutputs, RankTimes},
    report::{ArmedSwitch, RankExpertLists, RankPlace, RankReport},
};
