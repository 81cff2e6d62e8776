//! What really happened, against what was told: the invariants of the whole.

use std::collections::BTreeMap;

use celerycrank_types::{RequestId, RequestOutcome};

use super::caller::{CallPlan, CallRule, KeyNumber};
use crate::CallStatus;

/// What really happened to each request and key.
///
/// Panics at the one place where an invariant of the whole is broken.
#[derive(Debug, Default)]
pub(super) struct InvariantChecker {
    plans: BTreeMap<RequestId, CallPlan>,
    starts: BTreeMap<RequestId, u32>,
    key_starts: BTreeMap<KeyNumber, u32>,
    finished_keys: BTreeMap<KeyNumber, CallStatus>,
    outcomes: BTreeMap<RequestId, RequestOutcome>,
    delivered: BTreeMap<RequestId, u64>,
}

impl InvariantChecker {
    /// Notes what a request asks for.
    pub(super) fn accept(&mut self, request: RequestId, plan: CallPlan) {
        self.plans.insert(request, plan);
    }

    /// The backend server begins the request.
    pub(super) fn start(&mut self, request: RequestId) {
        let plan = self.plans[&request];
        let told = self.outcomes.get(&request);
        assert!(
            !matches!(told, Some(RequestOutcome::NotRun(_))),
            "{request} ran after its caller was told that it was not run"
        );
        let starts = self.starts.entry(request).or_default();
        *starts += 1;
        assert!(
            *starts == 1 || plan.rule == CallRule::Repeatable,
            "{request} may not be repeated and ran twice"
        );
        if let CallRule::Keyed(key) = plan.rule {
            let starts = self.key_starts.entry(key).or_default();
            *starts += 1;
            assert!(*starts == 1, "the call with key {} ran twice", key.0);
        }
    }

    /// The backend server's answer to the request ended.
    pub(super) fn finish(&mut self, request: RequestId, status: CallStatus) {
        if let CallRule::Keyed(key) = self.plans[&request].rule {
            self.finished_keys.insert(key, status);
        }
    }

    /// Bytes reach the caller.
    pub(super) fn deliver(&mut self, request: RequestId, bytes: &[u8]) {
        let delivered = self.delivered.entry(request).or_default();
        for byte in bytes {
            assert!(
                *byte == answer_byte(request, *delivered),
                "{request} got a byte that is not its own at offset {delivered}"
            );
            *delivered += 1;
        }
    }

    /// The agent answers from the record of a key.
    pub(super) fn replay(&self, request: RequestId, status: CallStatus) {
        let CallRule::Keyed(key) = self.plans[&request].rule else {
            panic!("{request} has no key and was answered from a record");
        };
        assert!(
            self.finished_keys.get(&key) == Some(&status),
            "{request} was told a status that its call never had"
        );
    }

    /// The caller is told the outcome.
    pub(super) fn report(&mut self, request: RequestId, outcome: RequestOutcome, length: u64) {
        let earlier = self.outcomes.insert(request, outcome);
        assert!(earlier.is_none(), "{request} was told two outcomes");
        match outcome {
            RequestOutcome::NotRun(reason) => assert!(
                !self.starts.contains_key(&request),
                "{request} ran and its caller was told that it was not run ({reason})"
            ),
            RequestOutcome::Answered => assert!(
                self.delivered.get(&request).copied().unwrap_or_default() == length,
                "{request} was told as answered and is not whole"
            ),
            RequestOutcome::Unknown(_) => {}
        }
    }
}

/// The byte that belongs at an offset of a request's answer.
pub(super) fn answer_byte(request: RequestId, offset: u64) -> u8 {
    let mixed = request.0 ^ u128::from(offset).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 17)).to_le_bytes()[0]
}
