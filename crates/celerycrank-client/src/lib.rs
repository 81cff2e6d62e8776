//! Clients of the platform's key-value service and VM list.
//!
//! The key-value service uses one of two protocols: etcd's v3 JSON protocol, or that of the
//! hosting platform. The VM list is a Kubernetes `EndpointSlice` list. Clients are cheap to clone
//! and must stay on one arbiter thread.

mod batch;
mod body;
mod call;
mod client;
mod error;
mod feed;
mod gateway;
mod lease;
mod line;
mod platform;
mod vm;
mod vm_feed;
mod watch;

pub use crate::{
    batch::{ChangeBatch, ReadPrefixes},
    call::{CallCounters, KeyValueOperation},
    client::{
        Expected, KeyValueClient, KeyValueProtocol, MAX_VALUE_BYTES, RangeSnapshot, SwapOutcome,
    },
    error::{AnswerError, KeyValueError, SendError},
    feed::RecordFeed,
    lease::LeaseGrant,
    vm::{VmListClient, VmListError, VmOffer, VmRecord, VmState},
    vm_feed::VmListFeed,
    watch::{KeyValueWatch, WatchTarget},
};
pub use celerycrank_types::{KeyValueRecord, LeaseId, ModRevision, WatchEvent};
