//! What has been sent of a request, and how far its answer has come.

use std::cell::Cell;

use celerycrank_types::UnknownReason;

use super::refusal::RequestRefusal;

/// Why a request gets no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// The request has not run and will not run.
    Refused(RequestRefusal),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Records the sends of one request and whether a backend server may have run it.
#[derive(Debug, Default)]
pub(crate) struct SendRecord {
    sends: Cell<u32>,
    may_have_run: Cell<bool>,
}

impl SendRecord {
    /// Records that the request is being sent to a backend server, which may run it.
    pub(crate) fn record_send(&self) {
        self.sends.set(self.sends.get() + 1);
        self.may_have_run.set(true);
    }

    /// Records that the last backend server did not run the request; before it was sent there,
    /// `may_have_run` held.
    pub(crate) fn withdraw_send(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }

    /// Number of times the request was sent to a backend server.
    pub(crate) fn sends(&self) -> u32 {
        self.sends.get()
    }

    /// Whether a backend server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }
}

/// How far the answer to a request had come when an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    /// No part of the answer has been received.
    NotBegun,
    /// A backend server has sent a part of the answer.
    Begun,
}

impl AnswerProgress {
    /// The progress of an answer of which the caller has the events up to `last_event`.
    pub(crate) const fn at(last_event: Option<u64>) -> Self {
        match last_event {
            Some(_) => Self::Begun,
            None => Self::NotBegun,
        }
    }
}
