//! Decisions about each client account's share: grants and fair queues.
//!
//! Each account has a home among the entries, whose [`GrantHome`] hands out the account's
//! share of the whole fleet, and what its plan allows beyond, as tokens that the entries'
//! [`GrantHolder`]s spend. A [`FairQueue`] stands in each agent, where the load really is; it
//! serves what is within a share before the rest, each in weighted fair order. Nothing here performs I/O or reads a clock.

mod account;
mod deadline;
mod grant;
mod holder;
mod home;
mod meter;
mod order;
mod queue;
mod request;

pub use crate::{
    grant::{AccountAllowance, DemandReport, TokenGrant, home_of},
    holder::{ANSWER_TIMEOUT, Admission, GRANT_LIFE, GrantHolder},
    home::GrantHome,
    queue::{FairQueue, QueueSettings},
    request::{QueueRefusal, QueueRequest, QueueStep, ShareBand, StartedRequest},
};
