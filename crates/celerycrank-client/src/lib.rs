//! Clients of the platform's key-value service and VM list.
//!
//! The key-value service speaks one of two wire forms: etcd's v3 JSON protocol, or that of
//! the users' platform. The VM list is a Kubernetes `EndpointSlice` list. Clients are cheap
//! to clone and stay on one arbiter.

mod batch;
mod call;
mod client;
mod exchange;
mod fault;
mod feed;
mod gateway;
mod lease;
mod line;
mod vm;
mod vm_feed;
mod watch;

pub use crate::{
    batch::ChangeBatch,
    call::{CallCounters, CallKind},
    client::{Expected, KeyValueClient, MAX_VALUE_BYTES, RangeSnapshot, SwapOutcome, WireForm},
    fault::{AnswerFault, KeyValueFault, SendFault},
    feed::RecordFeed,
    lease::LeaseGrant,
    vm::{VmListClient, VmListFault, VmOffer, VmRecord, VmState},
    vm_feed::VmListFeed,
    watch::{KeyValueWatch, WatchTarget},
};
pub use celerycrank_types::{KeyValueRecord, LeaseId, ModRevision, WatchEvent};
