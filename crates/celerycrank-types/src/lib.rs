//! Identifiers, units, outcomes and reasons shared by every crate.
//!
//! Nothing here performs I/O or reads a clock: time reaches the decision logic as a
//! [`TimePoint`] argument.

mod form;
mod id;
mod label;
mod outcome;
mod record;
mod time;
mod unit;

pub use crate::{
    id::{
        AccountId, BackendId, DomainId, EntryId, GroupId, IdFault, Incarnation, ModelId, PlanId,
        RequestId, Revision, ServiceId, VmId,
    },
    label::UnknownLabel,
    outcome::{RefusalReason, RequestOutcome, RetryReason, UnknownReason},
    record::{KeyValueRecord, LeaseId, ModRevision, WatchEvent},
    time::{DecimalSpan, TimeFault, TimePoint, TimeSpan},
    unit::{ByteSize, Fraction, ShareWeight, TokenCount, TokenRate, UnitFault},
};
