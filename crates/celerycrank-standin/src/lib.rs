//! Stand-ins for the platform and backend servers, never shipped.
//!
//! Each runs as a process or inside a test, on a port chosen by the system, and takes
//! orders to misbehave on paths below `/standin/`.

mod key_value;
mod server;
mod vm_list;

pub use crate::{
    key_value::{KeyValueCounts, KeyValueFaults, KeyValueStandin, OutageKind},
    server::{HttpAnswer, HttpCall, HttpHandler, StandinServer},
    vm_list::{ListedOffer, ListedVm, VmListStandin},
};
