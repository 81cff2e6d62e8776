//! The agent's record of attempts: what may start, and what can be proved of it later.

mod event;
mod ledger;

pub use self::{
    event::{AttemptAction, AttemptEvent, AttemptState, CallKind},
    ledger::{AttemptActions, AttemptLedger, AttemptLedgerSettings},
};
