//! Decisions about each client account's share: grants and fair queues.
//!
//! Each account has a home among the entries, whose [`GrantHome`] hands out the account's
//! share of the whole fleet, and what its plan allows beyond, as tokens that the entries'
//! [`GrantHolder`]s spend. A [`FairQueue`] stands in each agent, where the load really is; it
//! serves what is within a share before the rest, each in weighted fair order. Nothing here performs I/O or reads a clock.

mod account;
mod deadline_queue;
mod grant;
mod holder;
mod home;
mod queue;
mod rate_estimator;
mod request;
mod weighted_fair;

pub use crate::{
    grant::{AccountAllowance, DemandReport, TokenGrant, home_of},
    holder::{Admission, GRANT_LIFETIME, GRANT_TIMEOUT, GrantHolder},
    home::GrantHome,
    queue::{FairQueue, QueueSettings},
    request::{QueueRefusal, QueueRequest, QueueStep, ShareBand, StartedRequest},
};
