//! Propagation of the configuration, liveness of backend servers, and planned stops.
//!
//! Every process has a [`ConfigurationReplica`], whose [`VersionedDocument`] holds the
//! configuration in force and never goes back to an older revision. A few entries per
//! failure domain, assigned by [`WatcherAssignments`], watch the key-value service. An
//! [`OfferScheduler`] decides when they offer a revision to which peer, and a
//! [`ConfigurationDelta`] keeps the updates small. A process that starts while the service
//! is unavailable gets its configuration through a [`BootstrapQuorum`]. The [`MemberTable`]
//! merges all evidence about VMs by the rules of a state chart, and the [`DrainTracker`]
//! controls the graceful shutdown of a process.

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
    versioned::{AdoptOutcome, RevisionComparison, VersionedDocument},
    watchers::{PeerDescriptor, WATCHERS_PER_DOMAIN, WatcherAssignments},
};
