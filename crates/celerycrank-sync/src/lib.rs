//! Keeps the configuration and the membership of a process up to date.
//!
//! [`SyncState`] holds the replica of the configuration and, in an entry, the member
//! table. The tasks of this crate read the platform's services and send offers to peers.

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
