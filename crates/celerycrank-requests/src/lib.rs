//! Per-request logic: outcomes, retries, and claims on idempotency keys.
//!
//! On the entry, a [`RequestMachine`] drives each request to exactly one outcome. On the
//! agent, an [`AttemptLedger`] decides whether an attempt may start and can later prove that
//! an attempt never started. This crate performs no I/O and reads no clock.

mod attempt;
mod attempt_ledger;
mod claim;
mod clock;
#[cfg(feature = "test-util")]
pub mod model;
mod request;
mod retry;

#[cfg(feature = "test-util")]
pub(crate) use crate::claim::open_claims;
pub use crate::{
    attempt::{AttemptId, LinkNumber},
    attempt_ledger::{
        AttemptAction, AttemptActions, AttemptEvent, AttemptLedger, AttemptLedgerSettings,
        AttemptState, CallKind,
    },
    claim::{
        CallKey, CallKeyError, CallStatus, ClaimAnswer, ClaimLayout, ClaimLedger, ClaimOperation,
        ClaimOrder, ClaimOutput, ClaimReply, ClaimSettings, ClaimantId, KeyTime, OperationId,
        RecordName, RecordRevision, RequestDigest,
    },
    clock::PeerClock,
    request::{
        RequestAction, RequestActions, RequestContext, RequestEvent, RequestMachine, RequestPolicy,
        RequestState, RevokeAnswer,
    },
    retry::{RetryBackoff, RetryBudget, consumes_retry_budget, is_retryable},
};
