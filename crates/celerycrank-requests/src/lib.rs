//! Decisions about one request: its outcome, its retries, and claims for keyed calls.
//!
//! At the entry a [`RequestMachine`] drives one request to its one outcome. Beside the
//! backend server a [`AttemptLedger`] decides whether an attempt may start, and can prove
//! later that one never did. Nothing here performs I/O or reads a clock.

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
