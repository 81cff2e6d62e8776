//! The agent's record of attempts: which may start, and what can be proved about them later.

mod event;
mod ledger;

pub use self::{
    event::{AttemptAction, AttemptEvent, AttemptState, CallKind},
    ledger::{AttemptActions, AttemptLedger, AttemptLedgerSettings},
};
