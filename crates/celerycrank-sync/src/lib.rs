//! Runs the decisions about configuration and membership in a process.
//!
//! [`SyncState`] holds the replica of the configuration and, at an entry, the member
//! table; the tasks beside it read the platform's services and make offers to peers.

mod key_value;
mod offer;
mod state;
mod vm_list;

pub use crate::{
    key_value::sync_key_value_records,
    offer::send_offers,
    state::{SyncCounters, SyncState},
    vm_list::{watch_own_stop, watch_vm_list},
};
