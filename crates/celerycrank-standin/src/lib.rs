//! Stand-ins for the platform and backend servers, for tests and demos; never shipped.
//!
//! Each runs as a process or inside a test. It listens on a port chosen by the system
//! unless one is given, and accepts orders to inject faults on paths below `/standin/`.

mod engine;
mod key_value;
mod ledger;
mod rank_group;
mod server;
mod vm_list;

/// Header that carries the request id on every hop.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

pub use crate::{
    engine::{EngineCounts, EngineFaults, EngineOptions, EngineStandin},
    key_value::{KeyValueCounts, KeyValueFaults, KeyValueStandin, OutageKind},
    ledger::{AnswerFaultKind, LedgerFaults, LedgerRecord, LedgerStandin},
    rank_group::{RankGroupCounts, RankGroupFaults, RankGroupOptions, RankGroupStandin},
    server::{HttpAnswer, HttpCall, HttpHandler, StandinServer},
    vm_list::{ListedOffer, ListedVm, VmListStandin},
};
