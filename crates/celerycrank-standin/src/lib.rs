//! Stand-ins for the platform and backend servers, never shipped.
//!
//! Each runs as a process or inside a test, on a port chosen by the system, and takes
//! orders to misbehave on paths below `/standin/`.

mod engine;
mod key_value;
mod ledger;
mod rank_group;
mod server;
mod vm_list;

/// Header that names a request at each hop.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

pub use crate::{
    engine::{EngineCounts, EngineFaults, EngineOptions, EngineStandin},
    key_value::{KeyValueCounts, KeyValueFaults, KeyValueStandin, OutageKind},
    ledger::{AnswerFaultKind, LedgerFaults, LedgerRecord, LedgerStandin},
    rank_group::{RankGroupCounts, RankGroupFaults, RankGroupOptions, RankGroupStandin},
    server::{HttpAnswer, HttpCall, HttpHandler, StandinServer},
    vm_list::{ListedOffer, ListedVm, VmListStandin},
};
