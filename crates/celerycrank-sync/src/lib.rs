//! Runs the decisions about configuration and membership in a process.
//!
//! [`SyncState`] holds the keeper of the configuration and, at an entry, the member
//! table; the tasks beside it read the platform's services and make offers to peers.

mod list;
mod offer;
mod service;
mod state;

pub use crate::{
    list::{follow_list, follow_own_stop},
    offer::make_offers,
    service::follow_service,
    state::{SyncCounters, SyncState},
};
