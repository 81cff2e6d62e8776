//! Decisions about one request: its outcome, its retries, and claims for keyed calls.
//!
//! At the entry a [`RequestMachine`] drives one request to its one outcome. Beside the
//! backend server a [`StartLedger`] decides whether an attempt may start, and can prove
//! later that one never did. Nothing here performs I/O or reads a clock.

mod attempt;
mod claim;
mod clock;
#[cfg(feature = "test-util")]
pub mod model;
mod request;
mod retry;
mod start;

#[cfg(feature = "test-util")]
pub(crate) use crate::claim::open_claims;
pub use crate::{
    attempt::{AttemptId, LinkNumber},
    claim::{
        CallKey, CallKeyFault, CallStatus, ClaimAnswer, ClaimLayout, ClaimLedger, ClaimOperation,
        ClaimOrder, ClaimOutput, ClaimReply, ClaimSettings, ClaimantId, KeyTime, OperationId,
        RecordName, RecordRevision, RequestDigest,
    },
    clock::PeerClock,
    request::{
        RequestAction, RequestActions, RequestContext, RequestEvent, RequestMachine, RequestPolicy,
        RequestState, RevokeAnswer,
    },
    retry::{RetryBackoff, RetryBudget, costs_budget, is_retryable},
    start::{
        AttemptAction, AttemptActions, AttemptEvent, AttemptState, CallKind, StartLedger,
        StartSettings,
    },
};
