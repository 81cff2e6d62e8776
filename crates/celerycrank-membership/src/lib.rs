//! Which configuration is in force, which backend servers are live, which stops are
//! under way.
//!
//! Every process keeps a [`RevisionGate`] that only ever moves forward, inside a
//! [`ConfigurationKeeper`]. A few entries a
//! failure domain, the [`WatcherRoster`], watch the key-value service; a
//! [`SpreadPlanner`] decides whom they tell, and [`ConfigurationDelta`] keeps what they
//! send small. A process that starts while the service is down learns from a
//! [`BootstrapQuorum`]. The [`MemberTable`] merges all evidence about backend servers by
//! one rule, and the [`DrainTracker`] runs a process's own planned stop.

mod bootstrap;
mod delta;
mod drain;
mod gate;
mod keeper;
mod member;
mod planned;
mod roster;
mod spread;
mod stop;

pub use crate::{
    bootstrap::{BootstrapOutcome, BootstrapQuorum},
    delta::{ConfigurationDelta, DeltaFault, DeltaLog, UpdateMessage},
    drain::{DrainEvent, DrainState, DrainTracker, PendingWork},
    gate::{GateOutcome, PeerVerdict, RevisionGate},
    keeper::{ConfigurationKeeper, OfferFollowUp, OfferTargets},
    member::{
        MemberEvidence, MemberState, MemberTable, MemberTimings, MemberView, RampWeight, VmFact,
        VmRole,
    },
    planned::{PlannedStop, StopsRecord},
    roster::{PeerFact, WATCHERS_PER_DOMAIN, WatcherRoster},
    spread::{SpreadPlanner, SpreadTimings},
    stop::{ModelShortfall, StopImpact, StopTarget, TargetFault},
};
