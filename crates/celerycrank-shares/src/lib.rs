//! Admission by client accounts' shares: token grants and fair queues.
//!
//! One entry is the home of each account. Its [`GrantHome`] grants the account's share of the
//! whole fleet, and what its plan allows beyond the share, as tokens that the [`GrantHolder`]s
//! of the entries spend. Each agent has a [`FairQueue`], since the actual load is at the backend
//! servers. It serves requests within their account's share first, by deadline, and then the
//! rest in weighted fair order. The crate performs no I/O and reads no clock.

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
