//! Clients of the platform's key-value service and VM list.
//!
//! The key-value service speaks etcd's v3 JSON protocol, the VM list is a Kubernetes
//! `EndpointSlice` list. Clients are cheap to clone and stay on one arbiter.

mod call;
mod client;
mod fault;
mod feed;
mod gateway;
mod lease;
mod line;
mod record;
mod vm;
mod vm_feed;
mod watch;

pub use crate::{
    call::{CallCounters, CallKind},
    client::{Expected, KeyValueClient, MAX_VALUE_BYTES, SwapOutcome},
    fault::{AnswerFault, KeyValueFault, SendFault},
    feed::RecordFeed,
    lease::{LeaseGrant, LeaseId},
    record::{KeyValueRecord, ModRevision, RangeSnapshot},
    vm::{VmListClient, VmListFault, VmOffer, VmRecord, VmState},
    vm_feed::VmListFeed,
    watch::{KeyValueWatch, WatchEvent, WatchTarget},
};
