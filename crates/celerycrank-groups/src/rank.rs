//! The arm-and-hold protocol, for engines that switch maps themselves at an armed step.
//!
//! The engines form the group and count its steps. Each rank has an agent that sends orders to
//! that rank only. The agent of the first rank is the leader: it has every rank prepare a map,
//! holds the group before a step, has every rank armed for that step, and releases the group
//! once all ranks are armed. An order may get no answer and still be executed seconds later.
//! Every order therefore carries the rank's count of accepted orders, like a compare-and-swap: of
//! all orders with the same count, at most one is ever executed.
//!
//! Nothing here performs I/O or reads a clock.

mod agent;
mod delta;
mod leader;
mod liveness;
mod map_exchange;
mod map_tracker;
mod member;
mod message;
mod monitor;
mod order;
mod output;
mod pacer;
mod report;
mod search;
mod step_clock;
mod version;

pub use crate::rank::{
    agent::RankAgent,
    delta::MapDelta,
    leader::{LeaderEvent, RankLeader},
    member::RankMember,
    message::{RankAttemptId, RankMessage},
    monitor::{CountWindow, LoadMonitor, MapProposal},
    order::{OrderAnswer, RankAction, RankOrder},
    output::{RankOutput, RankOutputs, RankTimes},
    pacer::LinkPacer,
    report::{ArmedSwitch, RankExpertLists, RankPlace, RankReport},
    search::SearchBackoff,
};
