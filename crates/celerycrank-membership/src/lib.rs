//! Which configuration is in force, which backend servers are live, which stops are
//! under way.
//!
//! Every process keeps a [`VersionedDocument`] that only ever moves forward, inside a
//! [`ConfigurationReplica`]. A few entries a
//! failure domain, the [`WatcherAssignments`], watch the key-value service; a
//! [`OfferScheduler`] decides whom they tell, and [`ConfigurationDelta`] keeps what they
//! send small. A process that starts while the service is down learns from a
//! [`BootstrapQuorum`]. The [`MemberTable`] merges all evidence about backend servers by
//! one rule, and the [`DrainTracker`] runs a process's own planned stop.

mod bootstrap;
mod delta;
mod drain;
mod member;
mod offer_scheduler;
mod replica;
mod stop;
mod stops_record;
mod versioned;
mod watchers;

pub use crate::{
    bootstrap::{BootstrapOutcome, BootstrapQuorum},
    delta::{ConfigurationDelta, DeltaError, DeltaLog, UpdateMessage},
    drain::{DrainEvent, DrainState, DrainTracker, PendingWork},
    member::{
        MemberEvidence, MemberState, MemberTable, MemberTimings, MemberView, RampWeight,
        VmDescriptor, VmRole,
    },
    offer_scheduler::{OfferScheduler, OfferTimings},
    replica::{ConfigurationReplica, OfferReplyAction, OfferTargets},
    stop::{RoleShortfall, StopImpact, StopTarget, StopTargetError},
    stops_record::{PlannedStop, StopsRecord},
    versioned::{OfferOutcome, RevisionComparison, VersionedDocument},
    watchers::{PeerDescriptor, WATCHERS_PER_DOMAIN, WatcherAssignments},
};
