//! Decisions about each client account's share: grants and fair queues.
//!
//! A [`FairQueue`] stands in each agent, where the load really is, and keeps the accounts'
//! parts of contended capacity. A plan's rate cap holds across entries: each capped account
//! has a home among them, whose [`GrantHome`] hands out tokens that the entries'
//! [`GrantHolder`]s spend. Nothing here performs I/O or reads a clock.

mod account;
mod grant;
mod holder;
mod home;
mod meter;
mod queue;
mod request;

pub use crate::{
    grant::{DemandReport, TokenGrant, home_of},
    holder::{ANSWER_TIMEOUT, Admission, GRANT_LIFE, GrantHolder},
    home::GrantHome,
    queue::{FairQueue, QueueSettings},
    request::{QueueRefusal, QueueRequest, QueueStep, StartedRequest},
};
