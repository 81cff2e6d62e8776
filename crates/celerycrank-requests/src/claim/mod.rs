//! Claims on idempotency keys, which allow only one attempt to start a keyed call.

mod answer;
mod key;
mod ledger;
mod operation;
mod record;
mod record_state;

#[cfg(feature = "test-util")]
pub(crate) use self::record::open_claims;
pub use self::{
    answer::{CallStatus, ClaimAnswer},
    key::{CallKey, CallKeyError, KeyTime, RequestDigest},
    ledger::{ClaimLedger, ClaimOutput, ClaimSettings},
    operation::{ClaimOperation, ClaimReply, OperationId, RecordRevision},
    record::{ClaimLayout, ClaimantId, RecordName},
    record_state::ClaimOrder,
};
