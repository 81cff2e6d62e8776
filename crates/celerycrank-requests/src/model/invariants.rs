//! Checks what was reported to callers against what happened.

use std::collections::BTreeMap;

use celerycrank_types::{RequestId, RequestOutcome};

use super::caller::{CallPlan, CallRule, KeyNumber};
use crate::CallStatus;

/// Records what happened to each request and key, and checks the end-to-end invariants.
///
/// Panics as soon as an invariant is violated.
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
    /// Records the plan of a request.
    pub(super) fn accept(&mut self, request: RequestId, plan: CallPlan) {
        self.plans.insert(request, plan);
    }

    /// Records a start of the request on a backend server and checks that it may start.
    pub(super) fn start(&mut self, request: RequestId) {
        let plan = self.plans[&request];
        let reported = self.outcomes.get(&request);
        assert!(
            !matches!(reported, Some(RequestOutcome::NotRun(_))),
            "{request} ran after it was reported as not run"
        );
        let starts = self.starts.entry(request).or_default();
        *starts += 1;
        assert!(
            *starts == 1 || plan.rule == CallRule::Repeatable,
            "{request} must not be repeated but ran twice"
        );
        if let CallRule::Keyed(key) = plan.rule {
            let starts = self.key_starts.entry(key).or_default();
            *starts += 1;
            assert!(*starts == 1, "the call with key {} ran twice", key.0);
        }
    }

    /// Records that the backend server's answer to the request ended.
    pub(super) fn finish(&mut self, request: RequestId, status: CallStatus) {
        if let CallRule::Keyed(key) = self.plans[&request].rule {
            self.finished_keys.insert(key, status);
        }
    }

    /// Records and checks the bytes delivered to the caller.
    pub(super) fn deliver(&mut self, request: RequestId, bytes: &[u8]) {
        let delivered = self.delivered.entry(request).or_default();
        for byte in bytes {
            assert!(
                *byte == answer_byte(request, *delivered),
                "{request} received a wrong byte at offset {delivered}"
            );
            *delivered += 1;
        }
    }

    /// Checks a status replayed from the record of a key.
    pub(super) fn replay(&self, request: RequestId, status: CallStatus) {
        let CallRule::Keyed(key) = self.plans[&request].rule else {
            panic!("{request} has no key but was answered from a record");
        };
        assert!(
            self.finished_keys.get(&key) == Some(&status),
            "{request} was answered with a status that its call never had"
        );
    }

    /// Records and checks the outcome reported to the caller.
    pub(super) fn report(&mut self, request: RequestId, outcome: RequestOutcome, length: u64) {
        let earlier = self.outcomes.insert(request, outcome);
        assert!(
            earlier.is_none(),
            "two outcomes were reported for {request}"
        );
        match outcome {
            RequestOutcome::NotRun(reason) => assert!(
                !self.starts.contains_key(&request),
                "{request} ran but was reported as not run ({reason})"
            ),
            RequestOutcome::Answered => assert!(
                self.delivered.get(&request).copied().unwrap_or_default() == length,
                "{request} was reported as answered but its answer is incomplete"
            ),
            RequestOutcome::Unknown(_) => {}
        }
    }
}

/// Returns the expected byte at an offset of a request's answer.
pub(super) fn answer_byte(request: RequestId, offset: u64) -> u8 {
    let mixed = request.0 ^ u128::from(offset).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 17)).to_le_bytes()[0]
}
