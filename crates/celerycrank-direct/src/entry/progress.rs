//! What has been sent of a request, how far its answer has come, and why it is not sent again.

use std::cell::{Cell, RefCell};

use celerycrank_types::{BackendId, TimePoint, UnknownReason};

use super::refusal::RequestRefusal;

/// Why a request gets no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// The request has not run and will not run.
    Refused(RequestRefusal),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Counts the attempts of one request, of which two may run at the same time.
#[derive(Debug, Default)]
pub(crate) struct SendRecord {
    /// Number of running attempts that have not sent anything yet.
    unsent: Cell<u32>,
    /// Number of attempts that have sent the request.
    sends: Cell<u32>,
    /// Number of sends for which the backend server has not stated that it did not run the request.
    possible_runs: Cell<u32>,
}

impl SendRecord {
    /// Records that an attempt begins.
    pub(crate) fn begin(&self) -> SendGuard<'_> {
        self.unsent.set(self.unsent.get() + 1);
        SendGuard {
            record: self,
            is_sent: Cell::new(false),
        }
    }

    /// Number of times the request was sent to a backend server.
    pub(crate) fn sends(&self) -> u32 {
        self.sends.get()
    }

    /// Number of times the request was sent or is about to be sent.
    pub(crate) fn planned_sends(&self) -> u32 {
        self.sends.get() + self.unsent.get()
    }

    /// Whether a backend server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.possible_runs.get() > 0
    }
}

/// One attempt in a [`SendRecord`].
///
/// A send stays counted if the attempt's future is dropped.
#[derive(Debug)]
pub(crate) struct SendGuard<'record> {
    record: &'record SendRecord,
    is_sent: Cell<bool>,
}

impl SendGuard<'_> {
    /// Records that the request is being sent to a backend server, which may run it.
    pub(crate) fn note_sent(&self) {
        let record = self.record;
        self.is_sent.set(true);
        record.unsent.set(record.unsent.get() - 1);
        record.sends.set(record.sends.get() + 1);
        record.possible_runs.set(record.possible_runs.get() + 1);
    }

    /// Records that the backend server did not run the request.
    pub(crate) fn note_not_run(&self) {
        let record = self.record;
        if self.is_sent.get() {
            record.possible_runs.set(record.possible_runs.get() - 1);
        }
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        if !self.is_sent.get() {
            self.record.unsent.set(self.record.unsent.get() - 1);
        }
    }
}

/// Where one of the attempts that run at the same time stands.
#[derive(Debug, Default)]
pub(crate) struct AttemptTrack {
    /// The backend server that was asked last.
    backend: RefCell<Option<BackendId>>,
    /// When it was asked; `None` if that was before this track began.
    asked_at: Cell<Option<TimePoint>>,
}

impl AttemptTrack {
    /// The track of an attempt that this backend server is answering.
    pub(crate) fn of(backend: &BackendId) -> Self {
        Self {
            backend: RefCell::new(Some(backend.clone())),
            asked_at: Cell::new(None),
        }
    }

    /// Records that this backend server is asked.
    pub(crate) fn note_asked(&self, backend: &BackendId, now: TimePoint) {
        *self.backend.borrow_mut() = Some(backend.clone());
        self.asked_at.set(Some(now));
    }

    /// The backend server that was asked last.
    pub(crate) fn backend(&self) -> Option<BackendId> {
        self.backend.borrow().clone()
    }

    /// When it was asked; `None` if that was before this track began.
    pub(crate) fn asked_at(&self) -> Option<TimePoint> {
        self.asked_at.get()
    }
}

/// Why a request is not sent to another backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum RetryObstacle {
    /// the route allows no further send
    NoSendLeft,
    /// the retry window of the service is used up
    NoRetryLeft,
    /// there is no other backend server
    NoBackend,
    /// a part of the prompt is refused
    CrashingPrompt,
    /// the configuration is too old to tell whether the caller's key is still valid
    StaleConfiguration,
    /// no backend server could be reached
    Unreachable,
}
