//! Decisions about each client account's share: grants and fair queues.
//!
//! A [`FairQueue`] stands in each agent, where the load really is, and keeps the accounts'
//! parts of contended capacity. Nothing here performs I/O or reads a clock.

mod account;
mod meter;
mod queue;
mod request;

pub use crate::{
    queue::{FairQueue, QueueSettings},
    request::{QueueRefusal, QueueRequest, QueueStep, StartedRequest},
};
