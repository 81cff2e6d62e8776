//! What the agent knows of each request, so that `not run` is only said on proof.

use std::collections::{HashMap, VecDeque};

use celerycrank_types::{RequestId, TimePoint, TimeSpan};
use celerycrank_wire::RevokeVerdict;

/// How long a request is remembered.
///
/// Longer than a link can be silent and still deliver an order, so that neither a late
/// order nor a late revocation meets an agent that has forgotten the request.
pub(crate) const RETENTION: TimeSpan = TimeSpan::from_secs(120);

/// What the agent knows of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// It was received and waits.
    Received,
    /// It was handed to the backend server.
    Started,
    /// It was handed to the backend server, and its answer ended.
    Finished,
    /// It was not started and never will be.
    Tombstone,
}

/// What becomes of a request on its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveVerdict {
    /// It may be started.
    Fresh,
    /// It was revoked before it arrived, and was not run.
    Revoked,
    /// It arrived before; nothing is proved by refusing this copy.
    Duplicate,
}

/// The requests of this life of the agent.
///
/// Invariant: a tombstone is final. A request leaves `Started` only for `Finished`.
#[derive(Debug, Default)]
pub struct RequestLedger {
    states: HashMap<RequestId, RequestState>,
    /// Requests in the order of their last change, with its time.
    changes: VecDeque<(TimePoint, RequestId)>,
}

impl RequestLedger {
    /// Notes that a whole request has arrived.
    pub fn receive(&mut self, id: RequestId, now: TimePoint) -> ReceiveVerdict {
        self.expire(now);
        match self.states.get(&id) {
            None => {
                self.set(id, RequestState::Received, now);
                ReceiveVerdict::Fresh
            }
            Some(RequestState::Tombstone) => ReceiveVerdict::Revoked,
            Some(_) => ReceiveVerdict::Duplicate,
        }
    }

    /// Notes that a request is about to be handed to the backend server.
    ///
    /// Returns whether it may be: a revoked one may not.
    #[must_use]
    pub fn start(&mut self, id: RequestId, now: TimePoint) -> bool {
        if self.states.get(&id) != Some(&RequestState::Received) {
            return false;
        }
        self.set(id, RequestState::Started, now);
        true
    }

    /// Notes that a started request's answer ended, whole or not.
    ///
    /// # Panics
    ///
    /// Panics if the request was not started, which breaks the ledger's invariant.
    pub fn finish(&mut self, id: RequestId, now: TimePoint) {
        let state = self.states.get(&id);
        assert_eq!(
            state,
            Some(&RequestState::Started),
            "only a started request finishes"
        );
        self.set(id, RequestState::Finished, now);
    }

    /// Notes that a backend server proved not to have begun a started request.
    ///
    /// # Panics
    ///
    /// Panics if the request was not started, which breaks the ledger's invariant.
    pub fn undo_start(&mut self, id: RequestId, now: TimePoint) {
        let state = self.states.get(&id);
        assert_eq!(
            state,
            Some(&RequestState::Started),
            "only a started request is undone"
        );
        self.set(id, RequestState::Tombstone, now);
    }

    /// Forbids a request that was not started, and tells what is known of it.
    pub fn revoke(&mut self, id: RequestId, now: TimePoint) -> RevokeVerdict {
        self.expire(now);
        match self.states.get(&id) {
            Some(RequestState::Started) => RevokeVerdict::Started,
            Some(RequestState::Finished) => RevokeVerdict::Finished,
            None | Some(RequestState::Received | RequestState::Tombstone) => {
                self.set(id, RequestState::Tombstone, now);
                RevokeVerdict::NeverStarted
            }
        }
    }

    /// The number of requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn set(&mut self, id: RequestId, state: RequestState, now: TimePoint) {
        self.states.insert(id, state);
        if matches!(state, RequestState::Finished | RequestState::Tombstone) {
            self.changes.push_back((now, id));
        }
    }

    /// Forgets requests that ended long ago; one that waits or runs is never forgotten.
    fn expire(&mut self, now: TimePoint) {
        while let Some((at, id)) = self.changes.front().copied() {
            if now.since(at) < RETENTION {
                return;
            }
            self.changes.pop_front();
            self.states.remove(&id);
        }
    }
}
