//! Identifiers, units, outcomes and reasons shared by all crates.
//!
//! Nothing here performs I/O or reads a clock: decision logic receives the time as a
//! [`TimePoint`] argument.

mod conversion;
mod id;
mod label;
mod outcome;
mod record;
mod time;
mod unit;

pub use crate::{
    id::{
        AccountId, BackendId, DomainId, EntryId, GroupId, IdError, Incarnation, ModelId, PlanId,
        PromptPartId, RequestId, Revision, ServiceId, VmId,
    },
    label::UnknownLabel,
    outcome::{RefusalReason, RequestOutcome, RetryReason, UnknownReason},
    record::{KeyValueRecord, LeaseId, ModRevision, WatchEvent},
    time::{DecimalSpan, TimePoint, TimeSpan, TimeSpanError},
    unit::{
        ByteSize, Fraction, LinkRate, RequestRate, ShareWeight, TokenCount, TokenRate, UnitError,
    },
};
